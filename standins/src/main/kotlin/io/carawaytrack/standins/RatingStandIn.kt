/*
 * A stand-in for the rating service. It reads the quality marker that the engine stand-in put into the answer and adds
 * seeded noise; ratings can be delayed or missing.
 */
package io.carawaytrack.standins

import com.github.michaelbull.result.mapBoth
import io.ktor.http.HttpStatusCode
import io.ktor.server.routing.Routing
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.Serializable
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/**
 * Settings of a rating stand-in.
 *
 * @property noise standard deviation of the ratings
 * @property delayMillis delay of each reply
 * @property missingRatio fraction of answers, 0 to 1, that get status 404 instead of a rating
 * @property unmarkedRating rating of an answer without a marker
 */
public data class RatingSettings(
    val port: Int = 0,
    val noise: Double = 0.05,
    val delayMillis: Long = 0,
    val missingRatio: Double = 0.0,
    val unmarkedRating: Double = 0.0,
    val seed: Long = 1,
)

/** Request for the rating of an answer. */
@Serializable
public data class RatingRequest(
    val request: String,
    val model: String = "",
    val version: String = "",
    val answer: String,
)

/** Reply with a rating from 0 to 1. */
@Serializable
public data class RatingReply(
    val rating: Double,
)

/** Reply to `GET /counters` of a rating stand-in. */
@Serializable
public data class RatingCounts(
    val rated: Long,
    val missing: Long,
)

/** A stand-in that runs in the process of its creator; closing it closes every connection. */
public interface RatingStandIn : AutoCloseable {
    /** Port on 127.0.0.1. */
    public val port: Int

    /** Numbers of answers with a rating and with none. */
    public val counts: RatingCounts
}

/** Starts a rating stand-in. */
public fun RatingStandIn(
    settings: RatingSettings = RatingSettings(),
    timing: Timing = Timing(),
): RatingStandIn = HttpRatingStandIn(settings, timing)

/** Returns the rating of [request], or null if it is missing; equal requests get equal ratings. */
internal fun rate(
    settings: RatingSettings,
    request: RatingRequest,
): Double? {
    val random = Random(seedOf(settings.seed, request.request, request.model, request.version, request.answer))
    if (random.nextDouble() < settings.missingRatio) return null
    val quality = markedQuality(request.answer) ?: settings.unmarkedRating
    return (quality + random.nextGaussian() * settings.noise).coerceIn(0.0, 1.0)
}

private const val UNIFORM_DRAWS_PER_GAUSSIAN = 12

/** Draws from an approximately standard normal distribution, as a sum of uniform draws with a variance of 1/12 each. */
private fun Random.nextGaussian(): Double =
    (1..UNIFORM_DRAWS_PER_GAUSSIAN).sumOf { nextDouble() } - UNIFORM_DRAWS_PER_GAUSSIAN / 2.0

private class HttpRatingStandIn(
    private val settings: RatingSettings,
    private val timing: Timing,
) : RatingStandIn {
    private val rated = AtomicLong()
    private val missing = AtomicLong()
    private val server = LoopbackServer(settings.port) { routes() }

    override val port: Int get() = server.port
    override val counts: RatingCounts get() = RatingCounts(rated.get(), missing.get())

    override fun close(): Unit = server.close()

    private fun Routing.routes() {
        post("/rate") { call.rate() }
        get("/counters") { call.respondJson(counts) }
    }

    private suspend fun RoutingCall.rate() {
        receiveJson<RatingRequest>().mapBoth(
            success = { respond(rate(settings, it)) },
            failure = { respondJson(ErrorReply(it), HttpStatusCode.BadRequest) },
        )
    }

    private suspend fun RoutingCall.respond(rating: Double?) {
        timing.delayMillis(settings.delayMillis)
        if (rating == null) {
            missing.incrementAndGet()
            return respondJson(ErrorReply("no rating"), HttpStatusCode.NotFound)
        }
        rated.incrementAndGet()
        respondJson(RatingReply(rating))
    }
}
