/*
 * What an entry knows of each upstream: its announcement, the load last reported, and this entry's own attempts since.
 * Upstreams are spread over shards by a hash of their identifiers; each shard has its own lock.
 */
package io.carawaytrack.routing

import io.carawaytrack.model.Announcement
import io.carawaytrack.model.Membership
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.UpstreamLoad
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private const val SHARD_COUNT = 16

/** Age that the load in an announcement is taken to have when it arrives, in milliseconds. */
private const val ANNOUNCEMENT_LAG_MILLIS = 500L

/** Shows one upstream at the moment of a choice, its load corrected by the entry's own attempts. */
internal data class UpstreamView(
    val announcement: Announcement,
    val running: Int,
    val outstandingTokens: Long,
) {
    val hasRoom: Boolean get() = running < announcement.load.permits
}

internal class UpstreamTable(
    private val nowMillis: () -> Long,
) {
    private val shards = List(SHARD_COUNT) { Shard() }
    private val newestNumber = AtomicLong(Long.MIN_VALUE)

    val size: Int get() = shards.sumOf { it.size }

    fun update(membership: Membership) {
        val newest = newestNumber.accumulateAndGet(membership.number, ::maxOf)
        if (membership.number < newest) return
        val listed = membership.upstreams.map { it.upstream }.toSet()
        shards.forEach { it.remove(membership.removed.toSet() - listed) }
        if (membership.complete) shards.forEach { it.retain(listed) }
        membership.upstreams.forEach { shardOf(it.upstream).announce(it, nowMillis()) }
    }

    fun report(
        upstream: UpstreamId,
        load: UpstreamLoad,
    ) = shardOf(upstream).report(upstream, load, nowMillis())

    fun started(
        upstream: UpstreamId,
        tokens: Long,
    ) = shardOf(upstream).started(upstream, tokens, nowMillis())

    fun finished(
        upstream: UpstreamId,
        tokens: Long,
    ) = shardOf(upstream).finished(upstream, tokens, nowMillis())

    /** Returns a view of every announced upstream for which [accepts] holds. */
    fun candidates(accepts: (Announcement) -> Boolean): List<UpstreamView> =
        buildList { shards.forEach { it.addTo(this, accepts) } }

    private fun shardOf(upstream: UpstreamId): Shard = shards[shardIndex(upstream.value, SHARD_COUNT)]
}

private class Shard {
    private val lock = ReentrantLock()
    private val slots = HashMap<UpstreamId, Slot>()

    val size: Int get() = lock.withLock { slots.size }

    fun announce(
        announcement: Announcement,
        atMillis: Long,
    ) = lock.withLock {
        val known = slots[announcement.upstream]
        if (known == null || known.announcement.incarnation != announcement.incarnation) {
            slots[announcement.upstream] = Slot(announcement)
        } else {
            known.announce(announcement, atMillis)
        }
    }

    fun retain(listed: Set<UpstreamId>): Unit = lock.withLock { slots.keys.retainAll(listed) }

    fun remove(removed: Set<UpstreamId>): Unit = lock.withLock { slots.keys.removeAll(removed) }

    fun report(
        upstream: UpstreamId,
        load: UpstreamLoad,
        atMillis: Long,
    ): Unit = lock.withLock { slots[upstream]?.report(load, atMillis) }

    fun started(
        upstream: UpstreamId,
        tokens: Long,
        atMillis: Long,
    ): Unit = lock.withLock { slots[upstream]?.started(tokens, atMillis) }

    fun finished(
        upstream: UpstreamId,
        tokens: Long,
        atMillis: Long,
    ): Unit = lock.withLock { slots[upstream]?.finished(tokens, atMillis) }

    fun addTo(
        views: MutableList<UpstreamView>,
        accepts: (Announcement) -> Boolean,
    ) = lock.withLock {
        slots.values.filter { accepts(it.announcement) }.mapTo(views) { it.view() }
    }
}

private class Slot(
    announcement: Announcement,
) {
    var announcement = announcement
        private set
    private var reported = announcement.load
    private var reportedAtMillis = Long.MIN_VALUE / 2
    private val recent = ArrayDeque<OwnChange>()
    private var ownRunning = 0
    private var ownTokens = 0L
    private var runningSince = 0
    private var tokensSince = 0L

    /**
     * Takes a newer announcement. Its load was read some time ago, so that the latest own attempts are not in it; when
     * an agent has reported a fresher one with an answer, that one stays.
     */
    fun announce(
        newer: Announcement,
        atMillis: Long,
    ) {
        val fresher = announcement.load
        announcement = newer
        if (atMillis - reportedAtMillis < ANNOUNCEMENT_LAG_MILLIS) {
            announcement = newer.copy(load = fresher)
            return
        }
        takeLoad(newer.load)
        forgetBefore(atMillis - ANNOUNCEMENT_LAG_MILLIS)
        runningSince = recent.sumOf { it.running }
        tokensSince = recent.sumOf { it.tokens }
    }

    fun report(
        load: UpstreamLoad,
        atMillis: Long,
    ) {
        reportedAtMillis = atMillis
        announcement = announcement.copy(load = load)
        takeLoad(load)
        recent.clear()
    }

    fun started(
        tokens: Long,
        atMillis: Long,
    ) = addOwn(OwnChange(atMillis, 1, tokens))

    fun finished(
        tokens: Long,
        atMillis: Long,
    ) {
        if (ownRunning > 0) addOwn(OwnChange(atMillis, -1, -tokens))
    }

    fun view(): UpstreamView = UpstreamView(
        announcement = announcement,
        running = maxOf(reported.running + runningSince, ownRunning),
        outstandingTokens = maxOf(reported.queuedTokens + tokensSince, ownTokens),
    )

    private fun takeLoad(load: UpstreamLoad) {
        reported = load
        runningSince = 0
        tokensSince = 0
    }

    private fun addOwn(change: OwnChange) {
        ownRunning += change.running
        ownTokens += change.tokens
        runningSince += change.running
        tokensSince += change.tokens
        forgetBefore(change.atMillis - ANNOUNCEMENT_LAG_MILLIS)
        recent.addLast(change)
    }

    private fun forgetBefore(atMillis: Long) {
        while (recent.isNotEmpty() && recent.first().atMillis < atMillis) recent.removeFirst()
    }
}

/** Notes that the entry's own attempts on an upstream became more or fewer. */
private class OwnChange(
    val atMillis: Long,
    val running: Int,
    val tokens: Long,
)
