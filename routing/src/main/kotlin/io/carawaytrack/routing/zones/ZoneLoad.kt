/*
 * Inputs of the decision whether requests leave their zone, and the summary of a zone's upstreams on which it relies.
 */
package io.carawaytrack.routing.zones

/** Part of the upstreams of a zone, the fastest ones, whose expected times represent the zone. */
private const val REPRESENTATIVE_RATIO = 0.5

/**
 * Load of one pool as seen from one zone; a time is infinite if there is no usable upstream.
 *
 * @property homeMillis expected time of a typical request in the home zone
 * @property awayMillis expected time of a typical request in the other zones, without the crossing
 * @property crossingMillis latency that a caller sees when its request leaves the zone
 * @property costMillis operator's price of a request that leaves the zone, as a time
 */
public data class ZoneLoad(
    val homeMillis: Double,
    val awayMillis: Double,
    val crossingMillis: Double,
    val costMillis: Double,
)

/**
 * Returns the time that represents upstreams with the [expectedMillis]: the mean of the faster half. The fastest one
 * alone would make the side with more upstreams look better, although a request compares only a few of them.
 */
public fun representativeMillis(expectedMillis: List<Double>): Double {
    val usable = expectedMillis.filter { it.isFinite() && it >= 0 }.sorted()
    if (usable.isEmpty()) return Double.POSITIVE_INFINITY
    return usable.take(maxOf(1, (usable.size * REPRESENTATIVE_RATIO).toInt())).average()
}
