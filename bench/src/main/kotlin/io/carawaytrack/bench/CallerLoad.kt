/*
 * Streams many answers at once, through an entry or straight from an upstream, and measures the time to the first token
 * and between tokens.
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

private const val LONGEST_NANOS = 120_000_000_000L
private const val DIGITS = 3
private const val NANOS_PER_MILLI = 1e6
private const val NANOS_PER_SECOND = 1e9
private const val MEDIAN = 50.0
private const val TAIL = 99.0
private const val END_EVENT = "data: [DONE]"

/** Tells how [streams] callers fared. */
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
    private val firstToken = ConcurrentHistogram(LONGEST_NANOS, DIGITS)
    private val gap = ConcurrentHistogram(LONGEST_NANOS, DIGITS)
    private val answers = AtomicInteger()
    private val failures = AtomicInteger()

    suspend fun run(streams: Int): StreamResult {
        val startedNanos = System.nanoTime()
        client(streams).use { client ->
            coroutineScope {
                repeat(streams) { launch { repeat(answersPerStream) { one(client) } } }
            }
        }
        val seconds = (System.nanoTime() - startedNanos) / NANOS_PER_SECOND
        return StreamResult(
            target = target.toString(),
            streams = streams,
            answers = answers.get(),
            failures = failures.get(),
            firstTokenMedianMillis = firstToken.millisAt(MEDIAN),
            firstTokenTailMillis = firstToken.millisAt(TAIL),
            gapMedianMillis = gap.millisAt(MEDIAN),
            gapTailMillis = gap.millisAt(TAIL),
            answersPerSecond = answers.get() / seconds,
            tokensPerSecond = gap.totalCount / seconds,
        )
    }

    private fun client(streams: Int) = HttpClient(CIO) {
        engine {
            requestTimeout = 0
            maxConnectionsCount = streams
            endpoint { maxConnectionsPerRoute = streams }
        }
    }

    private suspend fun one(client: HttpClient) {
        val sentNanos = System.nanoTime()
        var lastNanos = sentNanos
        var ended = false
        client.preparePost("http://$target/v1/chat/completions") { chat() }.execute { response ->
            val body = response.bodyAsChannel()
            forEachEvent(body) { line ->
                ended = line == END_EVENT
                val now = System.nanoTime()
                val histogram = if (lastNanos == sentNanos) firstToken else gap
                histogram.recordValue((now - lastNanos).coerceAtMost(LONGEST_NANOS))
                lastNanos = now
            }
        }
        (if (ended) answers else failures).incrementAndGet()
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

    private fun HttpRequestBuilder.chat() {
        key?.let { header(HttpHeaders.Authorization, "Bearer $it") }
        contentType(ContentType.Application.Json)
        setBody(
            """{"model":"$model","stream":true,"max_tokens":$answerTokens,""" +
                """"messages":[{"role":"user","content":"Find the fault of a drawer that will not close."}]}""",
        )
    }

    private fun ConcurrentHistogram.millisAt(percentile: Double) = getValueAtPercentile(percentile) / NANOS_PER_MILLI
}
