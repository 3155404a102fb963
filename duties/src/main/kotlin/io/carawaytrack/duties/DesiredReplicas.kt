/*
 * Number of replicas that the work of a pool needs in a zone. Addresses load that grows or shrinks for longer than a
 * replica takes to start; shorter bursts are left to the queues.
 */
package io.carawaytrack.duties

import io.carawaytrack.model.PoolName
import io.carawaytrack.model.ZoneName
import kotlin.math.ceil

/** Fraction of the slots that is to be occupied; the rest takes up the growth while replicas start. */
private const val TARGET_OCCUPANCY = 0.8

/** Time for which less must be needed before one replica is given back. */
private const val LOWER_NEED_MILLIS = 10_000L

/**
 * Bounds of the replicas in a zone.
 *
 * @property bootMillis time from an order to the first announcement of the new replica
 */
public data class ScalingBounds(
    val min: Int,
    val max: Int,
    val bootMillis: Long,
)

/**
 * Work and replicas of a pool in a zone.
 *
 * @property running requests that run on replicas that are not draining
 * @property waiting requests that wait at these replicas
 * @property slots slots of one replica; zero while none is known
 * @property ready replicas that are not draining
 */
public data class ReplicaDemand(
    val pool: PoolName,
    val zone: ZoneName,
    val bounds: ScalingBounds,
    val running: Int,
    val waiting: Int,
    val slots: Int,
    val ready: Int,
)

/**
 * Returns the replicas that [demand] needs while [starting] further ones have been ordered and do not serve yet. Work
 * that waits for those is not ordered for twice, and they are not cancelled before they have served.
 */
internal fun desiredReplicas(
    demand: ReplicaDemand,
    starting: Int,
): Int {
    val bounds = demand.bounds
    val present = demand.ready + starting
    val work = demand.running + demand.waiting
    val needed = if (demand.slots == 0) present else ceil(work / (demand.slots * TARGET_OCCUPANCY)).toInt()
    return (if (starting > 0) maxOf(needed, present) else needed).coerceIn(bounds.min, bounds.max)
}

/** Returns the next order after [ordered]: more at once, and one less after less was [desired] for long enough. */
internal fun nextOrder(
    ordered: Int,
    desired: Int,
    lowerForMillis: Long,
): Int = when {
    desired >= ordered -> desired
    lowerForMillis >= LOWER_NEED_MILLIS -> ordered - 1
    else -> ordered
}

/** Orders for one pool and zone by one holder. */
internal class ReplicaTarget(
    private val nowMillis: () -> Long,
) {
    private var ordered: Int? = null
    private var raisedAtMillis: Long? = null
    private var lowerSinceMillis: Long? = null

    /** Count that the platform has accepted from this holder. */
    var accepted: Int? = null

    /** Returns the count that is to be ordered for [demand]. */
    fun update(demand: ReplicaDemand): Int {
        // The first order of a holder confirms what there is; the order of its predecessor is not known.
        val before = ordered ?: demand.ready.coerceIn(demand.bounds.min, demand.bounds.max)
        val booting = raisedAtMillis?.let { nowMillis() - it < demand.bounds.bootMillis } == true
        val desired = desiredReplicas(demand, if (booting) maxOf(0, before - demand.ready) else 0)
        val sinceMillis = if (desired < before) lowerSinceMillis ?: nowMillis() else null
        val next = nextOrder(before, desired, sinceMillis?.let { nowMillis() - it } ?: 0)
        if (next > before) raisedAtMillis = nowMillis()
        lowerSinceMillis = if (next < before) null else sinceMillis
        ordered = next
        return next
    }
}
