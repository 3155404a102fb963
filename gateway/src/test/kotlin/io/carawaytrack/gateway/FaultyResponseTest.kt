/*
 * Upstreams that repeat an earlier refusal, close in the middle of a head, or answer the rest of a stream with an
 * error: what callers get, and how often a request runs.
 */
package io.carawaytrack.gateway

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import java.io.OutputStream
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.atomic.AtomicInteger

/** Time after which an upstream that broke attempts is used again. */
private const val PAUSE_OVER_MILLIS = 5_000L

/** Size of a body that fits neither the buffers of its sender nor those of its receiver. */
private const val LONG_BODY_BYTES = 16 * 1024 * 1024

/** Time to resume a stream; the first request of a process takes over a second on a busy machine. */
private const val RESUME_MILLIS = 2_500

private const val UNFRAMED_HEAD = "HTTP/1.1 200 OK\nx-attempt: id1\nx-seal: s\n\n"

private const val STREAM_BEGIN = "id: 1\ndata: 1\n\n"

internal class FaultyResponseTest : GatewayFixture() {
    private val runs = AtomicInteger()
    private val refusal = fullResponse("503 Service Unavailable", "", "x-not-executed: 1\n")
    private val answer = fullResponse("200 OK", "done")

    /** Refuses the first request, and writes the refusal once more before the answer to a later one beside it. */
    private fun refuseOnceThenRepeat(): (RawMessage, OutputStream, Socket) -> Boolean {
        var refusedOn: Socket? = null
        return { _, out, socket ->
            when {
                refusedOn == null -> out.send(refusal).also { refusedOn = socket }
                refusedOn === socket -> runs.incrementAndGet().also { out.send(refusal + answer) }
                else -> runs.incrementAndGet().also { out.send(answer) }
            }
            true
        }
    }

    @Test
    fun `a refusal that is repeated on a kept connection is not the response to the request's next attempt`() {
        serve(refuseOnceThenRepeat())
        expectThat(exchange(request("/pay/x"))?.body).isEqualTo("done")
        expectThat(runs.get()).isEqualTo(1)
    }

    @Test
    fun `a refusal without an identifier on a kept connection does not state that the request has not run`() {
        val anonymous = refusal.replace("x-attempt: id1\n", "")
        serve({ request, out, _ ->
            val first = request.body == "first"
            if (!first) runs.incrementAndGet()
            out.send(if (first) answer else anonymous + answer)
            true
        })
        expectThat(exchange(request("/pay/x", body = "first"))?.body).isEqualTo("done")
        expectThat(exchange(request("/pay/x", body = "second"))?.start?.substring(9, 12)).isEqualTo("502")
        expectThat(runs.get()).isEqualTo(1)
    }

    private class HeadCase(
        val name: String,
        val path: String,
        val head: String,
    )

    @TestFactory
    fun `a response whose head is cut off is not a success`(): List<DynamicTest> = listOf(
        HeadCase("a call", "/pay/x", answer.substringBefore("done")),
        HeadCase("a call without a length", "/pay/x", "HTTP/1.1 200 OK\nx-attempt: id1\nx-seal: s\n\n"),
        HeadCase("a stream", "/oneoff/x", STREAM_HEAD),
    ).map { case ->
        dynamicTest(case.name) {
            var length = 0
            serve({ _, out, _ -> false.also { out.send(case.head.take(length)) } })
            while (length < case.head.length - 1) {
                advance(PAUSE_OVER_MILLIS)
                expectThat(exchange(request(case.path))?.start?.substring(9, 12)).isNotEqualTo("200")
                length++
            }
            expectThat(upstreams.last().requests.size).isEqualTo(case.head.length - 1)
        }
    }

