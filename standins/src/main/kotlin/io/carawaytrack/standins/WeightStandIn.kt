/*
 * A stand-in for the weight store: it serves bytes for any model and version, but only so many downloads in a window of
 * time.
 */
package io.carawaytrack.standins

import io.ktor.http.HttpStatusCode
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.routing.Routing
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.get
import kotlinx.serialization.Serializable
import kotlin.random.Random

/**
 * Sets up a weight store stand-in.
 *
 * @property downloadsPerWindow downloads that are served within [windowMillis]; the others are answered 429
 * @property weightBytes size of every download
 */
public data class WeightSettings(
    val port: Int = 0,
    val downloadsPerWindow: Int = 4,
    val windowMillis: Long = 1_000,
    val weightBytes: Int = 1_024,
    val seed: Long = 1,
)

/** Answers `GET /counters` of a weight store stand-in. */
@Serializable
public data class WeightCounts(
    val served: Long = 0,
    val refused: Long = 0,
)

/** Runs in the process of its creator; closing it cuts every connection. */
public interface WeightStandIn : AutoCloseable {
    /** Port on 127.0.0.1. */
    public val port: Int

    /** Counts of downloads. */
    public val counts: WeightCounts
}

/** Starts a weight store stand-in. */
public fun WeightStandIn(
    settings: WeightSettings = WeightSettings(),
    timing: Timing = Timing(),
): WeightStandIn = HttpWeightStandIn(settings, timing)

private class HttpWeightStandIn(
    private val settings: WeightSettings,
    private val timing: Timing,
) : WeightStandIn {
    private val lock = Any()
    private val servedAtMillis = ArrayDeque<Long>()
    private var current = WeightCounts()
    private val server = LoopbackServer(settings.port) { routes() }

    override val port: Int get() = server.port
    override val counts: WeightCounts get() = synchronized(lock) { current }

    override fun close(): Unit = server.close()

    private fun Routing.routes() {
        get("/weights/{model}/{version}") { call.download() }
        get("/counters") { call.respondJson(counts) }
    }

    private suspend fun RoutingCall.download() {
        val waitMillis = takeTurn()
        if (waitMillis > 0) {
            val waitSeconds = (waitMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND
            response.header("Retry-After", waitSeconds.toString())
            return respondJson(ErrorReply("too many downloads"), HttpStatusCode.TooManyRequests)
        }
        val seed = seedOf(settings.seed, parameters["model"].orEmpty(), parameters["version"].orEmpty())
        respondBytes(Random(seed).nextBytes(settings.weightBytes))
    }

    /** Returns 0 where the download may go on, else the time until the next one may. */
    private fun takeTurn(): Long = synchronized(lock) {
        val nowMillis = timing.nowMillis()
        while (servedAtMillis.isNotEmpty() && nowMillis - servedAtMillis.first() >= settings.windowMillis) {
            servedAtMillis.removeFirst()
        }
        if (servedAtMillis.size >= settings.downloadsPerWindow) {
            current = current.copy(refused = current.refused + 1)
            return settings.windowMillis - (nowMillis - servedAtMillis.first())
        }
        servedAtMillis.addLast(nowMillis)
        current = current.copy(served = current.served + 1)
        0
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
