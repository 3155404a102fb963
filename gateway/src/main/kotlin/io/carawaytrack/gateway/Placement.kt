/*
 * Selection of the upstream for a request. The expected load is tens of upstreams shared by tens of hosts, with two
 * kinds of requests: token streams whose prompts share long parts that engines cache, and short calls to services with
 * a few slots each.
 *
 * Each candidate is assigned a cost in milliseconds: the wait for its running and queued requests, the prefill of
 * prompt parts that it has not cached, and the transfer to another availability zone. The cheapest candidate is
 * selected. Rendezvous hashing maps each shared prefix to one preferred engine. All hosts arrive at the same engine
 * without coordination, so that the prefix is processed once and not on every engine.
 *
 * All hosts see the same load reports, which are several requests old. If each selected the cheapest of all engines,
 * they would overload it before its next report. A request therefore compares only the engines that have its prefix
 * with two random ones.
 */
package io.carawaytrack.gateway

import com.dynatrace.hash4j.hashing.Hashing
import io.carawaytrack.model.UpstreamId
import kotlin.random.Random

/** Cost of a request on an engine whose slots are all in use; it is proportional to the load. */
private const val FULL_ENGINE_MILLIS = 400.0

/** Share of used slots above which an engine's requests slow each other down. */
private const val CONTENTION_RATIO = 0.8

/** Additional cost above [CONTENTION_RATIO], for each multiple of the slots. */
private const val CONTENTION_MILLIS = 4_000.0

/**
 * Cost of the prefill of one token: the time that the engine needs, and the delay that this causes for other requests.
 */
private const val PREFILL_TOKEN_MILLIS = 0.06

/** Cost of waiting for a service's slot, for each request ahead; such requests take a few tens of milliseconds. */
private const val SERVICE_WAIT_MILLIS = 40.0

/** Cost of a response from another availability zone: the network latency and the traffic. */
private const val OTHER_ZONE_MILLIS = 14.0

/** Cost of an upstream that failed all of its recent requests. */
private const val FAILING_MILLIS = 6_000.0

/** Cost of an upstream whose announcement is overdue, for each second beyond [NORMAL_ANNOUNCEMENT_GAP_MILLIS]. */
private const val OVERDUE_ANNOUNCEMENT_MILLIS_PER_SECOND = 300.0

/** Number of random engines that a request considers besides those that have its shared prefix. */
private const val RANDOM_ENGINES = 2

/** Longest normal interval between two announcements of an upstream. */
private const val NORMAL_ANNOUNCEMENT_GAP_MILLIS = 2_200L

private const val MILLIS_PER_SECOND = 1_000.0

/**
 * Describes an upstream that can be selected for a request.
 *
 * @property load number of its running and queued requests
 * @property cachedParts identifiers of the prompt parts that it has cached
 * @property failureRatio fraction of its recent requests that failed, 0 to 1
 * @property sinceAnnouncementMillis time since its last announcement
 * @property pace factor by which work takes longer on it than usual at this moment
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
    val pace: Double = 1.0,
)

/**
 * Returns the cheapest of those [candidates] that are considered for [demand], or null when there are none; [random]
 * draws the engines that are considered without having the prefix.
 */
public fun selectCandidate(
    candidates: List<Candidate>,
    demand: PromptDemand,
    random: Random = Random.Default,
): Candidate? {
    if (candidates.size <= 1) return candidates.firstOrNull()
    val preferred = demand.sharedPrefixId?.let { sharedPrefixId -> preferredEngine(sharedPrefixId, candidates) }
    val (withPrefix, others) =
        candidates.partition { !it.engine || it.id == preferred || demand.sharedPrefixId in it.cachedParts }
    val considered = withPrefix + others.shuffled(random).take(RANDOM_ENGINES)
    return considered.minByOrNull { it.costMillis(demand, isPreferred = it.id == preferred) }
}

/** Returns the engine that all hosts prefer for [sharedPrefixId], independent of their own state. */
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
    val waitMillis = if (engine) engineWaitMillis() else serviceWaitMillis()
    val uncachedTokens = if (isPreferred) 0 else demand.sharedParts.filter { it.id !in cachedParts }.sumOf { it.tokens }
    val penaltyMillis = penaltyMillis(sameZone, failureRatio, sinceAnnouncementMillis)
    return penaltyMillis + waitMillis + uncachedTokens * PREFILL_TOKEN_MILLIS
}

/** Returns the cost of an upstream that does not depend on its load: its zone, its failures and its silence. */
internal fun penaltyMillis(
    sameZone: Boolean,
    failureRatio: Double,
    sinceAnnouncementMillis: Long,
): Double {
    val zoneMillis = if (sameZone) 0.0 else OTHER_ZONE_MILLIS
    val failingMillis = failureRatio * FAILING_MILLIS
    val overdueMillis =
        maxOf(0, sinceAnnouncementMillis - NORMAL_ANNOUNCEMENT_GAP_MILLIS) / MILLIS_PER_SECOND *
            OVERDUE_ANNOUNCEMENT_MILLIS_PER_SECOND
    return zoneMillis + failingMillis + overdueMillis
}

private fun Candidate.engineWaitMillis(): Double {
    val utilization = load.toDouble() / maxOf(1, slots)
    return utilization * FULL_ENGINE_MILLIS + maxOf(0.0, utilization - CONTENTION_RATIO) * CONTENTION_MILLIS
}

private fun Candidate.serviceWaitMillis(): Double {
    val utilization = load.toDouble() / maxOf(1, slots)
    val waitMillis = (utilization + maxOf(0.0, utilization - CONTENTION_RATIO) * slots) * SERVICE_WAIT_MILLIS
    // The call itself takes longer on a slow upstream, also on one without load.
    return waitMillis * pace + SERVICE_WAIT_MILLIS * (pace - 1.0)
}
