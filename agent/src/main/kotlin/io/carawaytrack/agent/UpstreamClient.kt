/*
 * Sends attempts to the upstream over HTTP and relays the answers in chunks.
 */
package io.carawaytrack.agent

import io.carawaytrack.model.HostPort
import io.carawaytrack.wire.Header
import io.carawaytrack.wire.OpenAttempt
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.content.ByteArrayContent
import io.ktor.util.flattenEntries
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket

private const val MAX_CHUNK_BYTES = 16 * 1024
private const val PROBE_TIMEOUT_MILLIS = 1_000
private const val MAX_CONNECTIONS = 10_000

private val hopByHopHeaders =
    setOf("connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "content-length", "host")

/** Receives an upstream's answer: the head once, then the body in chunks. */
internal interface AnswerSink {
    suspend fun head(
        status: Int,
        headers: List<Header>,
    )

    suspend fun chunk(bytes: ByteArray)
}

/** Runs an attempt on the upstream; throws `IOException` when the connection fails or is lost. */
internal typealias RunUpstream = suspend (attempt: OpenAttempt, sink: AnswerSink) -> Unit

internal class UpstreamClient(
    private val upstream: HostPort,
) : AutoCloseable {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            followRedirects = false
            engine {
                requestTimeout = 0
                maxConnectionsCount = MAX_CONNECTIONS
                endpoint { maxConnectionsPerRoute = MAX_CONNECTIONS }
            }
        }

    /** Sends [attempt] with [traceparent] as its trace context and relays the answer to [sink]. */
    suspend fun run(
        attempt: OpenAttempt,
        traceparent: String?,
        sink: AnswerSink,
    ) {
        val request =
            client.prepareRequest {
                method = HttpMethod.parse(attempt.method)
                url("http://$upstream${attempt.path}")
                attempt.headers.filter(::isForwarded).forEach { header(it.name, it.value) }
                header(REQUEST_ID_HEADER, attempt.request.value)
                traceparent?.let { header("traceparent", it) }
                if (attempt.body.isNotEmpty()) setBody(ByteArrayContent(attempt.body))
            }
        request.execute { response -> relay(response, sink) }
    }

    private suspend fun relay(
        response: HttpResponse,
        sink: AnswerSink,
    ) {
        val headers = response.headers.flattenEntries().map { (name, value) -> Header(name, value) }
        sink.head(response.status.value, headers.filterNot { it.name.lowercase() in hopByHopHeaders })
        relayBody(response.bodyAsChannel(), sink)
    }

    private suspend fun relayBody(
        body: ByteReadChannel,
        sink: AnswerSink,
    ) {
        val buffer = ByteArray(MAX_CHUNK_BYTES)
        while (true) {
            val count = body.readAvailable(buffer)
            if (count < 0) return
            if (count > 0) sink.chunk(buffer.copyOf(count))
        }
    }

    private fun isForwarded(header: Header): Boolean {
        val name = header.name.lowercase()
        return name !in hopByHopHeaders && name != HttpHeaders.Authorization.lowercase() && name != "traceparent"
    }

    /** Returns whether the upstream accepts connections. */
    suspend fun probe(): Boolean = withContext(Dispatchers.IO) {
        try {
            Socket().use { it.connect(InetSocketAddress(upstream.host, upstream.port), PROBE_TIMEOUT_MILLIS) }
            true
        } catch (_: IOException) {
            false
        }
    }

    override fun close(): Unit = client.close()
}

internal const val REQUEST_ID_HEADER = "X-Request-Id"
