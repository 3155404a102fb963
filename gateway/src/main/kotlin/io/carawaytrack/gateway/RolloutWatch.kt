/*
 * This host's part in roll-outs: which requests the new version gets now, and what has been seen of both versions.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.FleetRollout
import io.carawaytrack.fleet.FleetRolloutPhase
import io.carawaytrack.fleet.RolloutBounds
import io.carawaytrack.fleet.RolloutTally
import io.carawaytrack.fleet.RouteTally
import io.carawaytrack.fleet.newVersionShareAt

/** An attempt that has not ended: on which route and version, and for how long. */
internal class OpenAttempt(
    val rollout: FleetRollout,
    val route: String,
    val version: String,
    val elapsedMillis: Long,
) {
    val onNew: Boolean get() = version == rollout.target
}

internal class RolloutWatch(
    private val bounds: RolloutBounds,
    private val nowMillis: () -> Long,
) {
    private class Watched(
        val sinceMillis: Long,
    ) {
        val old = HashMap<String, RouteTally>()
        val new = HashMap<String, RouteTally>()

        fun of(onNew: Boolean) = if (onNew) new else old

        /** Returns whether [attempt] has taken longer than an ordinary answer, so that it tells something. */
        fun isLate(attempt: OpenAttempt) = attempt.elapsedMillis > (old[attempt.route]?.meanMillis ?: 0.0)
    }

    private val watched = HashMap<Long, Watched>()

    /** Forgets roll-outs that are over and begins to watch new ones. */
    fun update(rollouts: List<FleetRollout>) {
        val running = rollouts.filter { it.phase == FleetRolloutPhase.Running }.map { it.id }
        watched.keys.retainAll(running.toSet())
        running.forEach { watched.getOrPut(it) { Watched(nowMillis()) } }
    }

    /** Returns whether [session] goes to the new version; one that does stays there. */
    fun takesNew(
        rollout: FleetRollout,
        session: String,
    ): Boolean {
        val sinceMillis = watched[rollout.id]?.sinceMillis ?: return false
        return unitHash(session) < rollout.newVersionShareAt(nowMillis() - sinceMillis, bounds)
    }

    /** Counts an answer or a failure of [version]. */
    fun observed(
        rollout: FleetRollout,
        route: String,
        version: String,
        good: Boolean,
        tookMillis: Long,
    ) {
        val tallies = watched[rollout.id]?.of(onNew = version == rollout.target) ?: return
        val seen = if (good) RouteTally(route, good = 1, timeMillis = tookMillis) else RouteTally(route, failed = 1)
        tallies.merge(route, seen, RouteTally::plus)
    }

    /** Counts an attempt that was left without an answer; one that was left early says nothing. */
    fun left(attempt: OpenAttempt) {
        val seen = watched[attempt.rollout.id]?.takeIf { it.isLate(attempt) } ?: return
        seen.of(attempt.onNew).merge(attempt.route, unfinished(attempt), RouteTally::plus)
    }

    /** Returns what has been seen of each running roll-out, with those of [open] that take longer than usual. */
    fun tallies(open: List<OpenAttempt>): List<RolloutTally> = watched.map { (order, seen) ->
        val late = open.filter { it.rollout.id == order && seen.isLate(it) }
        val (onNew, onOld) = late.partition { it.onNew }
        RolloutTally(order) +
            RolloutTally(order, seen.old.values + onOld.map(::unfinished), seen.new.values + onNew.map(::unfinished))
    }
}

private fun unfinished(attempt: OpenAttempt) =
    RouteTally(attempt.route, unfinished = 1, timeMillis = attempt.elapsedMillis)
