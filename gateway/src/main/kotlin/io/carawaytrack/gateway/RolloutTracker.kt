/*
 * This host's part in roll-outs: which requests are sent to the new version, and the outcomes observed for both
 * versions.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.FleetRollout
import io.carawaytrack.fleet.FleetRolloutPhase
import io.carawaytrack.fleet.RolloutBounds
import io.carawaytrack.fleet.RolloutTally
import io.carawaytrack.fleet.RouteTally
import io.carawaytrack.fleet.newVersionRatioAt

/**
 * An attempt that has not ended, or ends now.
 *
 * @property spanMillis shortest time for [PAUSES_PER_SPAN] pauses between events, once the stream has had as many
 * @property unfinishedSpanMillis time since the first event of a stream that has not had as many
 */
internal class OpenAttempt(
    val rollout: FleetRollout,
    val route: String,
    val version: String,
    val elapsedMillis: Long,
    val spanMillis: Long? = null,
    val unfinishedSpanMillis: Long? = null,
) {
    val onNewVersion: Boolean get() = version == rollout.target
}

internal class RolloutTracker(
    private val bounds: RolloutBounds,
    private val elapsedMillis: (FleetRollout) -> Long,
) {
    private class TrackedRollout {
        val old = HashMap<String, RouteTally>()
        val new = HashMap<String, RouteTally>()

        fun talliesOf(onNewVersion: Boolean) = if (onNewVersion) new else old

        /**
         * Returns whether [attempt] already exceeds the old version's mean response time, which makes it significant.
         */
        fun isLate(attempt: OpenAttempt) = attempt.elapsedMillis > (old[attempt.route]?.meanMillis ?: 0.0)

        /** Returns the pace of [attempt]; one whose first span already exceeds the old version's mean counts, too. */
        fun paceOf(attempt: OpenAttempt): RouteTally {
            val usual = old[attempt.route]?.takeIf { it.paced > 0 }
            val overdueMillis = attempt.unfinishedSpanMillis?.takeIf { usual != null && it > usual.meanSpanMillis }
            return pace(attempt.route, attempt.spanMillis ?: overdueMillis)
        }

        /** Returns the tally of an [attempt] that has no complete response. */
        fun unfinished(attempt: OpenAttempt): RouteTally {
            if (!isLate(attempt)) return paceOf(attempt)
            return paceOf(attempt) + RouteTally(attempt.route, unfinished = 1, timeMillis = attempt.elapsedMillis)
        }
    }

    private val tracked = HashMap<Long, TrackedRollout>()

    /** Stops tracking roll-outs that have ended and starts tracking new ones. */
    fun update(rollouts: List<FleetRollout>) {
        val running = rollouts.filter { it.phase == FleetRolloutPhase.Running }.map { it.id }
        tracked.keys.retainAll(running.toSet())
        running.forEach { tracked.getOrPut(it, ::TrackedRollout) }
    }

    /** Returns whether requests with [affinity] use the new version; a session that has moved there stays. */
    fun usesNewVersion(
        rollout: FleetRollout,
        affinity: RequestAffinity,
    ): Boolean {
        if (rollout.id !in tracked) return false
        val ratio = rollout.newVersionRatioAt(elapsedMillis(rollout), bounds, affinity.inSession)
        return unitHash(affinity.key) < ratio
    }

    /** Counts the response or the failure with which [attempt] ends. */
    fun recordOutcome(
        attempt: OpenAttempt,
        good: Boolean,
    ) {
        val tallies = tracked[attempt.rollout.id]?.talliesOf(attempt.onNewVersion) ?: return
        val route = attempt.route
        val outcome =
            if (good) RouteTally(route, 1, timeMillis = attempt.elapsedMillis) else RouteTally(route, failed = 1)
        tallies.merge(route, outcome + pace(route, attempt.spanMillis), RouteTally::plus)
    }

    /** Counts an attempt that was abandoned without a response; the duration of one abandoned early says nothing. */
    fun recordAbandoned(attempt: OpenAttempt) {
        val rollout = tracked[attempt.rollout.id] ?: return
        rollout.talliesOf(attempt.onNewVersion).merge(attempt.route, rollout.unfinished(attempt), RouteTally::plus)
    }

    /** Returns the outcomes of each running roll-out, including what the [open] attempts show so far. */
    fun tallies(open: List<OpenAttempt>): List<RolloutTally> = tracked.map { (order, rollout) ->
        val (onNewVersion, onOldVersion) = open.filter { it.rollout.id == order }.partition { it.onNewVersion }
        RolloutTally(order) +
            RolloutTally(
                order,
                rollout.old.values + onOldVersion.map(rollout::unfinished),
                rollout.new.values + onNewVersion.map(rollout::unfinished),
            )
    }
}

private fun pace(
    route: String,
    spanMillis: Long?,
) = if (spanMillis == null) RouteTally(route) else RouteTally(route, paced = 1, spanMillis = spanMillis)
