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

/** Age that the load in an announcement may have when it arrives, in milliseconds. */
private const val ANNOUNCEMENT_LAG_MILLIS = 1_000L

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
    ) = shardOf(upstream).started(upstream, tokens)

    fun finished(
        upstream: UpstreamId,
        tokens: Long,
    ) = shardOf(upstream).finished(upstream, tokens)

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
    ): Unit = lock.withLock { slots[upstream]?.started(tokens) }

    fun finished(
        upstream: UpstreamId,
        tokens: Long,
    ): Unit = lock.withLock { slots[upstream]?.finished(tokens) }

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
    private var reportedAtMillis = Long.MIN_VALUE / 2
    private var reported = announcement.load
    private var ownRunning = 0
    private var ownTokens = 0L
    private var runningSince = 0
    private var tokensSince = 0L

    /** Takes a newer announcement; its load only when no agent has reported a fresher one with an answer. */
    fun announce(
        newer: Announcement,
        atMillis: Long,
    ) {
        val fresher = announcement.load
        announcement = newer
        if (atMillis - reportedAtMillis < ANNOUNCEMENT_LAG_MILLIS) {
            announcement = newer.copy(load = fresher)
        } else {
            takeLoad(newer.load)
        }
    }

    fun report(
        load: UpstreamLoad,
        atMillis: Long,
    ) {
        reportedAtMillis = atMillis
        takeLoad(load)
    }

    private fun takeLoad(load: UpstreamLoad) {
        reported = load
        announcement = announcement.copy(load = load)
        runningSince = 0
        tokensSince = 0
    }

    fun started(tokens: Long) = addOwn(1, tokens)

    fun finished(tokens: Long) {
        if (ownRunning > 0) addOwn(-1, -tokens)
    }

    fun view(): UpstreamView = UpstreamView(
        announcement = announcement,
        running = maxOf(reported.running + runningSince, ownRunning),
        outstandingTokens = maxOf(reported.queuedTokens + tokensSince, ownTokens),
    )

    private fun addOwn(
        running: Int,
        tokens: Long,
    ) {
        ownRunning += running
        ownTokens += tokens
        runningSince += running
        tokensSince += tokens
    }
}
