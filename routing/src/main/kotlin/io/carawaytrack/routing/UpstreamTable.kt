/*
 * The state that an entry keeps of each upstream: its announcement, the load last reported, and the entry's own
 * attempts since then. Upstreams are divided into shards by a hash of their identifiers, with one lock for each shard.
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

/** Assumed age of the load in an announcement when it arrives, in milliseconds. */
private const val ANNOUNCEMENT_LAG_MILLIS = 500L

/** Time over which an upstream that returns to service regains all of its permits, in milliseconds. */
private const val RETURN_RAMP_MILLIS = 20_000L

/**
 * Describes one upstream at the time of a choice, with its load corrected by the entry's own attempts.
 *
 * @property permits requests that may run concurrently; fewer than announced while the upstream returns to service
 * @property healthy false while the upstream is ejected because attempts on it failed
 */
internal data class UpstreamView(
    val announcement: Announcement,
    val permits: Int,
    val running: Int,
    val outstandingTokens: Long,
    val healthy: Boolean,
) {
    val hasCapacity: Boolean get() = running < permits

    /** Outstanding tokens for each permit. */
    val tokensPerPermit: Double get() = outstandingTokens.toDouble() / permits.coerceAtLeast(1)
}

internal class UpstreamTable(
    private val nowMillis: () -> Long,
) {
    private val shards = List(SHARD_COUNT) { Shard() }
    private val newestNumber = AtomicLong(Long.MIN_VALUE)

    val size: Int get() = shards.sumOf { it.size }

    fun update(membership: Membership) {
        val newestSeen = newestNumber.accumulateAndGet(membership.number, ::maxOf)
        if (membership.number < newestSeen) return
        val announced = membership.upstreams.map { it.upstream }.toSet()
        shards.forEach { it.remove(membership.removed.toSet() - announced) }
        if (membership.complete) shards.forEach { it.retain(announced) }
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

    /** Returns a view of every announced upstream that is [inService] and that [accepts] accepts. */
    fun candidates(
        inService: (Announcement) -> Boolean,
        accepts: (Announcement) -> Boolean,
    ): List<UpstreamView> {
        val atMillis = nowMillis()
        return buildList { shards.forEach { it.addViewsTo(this, atMillis, inService, accepts) } }
    }

    private fun shardOf(upstream: UpstreamId): Shard = shards[shardIndex(upstream.value, SHARD_COUNT)]
}

private class Shard {
    private val lock = ReentrantLock()
    private val states = HashMap<UpstreamId, UpstreamState>()

    val size: Int get() = lock.withLock { states.size }

    fun announce(
        announcement: Announcement,
        atMillis: Long,
    ) = lock.withLock {
        val known = states[announcement.upstream]
        if (known == null || known.announcement.incarnation != announcement.incarnation) {
            states[announcement.upstream] = UpstreamState(announcement)
        } else {
            known.announce(announcement, atMillis)
        }
    }

    fun retain(announced: Set<UpstreamId>): Unit = lock.withLock { states.keys.retainAll(announced) }

    fun remove(removed: Set<UpstreamId>): Unit = lock.withLock { states.keys.removeAll(removed) }

    fun report(
        upstream: UpstreamId,
        load: UpstreamLoad,
        atMillis: Long,
    ): Unit = lock.withLock { states[upstream]?.report(load, atMillis) }

    fun started(
        upstream: UpstreamId,
        tokens: Long,
        atMillis: Long,
    ): Unit = lock.withLock { states[upstream]?.started(tokens, atMillis) }

    fun finished(
        upstream: UpstreamId,
        tokens: Long,
        healthy: Boolean,
        atMillis: Long,
    ): Unit = lock.withLock { states[upstream]?.finished(tokens, healthy, atMillis) }

    fun addViewsTo(
        views: MutableList<UpstreamView>,
        atMillis: Long,
        inService: (Announcement) -> Boolean,
        accepts: (Announcement) -> Boolean,
    ) = lock.withLock {
        for (state in states.values) {
            val isInService = inService(state.announcement)
            state.updateService(isInService, atMillis)
            if (isInService && accepts(state.announcement)) views += state.view(atMillis)
        }
    }
}

private class UpstreamState(
    announcement: Announcement,
) {
    var announcement = announcement
        private set
    private var reported = announcement.load
    private var reportedAtMillis = Long.MIN_VALUE / 2
    private val recentChanges = ArrayDeque<OwnChange>()
    private val health = UpstreamHealth()
    private var wasOutOfService = false
    private var returnedAtMillis = Long.MIN_VALUE / 2
    private var ownRunning = 0
    private var ownTokens = 0L
    private var runningSinceReport = 0
    private var tokensSinceReport = 0L

    /**
     * Updates the announcement. The load in it is some time old and does not include the entry's latest attempts, so
     * these are added again. When the agent has reported a load more recently than that, the reported one is kept.
     */
    fun announce(
        newer: Announcement,
        atMillis: Long,
    ) {
        val reportedLoad = announcement.load
        announcement = newer
        if (atMillis - reportedAtMillis < ANNOUNCEMENT_LAG_MILLIS) {
            announcement = newer.copy(load = reportedLoad)
            return
        }
        applyLoad(newer.load)
        discardChangesBefore(atMillis - ANNOUNCEMENT_LAG_MILLIS)
        runningSinceReport = recentChanges.sumOf { it.running }
        tokensSinceReport = recentChanges.sumOf { it.tokens }
    }

    fun report(
        load: UpstreamLoad,
        atMillis: Long,
    ) {
        reportedAtMillis = atMillis
        announcement = announcement.copy(load = load)
        applyLoad(load)
        recentChanges.clear()
    }

    fun started(
        tokens: Long,
        atMillis: Long,
    ) = addChange(OwnChange(atMillis, 1, tokens))

    fun finished(
        tokens: Long,
        healthy: Boolean,
        atMillis: Long,
    ) {
        if (ownRunning > 0) addChange(OwnChange(atMillis, -1, -tokens))
        health.recordOutcome(healthy, atMillis)
    }

    /** Updates whether the upstream is in service; a return starts the ramp of its permits. */
    fun updateService(
        isInService: Boolean,
        atMillis: Long,
    ) {
        if (isInService && wasOutOfService) returnedAtMillis = atMillis
        wasOutOfService = !isInService
    }

    fun view(atMillis: Long): UpstreamView = UpstreamView(
        announcement = announcement,
        permits = permits(atMillis),
        running = maxOf(reported.running + runningSinceReport, ownRunning),
        outstandingTokens = maxOf(reported.queuedTokens + tokensSinceReport, ownTokens),
        healthy = health.isAvailable(ownRunning, atMillis),
    )

    /** Returns the announced permits, or the part of them that the ramp after a return to service allows. */
    private fun permits(atMillis: Long): Int {
        val returnedForMillis = atMillis - returnedAtMillis
        if (returnedForMillis >= RETURN_RAMP_MILLIS) return announcement.load.permits
        return ceil(announcement.load.permits * returnedForMillis.toDouble() / RETURN_RAMP_MILLIS).toInt()
    }

    private fun applyLoad(load: UpstreamLoad) {
        reported = load
        runningSinceReport = 0
        tokensSinceReport = 0
    }

    private fun addChange(change: OwnChange) {
        ownRunning += change.running
        ownTokens += change.tokens
        runningSinceReport += change.running
        tokensSinceReport += change.tokens
        discardChangesBefore(change.atMillis - ANNOUNCEMENT_LAG_MILLIS)
        recentChanges.addLast(change)
    }

    private fun discardChangesBefore(atMillis: Long) {
        while (recentChanges.isNotEmpty() && recentChanges.first().atMillis < atMillis) recentChanges.removeFirst()
    }
}

/**
 * Ejects an upstream after consecutive failures, with exponentially growing duration. After that, one request at a time
 * may probe it until an attempt succeeds.
 */
private class UpstreamHealth {
    private var consecutiveFailures = 0
    private var ejectedUntilMillis = Long.MIN_VALUE

    fun recordOutcome(
        healthy: Boolean,
        atMillis: Long,
    ) {
        consecutiveFailures = if (healthy) 0 else consecutiveFailures + 1
        if (consecutiveFailures < EJECTION_FAILURES) return
        val doublings = (consecutiveFailures - EJECTION_FAILURES).coerceAtMost(MAX_EJECTION_DOUBLINGS)
        ejectedUntilMillis = atMillis + (BASE_EJECTION_MILLIS shl doublings)
    }

    fun isAvailable(
        ownRunning: Int,
        atMillis: Long,
    ): Boolean = consecutiveFailures < EJECTION_FAILURES || (atMillis >= ejectedUntilMillis && ownRunning == 0)

    private companion object {
        const val EJECTION_FAILURES = 3
        const val BASE_EJECTION_MILLIS = 1_000L
        const val MAX_EJECTION_DOUBLINGS = 5
    }
}

/** Describes a change in the entry's own running attempts on an upstream. */
private class OwnChange(
    val atMillis: Long,
    val running: Int,
    val tokens: Long,
)
