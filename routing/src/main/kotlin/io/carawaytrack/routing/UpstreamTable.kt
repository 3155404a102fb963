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
import kotlin.math.ceil

private const val SHARD_COUNT = 16

/** Age that the load in an announcement is taken to have when it arrives, in milliseconds. */
private const val ANNOUNCEMENT_LAG_MILLIS = 500L

/** Time in which an upstream that comes back into service gets back to all of its permits, in milliseconds. */
private const val RETURN_MILLIS = 20_000L

/**
 * Shows one upstream at the moment of a choice, its load corrected by the entry's own attempts.
 *
 * @property permits requests that it may run at once, fewer than announced while it returns to service
 * @property healthy false while it is left alone because attempts on it failed
 */
internal data class UpstreamView(
    val announcement: Announcement,
    val permits: Int,
    val running: Int,
    val outstandingTokens: Long,
    val healthy: Boolean,
) {
    val hasRoom: Boolean get() = running < permits

    /** Tokens waiting for each request that can run at once. */
    val tokensPerPermit: Double get() = outstandingTokens.toDouble() / permits.coerceAtLeast(1)
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
        healthy: Boolean,
    ) = shardOf(upstream).finished(upstream, tokens, healthy, nowMillis())

    /** Returns a view of every announced upstream that is [inService] and for which [accepts] holds. */
    fun candidates(
        inService: (Announcement) -> Boolean,
        accepts: (Announcement) -> Boolean,
    ): List<UpstreamView> {
        val atMillis = nowMillis()
        return buildList { shards.forEach { it.addTo(this, atMillis, inService, accepts) } }
    }

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
        healthy: Boolean,
        atMillis: Long,
    ): Unit = lock.withLock { slots[upstream]?.finished(tokens, healthy, atMillis) }

    fun addTo(
        views: MutableList<UpstreamView>,
        atMillis: Long,
        inService: (Announcement) -> Boolean,
        accepts: (Announcement) -> Boolean,
    ) = lock.withLock {
        for (slot in slots.values) {
            val isIn = inService(slot.announcement)
            slot.look(isIn, atMillis)
            if (isIn && accepts(slot.announcement)) views += slot.view(atMillis)
        }
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
    private val health = UpstreamHealth()
    private var wasOut = false
    private var returnedAtMillis = Long.MIN_VALUE / 2
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
        healthy: Boolean,
        atMillis: Long,
    ) {
        if (ownRunning > 0) addOwn(OwnChange(atMillis, -1, -tokens))
        health.ended(healthy, atMillis)
    }

    /** Notes whether the upstream is in service, so that a return is noticed. */
    fun look(
        isIn: Boolean,
        atMillis: Long,
    ) {
        if (isIn && wasOut) returnedAtMillis = atMillis
        wasOut = !isIn
    }

    fun view(atMillis: Long): UpstreamView = UpstreamView(
        announcement = announcement,
        permits = permits(atMillis),
        running = maxOf(reported.running + runningSince, ownRunning),
        outstandingTokens = maxOf(reported.queuedTokens + tokensSince, ownTokens),
        healthy = health.mayTry(ownRunning, atMillis),
    )

    /** Returns the announced permits, or the part of them that the time since a return allows. */
    private fun permits(atMillis: Long): Int {
        val sinceMillis = atMillis - returnedAtMillis
        if (sinceMillis >= RETURN_MILLIS) return announcement.load.permits
        return ceil(announcement.load.permits * sinceMillis.toDouble() / RETURN_MILLIS).toInt()
    }

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

/** Leaves an upstream alone after failures in a row, each time for longer, and then tries it with one request. */
private class UpstreamHealth {
    private var failuresInRow = 0
    private var outUntilMillis = Long.MIN_VALUE

    fun ended(
        healthy: Boolean,
        atMillis: Long,
    ) {
        failuresInRow = if (healthy) 0 else failuresInRow + 1
        if (failuresInRow < FAILURES_BEFORE_OUT) return
        val doublings = (failuresInRow - FAILURES_BEFORE_OUT).coerceAtMost(MAX_DOUBLINGS)
        outUntilMillis = atMillis + (FIRST_OUT_MILLIS shl doublings)
    }

    fun mayTry(
        ownRunning: Int,
        atMillis: Long,
    ): Boolean = failuresInRow < FAILURES_BEFORE_OUT || (atMillis >= outUntilMillis && ownRunning == 0)

    private companion object {
        const val FAILURES_BEFORE_OUT = 3
        const val FIRST_OUT_MILLIS = 1_000L
        const val MAX_DOUBLINGS = 5
    }
}

/** Notes that the entry's own attempts on an upstream became more or fewer. */
private class OwnChange(
    val atMillis: Long,
    val running: Int,
    val tokens: Long,
)
