/*
 * Load generator that streams many answers concurrently, through an entry or directly from an upstream, and measures
 * the time to the first token and between tokens.
 */
package io.carawaytrack.bench

import io.carawaytrack.model.HostPort
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.contentType
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readLine
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import org.HdrHistogram.ConcurrentHistogram
import java.util.concurrent.atomic.AtomicInteger

private const val MAX_RECORDED_NANOS = 120_000_000_000L
private const val SIGNIFICANT_DIGITS = 3
private const val NANOS_PER_MILLI = 1e6
private const val NANOS_PER_SECOND = 1e9
private const val MEDIAN_PERCENTILE = 50.0
private const val TAIL_PERCENTILE = 99.0
private const val END_OF_STREAM_EVENT = "data: [DONE]"

/** Reports the outcome counts, latencies and throughput of [streams] concurrent callers. */
@Serializable
internal data class StreamResult(
    val target: String,
    val streams: Int,
    val answers: Int,
    val failures: Int,
    val firstTokenMedianMillis: Double,
    val firstTokenTailMillis: Double,
    val gapMedianMillis: Double,
    val gapTailMillis: Double,
    val answersPerSecond: Double,
    val tokensPerSecond: Double,
)

internal class CallerLoad(
    private val target: HostPort,
    private val model: String,
    private val key: String?,
    private val answersPerStream: Int,
    private val answerTokens: Int,
) {
    private val firstTokenNanos = ConcurrentHistogram(MAX_RECORDED_NANOS, SIGNIFICANT_DIGITS)
    private val gapNanos = ConcurrentHistogram(MAX_RECORDED_NANOS, SIGNIFICANT_DIGITS)
    private val answers = AtomicInteger()
    private val failures = AtomicInteger()

    suspend fun run(streams: Int): StreamResult {
        val startedNanos = System.nanoTime()
        client(streams).use { client ->
            coroutineScope {
                repeat(streams) { launch { repeat(answersPerStream) { streamAnswer(client) } } }
            }
        }
        val seconds = (System.nanoTime() - startedNanos) / NANOS_PER_SECOND
        return StreamResult(
            target = target.toString(),
            streams = streams,
            answers = answers.get(),
            failures = failures.get(),
            firstTokenMedianMillis = firstTokenNanos.millisAt(MEDIAN_PERCENTILE),
            firstTokenTailMillis = firstTokenNanos.millisAt(TAIL_PERCENTILE),
            gapMedianMillis = gapNanos.millisAt(MEDIAN_PERCENTILE),
            gapTailMillis = gapNanos.millisAt(TAIL_PERCENTILE),
            answersPerSecond = answers.get() / seconds,
            tokensPerSecond = gapNanos.totalCount / seconds,
        )
    }

    private fun client(streams: Int) = HttpClient(CIO) {
        engine {
            requestTimeout = 0
            maxConnectionsCount = streams
            endpoint { maxConnectionsPerRoute = streams }
        }
    }

    private suspend fun streamAnswer(client: HttpClient) {
        val sentNanos = System.nanoTime()
        var previousNanos = sentNanos
        var completed = false
        client.preparePost("http://$target/v1/chat/completions") { setChatRequest() }.execute { response ->
            val body = response.bodyAsChannel()
            forEachEvent(body) { line ->
                completed = line == END_OF_STREAM_EVENT
                val nowNanos = System.nanoTime()
                val histogram = if (previousNanos == sentNanos) firstTokenNanos else gapNanos
                histogram.recordValue((nowNanos - previousNanos).coerceAtMost(MAX_RECORDED_NANOS))
                previousNanos = nowNanos
            }
        }
        (if (completed) answers else failures).incrementAndGet()
    }

    private suspend fun forEachEvent(
        body: ByteReadChannel,
        onEvent: (String) -> Unit,
    ) {
        while (true) {
            val line = body.readLine() ?: return
            if (line.startsWith("data:")) onEvent(line)
        }
    }

    private fun HttpRequestBuilder.setChatRequest() {
        key?.let { header(HttpHeaders.Authorization, "Bearer $it") }
        contentType(ContentType.Application.Json)
        setBody(
            """{"model":"$model","stream":true,"max_tokens":$answerTokens,""" +
                """"messages":[{"role":"user","content":"Find the fault of a drawer that will not close."}]}""",
        )
    }

    private fun ConcurrentHistogram.millisAt(percentile: Double) = getValueAtPercentile(percentile) / NANOS_PER_MILLI
}