    enum class ResumeError(
        val response: String,
    ) {
        WithLength("HTTP/1.1 500 Internal Server Error\nx-attempt: id1\nContent-Length: 5\n\nsorry"),
        InChunks("HTTP/1.1 500 Internal Server Error\nx-attempt: id1\nTransfer-Encoding: chunked\n\n5\nsorry\n0\n\n"),
        WithoutLength("HTTP/1.1 500 Internal Server Error\nx-attempt: id1\n\nsorry"),
        LooksLikeEvent("HTTP/1.1 404 Not Found\nx-attempt: id1\nContent-Length: 15\n\nid: 2\ndata: 2\n\n"),
        MayHaveRun("HTTP/1.1 503 Service Unavailable\nx-attempt: id1\nContent-Length: 5\n\nsorry"),
        NotRun("HTTP/1.1 503 Service Unavailable\nx-attempt: id1\nx-not-executed: 1\nContent-Length: 0\n\n"),
        NoResponse("sorry\n\n"),
        UnsignedEvent("HTTP/1.1 200 OK\nx-attempt: id1\nContent-Length: 18\n\nid: 2\ndata: 2\n\n"),
        InvalidStatus("HTTP/1.1 000 OK\nx-attempt: id1\nx-seal: s\nContent-Length: 18\n\nid: 2\ndata: 2\n\n"),
        InvalidFieldName(
            "HTTP/1.1 200 OK\nx-attempt: id1\nx-seal: s\nx y: 1\nContent-Length: 18\n\nid: 2\ndata: 2\n\n",
        ),
        InvalidChunk("${STREAM_HEAD}12\nid: 2\ndata: 2\n\nX\n0\n\n"),
        UnsignedEnd("HTTP/1.1 200 OK\nx-attempt: id1\nContent-Length: 0\n\n"),
    }

    @ParameterizedTest
    @EnumSource
    fun `an error of the upstream that is to resume a stream does not reach the caller`(error: ResumeError) {
        serve(
            { _, out, _ -> false.also { out.send(STREAM_HEAD).also { _ -> out.raw(event(1)) } } },
            { _, out, _ -> false.also { out.send(error.response) } },
        )
        expectThat(exchange(request("/draft/x", deadlineMillis = RESUME_MILLIS))?.body).isEqualTo(
            STREAM_BEGIN + "(broken off)",
        )
    }

    // Guards against a truncated answer that a caller without chunked coding takes for complete.
    @Test
    fun `a stream that breaks off is reset for a caller that speaks HTTP 1 point 0`() {
        serve({ _, out, _ -> false.also { out.send(STREAM_HEAD).also { _ -> out.raw(event(1)) } } })
        FakeCaller(callers).use { caller ->
            caller.send(request("/oneoff/x").replace("HTTP/1.1", "HTTP/1.0"))
            expectThrows<SocketException> { caller.readUntil("data: 2\n\n") }
        }
    }

    /** A caller's request on [path], and the [body] that the caller receives. */
    enum class TruncatedAnswer(
        val path: String,
        val body: String,
    ) {
        ResumableStream("/draft/x", STREAM_BEGIN + "id: 2\ndata: 2\n\n"),
        StreamThatMayRunOnce("/oneoff/x", "$STREAM_BEGIN(broken off)"),
        RepeatableCall("/lookup/x", "done"),
        CallThatMayRunOnce("/pay/x", "the upstream connection failed before a complete response: Broken\n"),
    }

    // Guards against a truncated answer that reaches its caller as complete.
    @ParameterizedTest
    @EnumSource
    fun `an answer without a length is not complete if the request could not be sent in full`(case: TruncatedAnswer) {
        val stream = "data" in case.body
        val truncating =
            FakeUpstream(readsBodies = false) { _, out, _ ->
                out.send(UNFRAMED_HEAD)
                out.raw(if (stream) STREAM_BEGIN else "do")
                // The gateway has read this part before the reset, once it has answered requests that came later.
                repeat(2) { exchange(request("/nothing/x")) }
                false
            }
        val sound =
            FakeUpstream { _, out, _ ->
                if (stream) out.send(STREAM_HEAD).also { out.raw(event(2) + "0\r\n\r\n") } else out.send(answer)
                true
            }
        serveFrom(listOf(truncating, sound), maxBodyBytes = LONG_BODY_BYTES.toLong())
        val response = exchange(request(case.path, body = "a".repeat(LONG_BODY_BYTES)))
        expectThat(response?.body).isEqualTo(case.body)
    }
}
