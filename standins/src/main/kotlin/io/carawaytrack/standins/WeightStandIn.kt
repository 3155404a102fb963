/*
 * A stand-in for the weight store. It serves seeded random bytes for any model and version and limits the number of
 * downloads within a sliding window.
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
 * Settings of a weight store stand-in.
 *
 * @property downloadsPerWindow downloads that are served within [windowMillis]; further ones get status 429
 * @property weightBytes size of every download
 */
public data class WeightSettings(
    val port: Int = 0,
    val downloadsPerWindow: Int = 4,
    val windowMillis: Long = 1_000,
    val weightBytes: Int = 1_024,
    val seed: Long = 1,
)

/** Reply to `GET /counters` of a weight store stand-in. */
@Serializable
public data class WeightCounts(
    val served: Long = 0,
    val refused: Long = 0,
)

/** A stand-in that runs in the process of its creator; closing it closes every connection. */
public interface WeightStandIn : AutoCloseable {
    /** Port on 127.0.0.1. */
    public val port: Int

    /** Numbers of downloads that were served and refused. */
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
        val waitMillis = admitDownload()
        if (waitMillis > 0) {
            val waitSeconds = (waitMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND
            response.header("Retry-After", waitSeconds.toString())
            return respondJson(
                ErrorReply(
                    "expected at most ${settings.downloadsPerWindow} downloads within ${settings.windowMillis} ms",
                ),
                HttpStatusCode.TooManyRequests,
            )
        }
        val seed = seedOf(settings.seed, parameters["model"].orEmpty(), parameters["version"].orEmpty())
        respondBytes(Random(seed).nextBytes(settings.weightBytes))
    }

    /** Admits a download and returns 0, or returns the time in milliseconds until one can be admitted. */
    private fun admitDownload(): Long = synchronized(lock) {
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
