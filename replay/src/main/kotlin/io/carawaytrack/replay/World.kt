/*
 * What all entries of a replay share: the agents, the sessions' pins, the true quality of answers, and what became of
 * each request. Whatever is drawn for a request depends on the seed and the request alone, so that all policies meet
 * the same difficulties.
 */
package io.carawaytrack.replay

import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.ZoneName
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom

/** Tells how a request ended. */
internal enum class Ending { Answered, Refused, Failed }

/**
 * Records what became of a request.
 *
 * @property cost price of all versions that ran it
 * @property quality true quality of the answer
 * @property exposed whether a version that had turned bad ran it
 */
internal data class Outcome(
    val request: TraceRequest,
    val ending: Ending,
    val latencyMillis: Double,
    val firstTokenMillis: Double,
    val cost: Double,
    val quality: Double,
    val versions: List<ModelVersion>,
    val exposed: Boolean,
)

internal class World(
    val spec: DeploymentSpec,
    val events: EventQueue,
    private val seed: Long,
) {
    val agents: Map<UpstreamId, AgentModel> = spec.upstreams.associate { it.upstream to AgentModel(it, events) }
    val sessions = HashMap<String, ModelVersion>()
    val outcomes = mutableListOf<Outcome>()
    val bad = HashSet<ModelVersion>()

    private val prices =
        spec.pools
            .flatMap { it.members }
            .associate { it.version to it.costPerKiloToken }

    fun delayMillis(
        from: ZoneName,
        to: ZoneName,
    ): Double = if (from == to) spec.oneWayMillis / SAME_ZONE_DIVISOR else spec.oneWayMillis

    fun price(
        version: ModelVersion,
        tokens: Long,
    ): Double = prices.getValue(version) * tokens / TOKENS_PER_KILO_TOKEN

    fun trueQuality(
        request: TraceRequest,
        version: ModelVersion,
    ): Double {
        val usual = spec.quality.getValue(version).of(request.difficulty)
        return if (version in bad) (usual - BAD_LOSS).coerceAtLeast(0.0) else usual
    }

    fun rating(
        request: TraceRequest,
        version: ModelVersion,
    ): Double {
        val noise = randomOf(request, version.hashCode()).asJavaRandom().nextGaussian() * RATING_DEVIATION
        return (trueQuality(request, version) + noise).coerceIn(0.0, 1.0)
    }

    /** Returns when the rating of a request's last answer arrives, or null when it is never rated. */
    fun lateRatingMillis(request: TraceRequest): Double? {
        val random = randomOf(request, LATE_RATING)
        if (random.nextDouble() >= RATED_SHARE) return null
        return -ln(1.0 - random.nextDouble()) * LATE_RATING_MILLIS
    }

    private fun randomOf(
        request: TraceRequest,
        purpose: Int,
    ) = Random(seed * SEED_FACTOR + request.id * REQUEST_FACTOR + purpose)

    private companion object {
        const val SAME_ZONE_DIVISOR = 4.0
        const val TOKENS_PER_KILO_TOKEN = 1_000.0
        const val BAD_LOSS = 0.4
        const val RATING_DEVIATION = 0.08
        const val RATED_SHARE = 0.3
        const val LATE_RATING_MILLIS = 20_000.0
        const val LATE_RATING = 77
        const val SEED_FACTOR = 1_000_003L
        const val REQUEST_FACTOR = 7_919L
    }
}
