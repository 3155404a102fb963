/*
 * This host's part in roll-outs: which requests the new version gets now, and what has been seen of both versions.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.FleetRollout
import io.carawaytrack.fleet.FleetRolloutPhase
import io.carawaytrack.fleet.RolloutBounds
import io.carawaytrack.fleet.RolloutTally
import io.carawaytrack.fleet.RouteTally
import io.carawaytrack.fleet.shareAt

internal class RolloutWatch(
    private val bounds: RolloutBounds,
    private val nowMillis: () -> Long,
) {
    private class Watched(
        val sinceMillis: Long,
    ) {
        val old = HashMap<String, RouteTally>()
        val new = HashMap<String, RouteTally>()
    }

    private val watched = HashMap<Long, Watched>()

    /** Forgets roll-outs that are over and begins to watch new ones. */
    fun update(rollouts: List<FleetRollout>) {
        val running = rollouts.filter { it.phase == FleetRolloutPhase.Running }.map { it.order }
        watched.keys.retainAll(running.toSet())
        running.forEach { watched.getOrPut(it) { Watched(nowMillis()) } }
    }

    /** Returns whether [session] goes to the new version; one that does stays there. */
    fun takesNew(
        rollout: FleetRollout,
        session: String,
    ): Boolean {
        val sinceMillis = watched[rollout.order]?.sinceMillis ?: return false
        return unitHash(session) < rollout.shareAt(nowMillis() - sinceMillis, bounds)
    }

    /** Counts an answer or a failure of [version]. */
    fun observed(
        rollout: FleetRollout,
        route: String,
        version: String,
        good: Boolean,
        firstByteMillis: Long,
    ) {
        val tallies = watched[rollout.order]?.let { if (version == rollout.target) it.new else it.old } ?: return
        val seen =
            if (good) {
                RouteTally(
                    route,
                    good = 1,
                    timeMillis = firstByteMillis,
                )
            } else {
                RouteTally(route, failed = 1)
            }
        tallies.merge(route, seen, RouteTally::plus)
    }

    fun tallies(): List<RolloutTally> = watched.map { (order, seen) ->
        RolloutTally(order, seen.old.values.toList(), seen.new.values.toList())
    }
}
