/*
 * Time since each roll-out began, on this host's steady clock. A host that learns of a roll-out from a peer adopts the
 * peer's elapsed time, so that all hosts reach the stages of a roll-out together. The wall clock, which may differ
 * between hosts, is used only after a restart, when the roll-out is read from this host's own disk.
 */
package io.carawaytrack.mesh

import io.carawaytrack.fleet.FleetRollout
import io.carawaytrack.fleet.FleetView

/** Age on the wall clock below which a roll-out counts as having just begun: about the difference between clocks. */
private const val LATE_ROLLOUT_MILLIS = 1_500L

/** Measures the time since each known roll-out began. */
public class RolloutClock internal constructor(
    private val nowMillis: () -> Long,
    private val wallClockMillis: () -> Long,
) {
    private val beganAtMillis = HashMap<Long, Long>()

    /** Records the roll-outs of [view]; [reportedMillis] holds the elapsed time by roll-out as a peer measured it. */
    internal fun update(
        view: FleetView,
        reportedMillis: Map<Long, Long> = emptyMap(),
    ) {
        beganAtMillis.keys.retainAll(view.rollouts.mapTo(HashSet()) { it.id })
        view.rollouts.forEach { rollout ->
            beganAtMillis.getOrPut(rollout.id) { nowMillis() - (reportedMillis[rollout.id] ?: ageOf(rollout)) }
        }
    }

    /** Returns the time since [rollout] began, or zero if it is unknown. */
    public fun elapsedMillis(rollout: FleetRollout): Long = beganAtMillis[rollout.id]?.let { nowMillis() - it } ?: 0

    /** Returns the elapsed time of each known roll-out. */
    internal fun elapsedMillis(): Map<Long, Long> = beganAtMillis.mapValues { nowMillis() - it.value }

    private fun ageOf(rollout: FleetRollout): Long {
        val ageMillis = wallClockMillis() - rollout.beganAtMillis
        return if (ageMillis > LATE_ROLLOUT_MILLIS) minOf(ageMillis, rollout.durationMillis) else 0
    }
}
