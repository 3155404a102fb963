/*
 * Sends attempts to the upstream over HTTP and relays the answers in chunks. The JDK's client rejects answers that are
 * not valid or not whole, except for some heads, which are checked here, and for early answers, see RequestBody.kt.
 */
package io.carawaytrack.agent

import io.carawaytrack.model.HostPort
import io.carawaytrack.wire.Header
import io.carawaytrack.wire.OpenAttempt
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.jdk9.collect
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withContext
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.nio.ByteBuffer
import java.util.concurrent.CompletionException
import java.util.concurrent.Flow
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

private const val MAX_CHUNK_BYTES = 16 * 1024
private const val PROBE_TIMEOUT_MILLIS = 1_000

/** Headers that concern one connection, or that the client sets itself. */
private val hopByHopHeaders =
    setOf(
        "connection",
        "keep-alive",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "content-length",
        "host",
        "expect",
    )

/** Receives an upstream's answer: the head once, then the body in chunks. */
internal interface AnswerSink {
    suspend fun head(
        status: Int,
        headers: List<Header>,
    )

    suspend fun chunk(bytes: ByteArray)
}

/** Runs an attempt on the upstream; throws `IOException` if the answer is not valid and whole, or there is none. */
internal typealias RunUpstream = suspend (attempt: OpenAttempt, sink: AnswerSink) -> Unit

private typealias StreamedAnswer = HttpResponse<Flow.Publisher<List<ByteBuffer>>>

internal class UpstreamClient(
    private val upstream: HostPort,
) {
    private val client: HttpClient

    init {
        // The client would send a GET request once more if a used connection is closed before the answer.
        System.setProperty("jdk.httpclient.redirects.retrylimit", "1")
        client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    }

    /** Sends [attempt] with [traceparent] as its trace context and relays the answer to [sink]. */
    suspend fun run(
        attempt: OpenAttempt,
        traceparent: String?,
        sink: AnswerSink,
    ) {
        val request =
            try {
                requestOf(attempt, traceparent)
            } catch (invalid: IllegalArgumentException) {
                throw IOException("the request cannot be sent: ${invalid.message}", invalid)
            }
        relay(send(request), sink)
    }

    private fun requestOf(
        attempt: OpenAttempt,
        traceparent: String?,
    ): HttpRequest {
        val request = HttpRequest.newBuilder(URI.create("http://$upstream${escapedPath(attempt.path)}"))
        request.method(attempt.method, requestBody(attempt.body))
        attempt.headers.filter(::isForwarded).forEach { request.header(it.name, it.value) }
        request.header(REQUEST_ID_HEADER, attempt.request.value)
        traceparent?.let { request.header("traceparent", it) }
        return request.build()
    }

    private suspend fun send(request: HttpRequest): StreamedAnswer = suspendCancellableCoroutine { continuation ->
        val sending = client.sendAsync(request, BodyHandlers.ofPublisher())
        // Only a cancellation that interrupts closes the connection.
        continuation.invokeOnCancellation { sending.cancel(true) }
        sending.whenComplete { answer, failure ->
            val cause = if (failure is CompletionException) failure.cause else failure
            if (cause != null) continuation.resumeWithException(cause)
            if (answer != null) continuation.resume(answer) { _, late, _ -> discard(late) }
        }
    }

    private suspend fun relay(
        answer: StreamedAnswer,
        sink: AnswerSink,
    ) {
        val headers = answer.headers().map().flatMap { (name, values) -> values.map { Header(name, it) } }
        val reason = invalidHeadReason(answer.statusCode(), headers)
        if (reason != null) {
            discard(answer)
            throw IOException("invalid answer: $reason")
        }
        sink.head(answer.statusCode(), headers.filterNot { it.name.lowercase() in hopByHopHeaders })
        answer.body().collect { buffers -> buffers.forEach { relayChunks(it, sink) } }
    }

    private suspend fun relayChunks(
        buffer: ByteBuffer,
        sink: AnswerSink,
    ) {
        while (buffer.hasRemaining()) {
            sink.chunk(ByteArray(minOf(buffer.remaining(), MAX_CHUNK_BYTES)).also(buffer::get))
        }
    }

    /** Closes the connection of an [answer] whose body is not read. */
    private fun discard(answer: StreamedAnswer) = answer.body().subscribe(
        object : Flow.Subscriber<List<ByteBuffer>> {
            override fun onSubscribe(subscription: Flow.Subscription) = subscription.cancel()

            override fun onNext(item: List<ByteBuffer>) = Unit

            override fun onError(throwable: Throwable) = Unit

            override fun onComplete() = Unit
        },
    )

    private fun isForwarded(header: Header): Boolean {
        val name = header.name.lowercase()
        return name !in hopByHopHeaders && name != "authorization" && name != "traceparent"
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
}

internal const val REQUEST_ID_HEADER = "X-Request-Id"

private const val ESCAPE_FORMAT = "%%%02X"
private const val ILLEGAL_IN_PATHS = "\"<>[\\]^`{|}"

/** A percent sign that begins no escape sequence. */
private val barePercent = Regex("%(?![0-9A-Fa-f]{2})")

/** Returns [path] with the characters escaped that a URI must not hold. */
private fun escapedPath(path: String): String = buildString {
    path.replace(barePercent, "%25").toByteArray().forEach { byte ->
        val char = byte.toInt().toChar()
        if (char in '!'..'~' && char !in ILLEGAL_IN_PATHS) append(char) else append(ESCAPE_FORMAT.format(byte))
    }
}
