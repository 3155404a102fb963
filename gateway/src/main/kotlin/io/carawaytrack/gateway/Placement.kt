/*
 * Where a request goes. The load it answers: tens of upstreams shared by tens of hosts; token streams whose prompts
 * share long parts that an engine keeps, and short calls on services with a few slots each.
 *
 * Every candidate gets a cost in milliseconds: the wait for its running and waiting requests, the reading of prompt
 * parts that it doesn't hold, and what the way to another availability zone costs. The request goes to the cheapest.
 * Requests about one subject have one home among the engines, on which all hosts agree without talking, so that its
 * parts are read once and not on every engine.
 */
package io.carawaytrack.gateway

import com.dynatrace.hash4j.hashing.Hashing
import io.carawaytrack.model.UpstreamId

/** Cost of a request that finds every slot of an engine taken, in milliseconds; half as much at half the load. */
private const val FULL_ENGINE_MILLIS = 400.0

/** Share of slots from which an engine's requests get in each other's way. */
private const val CONTENTION_RATIO = 0.8

/** Cost of each further share of the slots beyond [CROWDED_SHARE], in milliseconds. */
private const val CONTENTION_MILLIS = 4_000.0

/** Cost of a token that has to be read, in milliseconds: the time it takes an engine, and the work others wait for. */
private const val PREFILL_TOKEN_MILLIS = 0.06

/** Cost of a request of a few tens of milliseconds that waits for a slot of a service, for each request before it. */
private const val SERVICE_WAIT_MILLIS = 40.0

/** Cost of an answer from another availability zone, in milliseconds: the way there and the bytes it takes. */
private const val OTHER_ZONE_MILLIS = 14.0

/** Cost of an upstream that failed all of its recent requests, in milliseconds. */
private const val FAILING_MILLIS = 6_000.0

/** Cost of an upstream whose announcements have stopped, in milliseconds for each second of silence beyond two. */
private const val OVERDUE_ANNOUNCEMENT_MILLIS_PER_SECOND = 300.0

/** Silence that is usual between announcements, in milliseconds. */
private const val NORMAL_ANNOUNCEMENT_GAP_MILLIS = 2_200L

private const val MILLIS_PER_SECOND = 1_000.0

/**
 * Describes an upstream that may take a request.
 *
 * @property load requests that it has
 * @property heldParts identifiers of prompt parts that it holds
 * @property failureShare share of its recent requests that failed
 * @property silentMillis time since its last announcement
 */
public data class Candidate(
    val id: UpstreamId,
    val sameZone: Boolean,
    val load: Int,
    val slots: Int,
    val engine: Boolean,
    val cachedParts: Set<String> = emptySet(),
    val failureRatio: Double = 0.0,
    val sinceAnnouncementMillis: Long = 0,
)

/** Returns the cheapest of [candidates] for [demand], or null when there is none. */
public fun selectCandidate(
    candidates: List<Candidate>,
    demand: PromptDemand,
): Candidate? {
    if (candidates.size <= 1) return candidates.firstOrNull()
    val preferred = demand.sharedPrefixId?.let { sharedPrefixId -> preferredEngine(sharedPrefixId, candidates) }
    return candidates.minByOrNull { it.costMillis(demand, isPreferred = it.id == preferred) }
}

/** Returns the engine that all hosts take first for [subject], whatever else they know. */
private fun preferredEngine(
    sharedPrefixId: String,
    candidates: List<Candidate>,
): UpstreamId? = candidates
    .filter { it.engine }
    .maxByOrNull { Hashing.komihash5_0().hashCharsToLong(sharedPrefixId + '/' + it.id.value) }
    ?.id

private fun Candidate.costMillis(
    demand: PromptDemand,
    isPreferred: Boolean,
): Double {
    val zoneMillis = if (sameZone) 0.0 else OTHER_ZONE_MILLIS
    val failingMillis = failureRatio * FAILING_MILLIS
    val overdueMillis =
        maxOf(0, sinceAnnouncementMillis - NORMAL_ANNOUNCEMENT_GAP_MILLIS) / MILLIS_PER_SECOND *
            OVERDUE_ANNOUNCEMENT_MILLIS_PER_SECOND
    val waitMillis = if (engine) engineWaitMillis() else serviceWaitMillis()
    val uncachedTokens = if (isPreferred) 0 else demand.sharedParts.filter { it.id !in cachedParts }.sumOf { it.tokens }
    return zoneMillis + failingMillis + overdueMillis + waitMillis + uncachedTokens * PREFILL_TOKEN_MILLIS
}

private fun Candidate.engineWaitMillis(): Double {
    val utilization = load.toDouble() / maxOf(1, slots)
    return utilization * FULL_ENGINE_MILLIS + maxOf(0.0, utilization - CONTENTION_RATIO) * CONTENTION_MILLIS
}

private fun Candidate.serviceWaitMillis(): Double {
    val utilization = load.toDouble() / maxOf(1, slots)
    return (utilization + maxOf(0.0, utilization - CONTENTION_RATIO) * slots) * SERVICE_WAIT_MILLIS
}
