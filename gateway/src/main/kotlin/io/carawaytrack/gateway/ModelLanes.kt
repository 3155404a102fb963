/*
 * Which engines answer by the smallest model and which by the larger ones. The load it answers: routes whose smallest
 * model is ten times as fast as the largest. An engine makes the tokens of all its requests step by step, so an answer
 * by the smallest model that shares an engine with long prompts for the largest takes as long as one by the largest.
 *
 * The lanes are a preference: where the engines of one lane are crowded, silent or gone, the others take its requests.
 * All hosts come to the same lanes from the same engines without talking.
 */
package io.carawaytrack.gateway

import com.dynatrace.hash4j.hashing.Hashing
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.ZoneName
import kotlin.math.ceil

/** Part of the engines that answer by the smallest model: most first answers are its, and they are short work. */
private const val SMALL_LANE_PART = 0.25

/** Engines from which on there are lanes; fewer share all work. */
private const val LEAST_ENGINES = 3

/** Names an engine and where it is. */
public data class EngineSeat(
    val id: UpstreamId,
    val zone: ZoneName,
)

/**
 * Returns the engines of [seats] that answer by the smallest model; empty where there are too few for two lanes. They
 * are spread over the zones, so that the loss of one zone leaves some.
 */
public fun smallModelLane(seats: Collection<EngineSeat>): Set<UpstreamId> {
    if (seats.size < LEAST_ENGINES) return emptySet()
    val size = ceil(seats.size * SMALL_LANE_PART).toInt()
    return seats
        .groupBy { it.zone }
        .flatMap { (_, inZone) -> inZone.sortedBy { it.point() }.withIndex() }
        .sortedWith(compareBy({ it.index }, { it.value.point() }))
        .take(size)
        .mapTo(HashSet()) { it.value.id }
}

private fun EngineSeat.point(): Long = Hashing.komihash5_0().hashCharsToLong(id.value)
