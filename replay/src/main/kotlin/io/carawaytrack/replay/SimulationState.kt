/*
 * State shared by all entries of a simulation: the agents, the versions that sessions are pinned to, the true quality
 * of answers, and the outcome of each request. Random draws for a request depend only on the seed, the request and the
 * purpose of the draw, so that all policies are compared on the same random outcomes.
 */
package io.carawaytrack.replay

import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.ZoneName
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom

internal enum class OutcomeStatus { Answered, Refused, Failed }

/**
 * Outcome of a request.
 *
 * @property cost total cost of the versions that ran the request
 * @property quality true quality of the answer
 * @property exposed whether the request completed on a degraded version
 */
internal data class Outcome(
    val request: TraceRequest,
    val status: OutcomeStatus,
    val latencyMillis: Double,
    val firstTokenMillis: Double,
    val cost: Double,
    val quality: Double,
    val versions: List<ModelVersion>,
    val exposed: Boolean,
)

internal class SimulationState(
    val spec: DeploymentSpec,
    val events: EventQueue,
    private val seed: Long,
) {
    val agents: Map<UpstreamId, AgentModel> = spec.upstreams.associate { it.upstream to AgentModel(it, events) }
    val pinnedVersions = HashMap<String, ModelVersion>()
    val outcomes = mutableListOf<Outcome>()
    val degradedVersions = HashSet<ModelVersion>()

    private val costsPerKiloToken =
        spec.pools
            .flatMap { it.members }
            .associate { it.version to it.costPerKiloToken }

    fun delayMillis(
        from: ZoneName,
        to: ZoneName,
    ): Double = if (from == to) spec.oneWayDelayMillis / SAME_ZONE_DELAY_DIVISOR else spec.oneWayDelayMillis

    fun costOf(
        version: ModelVersion,
        tokens: Long,
    ): Double = costsPerKiloToken.getValue(version) * tokens / TOKENS_PER_KILO_TOKEN

    fun trueQuality(
        request: TraceRequest,
        version: ModelVersion,
    ): Double {
        val baseQuality = spec.quality.getValue(version).of(request.difficulty)
        return if (version in degradedVersions) (baseQuality - QUALITY_LOSS).coerceAtLeast(0.0) else baseQuality
    }

    fun rating(
        request: TraceRequest,
        version: ModelVersion,
    ): Double {
        val noise = randomOf(request, version.hashCode()).asJavaRandom().nextGaussian() * RATING_STANDARD_DEVIATION
        return (trueQuality(request, version) + noise).coerceIn(0.0, 1.0)
    }

    /** Returns the delay until the rating of a request's final answer arrives, or null if it is never rated. */
    fun deferredRatingMillis(request: TraceRequest): Double? {
        val random = randomOf(request, DEFERRED_RATING_PURPOSE)
        if (random.nextDouble() >= RATED_RATIO) return null
        return -ln(1.0 - random.nextDouble()) * MEAN_DEFERRED_RATING_MILLIS
    }

    private fun randomOf(
        request: TraceRequest,
        purpose: Int,
    ) = Random(seed * SEED_FACTOR + request.id * REQUEST_FACTOR + purpose)

    private companion object {
        const val SAME_ZONE_DELAY_DIVISOR = 4.0
        const val TOKENS_PER_KILO_TOKEN = 1_000.0
        const val QUALITY_LOSS = 0.4
        const val RATING_STANDARD_DEVIATION = 0.08
        const val RATED_RATIO = 0.3
        const val MEAN_DEFERRED_RATING_MILLIS = 20_000.0
        const val DEFERRED_RATING_PURPOSE = 77
        const val SEED_FACTOR = 1_000_003L
        const val REQUEST_FACTOR = 7_919L
    }
}
