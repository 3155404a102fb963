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

/** An attempt that has not ended. */
internal class OpenAttempt(
    val rollout: FleetRollout,
    val route: String,
    val version: String,
    val elapsedMillis: Long,
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

    /** Counts a response or a failure of [version]. */
    fun recordOutcome(
        rollout: FleetRollout,
        route: String,
        version: String,
        good: Boolean,
        tookMillis: Long,
    ) {
        val tallies = tracked[rollout.id]?.talliesOf(onNewVersion = version == rollout.target) ?: return
        val outcome = if (good) RouteTally(route, good = 1, timeMillis = tookMillis) else RouteTally(route, failed = 1)
        tallies.merge(route, outcome, RouteTally::plus)
    }

    /** Counts an attempt that was abandoned without a response; one abandoned early is not significant. */
    fun recordAbandoned(attempt: OpenAttempt) {
        val rollout = tracked[attempt.rollout.id]?.takeIf { it.isLate(attempt) } ?: return
        rollout.talliesOf(attempt.onNewVersion).merge(attempt.route, unfinished(attempt), RouteTally::plus)
    }

    /** Returns the outcomes of each running roll-out, including the [open] attempts that take longer than usual. */
    fun tallies(open: List<OpenAttempt>): List<RolloutTally> = tracked.map { (order, rollout) ->
        val late = open.filter { it.rollout.id == order && rollout.isLate(it) }
        val (onNewVersion, onOldVersion) = late.partition { it.onNewVersion }
        RolloutTally(order) +
            RolloutTally(
                order,
                rollout.old.values + onOldVersion.map(::unfinished),
                rollout.new.values + onNewVersion.map(::unfinished),
            )
    }
}

private fun unfinished(attempt: OpenAttempt) =
    RouteTally(attempt.route, unfinished = 1, timeMillis = attempt.elapsedMillis)
