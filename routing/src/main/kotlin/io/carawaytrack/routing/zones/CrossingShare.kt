/*
 * Decides how many of a host's requests to one pool may leave the zone. The expected load is a demand that changes by
 * half within seconds in each zone, out of phase with the other zones, and tens of hosts that see the same reports,
 * some 400 ms old.
 *
 * The share follows the relative difference between the expected times at home and elsewhere. It acts on the rate at
 * which a backlog grows, so the backlog itself integrates: a controller with an integral of its own oscillated in the
 * simulation, and left the share high after the difference had ended. Each host applies the share to its own requests:
 * whatever the number of hosts, an interval moves at most [MAX_RISE] of a zone's demand.
 */
package io.carawaytrack.routing.zones

import kotlin.math.abs

/** Interval between two changes of the share: that of the exchanged figures. */
public const val CROSSING_INTERVAL_MILLIS: Long = 400

/** Time without an update after which earlier differences say nothing about the present one. */
private const val SMOOTHED_EXPIRY_MILLIS = 3 * CROSSING_INTERVAL_MILLIS

/** Share for each unit of the relative difference beyond [MIN_DIFFERENCE]. */
private const val GAIN = 2.0

/** Relative difference up to which no request leaves: random differences between the zones are as large. */
private const val MIN_DIFFERENCE = 0.1

/** Part of the way to its target that the share moves in an interval. */
private const val APPROACH = 0.4

/** Largest increase of the share in an interval. */
private const val MAX_RISE = 0.1

/** Largest decrease of the share in an interval: traffic returns faster than it leaves. */
private const val MAX_FALL = 0.15

/** Change below which the share stays as it is, so that random differences do not move it. */
private const val MIN_CHANGE = 0.015

/** Gain below which no request leaves, in time: reports vary by as much. */
private const val MIN_GAIN_MILLIS = 2.0

/** Weight of the newest difference; it smooths slowdowns that last less than an interval. */
private const val SMOOTHING = 0.6

/** Why the share has its value. */
public enum class CrossingReason {
    /** The expected times are even, or unknown. */
    Even,

    /** Requests wait longer at home than elsewhere, including the crossing. */
    HomeSlower,

    /** Requests wait no longer at home than elsewhere, including the crossing. */
    HomeFaster,

    /** No upstream at home can be used. */
    NoHomeUpstream,

    /** No upstream elsewhere can be used. */
    NoUpstreamElsewhere,
}

/** Share of one host's requests to one pool that may leave the zone. */
public class CrossingShare {
    private var updatedAtMillis = Long.MIN_VALUE / 2
    private var difference = 0.0

    /** Share of the requests that may leave, 0 to 1. */
    public var share: Double = 0.0
        private set

    /** Reason of the newest update. */
    public var reason: CrossingReason = CrossingReason.Even
        private set

    /** Adapts the share to [load] once in each [CROSSING_INTERVAL_MILLIS] and returns it. */
    public fun update(
        load: ZoneLoad,
        nowMillis: Long,
    ): Double {
        val elapsedMillis = nowMillis - updatedAtMillis
        val newest = load.relativeDifference()
        if (elapsedMillis < CROSSING_INTERVAL_MILLIS || newest == null) return share
        val isRecent = elapsedMillis <= SMOOTHED_EXPIRY_MILLIS
        difference = if (isRecent) difference + (newest - difference) * SMOOTHING else newest
        updatedAtMillis = nowMillis
        reason = load.reason(difference)
        moveTowards((GAIN * (difference - MIN_DIFFERENCE)).coerceIn(0.0, 1.0))
        return share
    }

    private fun moveTowards(target: Double) {
        val change = (APPROACH * (target - share)).coerceIn(-MAX_FALL, MAX_RISE)
        share =
            when {
                abs(change) >= MIN_CHANGE -> share + change
                target == 0.0 -> 0.0
                else -> share
            }
    }

    /** Returns whether a request may leave; [requestHash] is from 0 (inclusive) to 1 (exclusive). */
    public fun mayLeave(requestHash: Double): Boolean = requestHash < share
}

/** Returns by how much home is slower than elsewhere, -1 to 1; null if the times are unknown. */
private fun ZoneLoad.relativeDifference(): Double? {
    val elsewhereMillis = awayMillis + crossingMillis + costMillis
    val gainMillis = homeMillis - elsewhereMillis
    return when {
        homeMillis.isNaN() || elsewhereMillis.isNaN() || homeMillis < 0 || elsewhereMillis < 0 -> null
        homeMillis.isInfinite() && elsewhereMillis.isInfinite() -> null
        homeMillis.isInfinite() -> 1.0
        elsewhereMillis.isInfinite() -> -1.0
        abs(gainMillis) < MIN_GAIN_MILLIS -> 0.0
        else -> gainMillis / (homeMillis + elsewhereMillis)
    }
}

private fun ZoneLoad.reason(difference: Double): CrossingReason = when {
    homeMillis.isInfinite() -> CrossingReason.NoHomeUpstream
    awayMillis.isInfinite() -> CrossingReason.NoUpstreamElsewhere
    difference > MIN_DIFFERENCE -> CrossingReason.HomeSlower
    difference < 0 -> CrossingReason.HomeFaster
    else -> CrossingReason.Even
}
