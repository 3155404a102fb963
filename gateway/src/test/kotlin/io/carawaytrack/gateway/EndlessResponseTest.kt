/*
 * Upstreams in trouble that send bytes which are no response, or no progress: without end until the connection is
 * closed, or now and then.
 */
package io.carawaytrack.gateway

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import java.io.OutputStream
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

private const val PIECE = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

internal class EndlessResponseTest : GatewayFixture(clockDivisor = 10) {
    /** An upstream sends [start] and then [piece] without end; the caller receives the status [expected]. */
    class Case(
        private val name: String,
        val path: String,
        val start: String,
        val piece: String,
        val expected: String,
    ) {
        override fun toString(): String = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `bytes without end are cut off, and the request is served elsewhere if it may be`(case: Case) {
        serve(
            { _, out, _ ->
                out.send(case.start)
                while (true) out.write(case.piece.encodeToByteArray())
                @Suppress("UNREACHABLE_CODE")
                true
            },
            { request, out, _ -> true.also { respondWell(request, out) } },
        )
        val beganAtNanos = System.nanoTime()
        val response = exchange(request(case.path, deadlineMillis = DEADLINE_MILLIS))
        expectThat(response?.start?.substring(9, 12)).isEqualTo(case.expected)
        // Long before the deadline, which would end the exchange in any case.
        val tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganAtNanos)
        expectThat(tookMillis).isLessThan(DEADLINE_MILLIS / 2L)
        expectThat(upstreams[0].closedByPeer.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isNotNull()
    }

    private fun respondWell(
        request: RawMessage,
        out: OutputStream,
    ) {
        if (request.start.contains("/draft/")) {
            out.send(STREAM_HEAD)
            out.raw(event(1) + LAST_CHUNK)
        } else {
            out.send(fullResponse("200 OK", "done"))
        }
    }

    /** What the stalled or slow upstream is to send next; it sends nothing by itself. */
    private val pieces = LinkedBlockingQueue<String>()

    private val sent = LinkedBlockingQueue<String>()

    private fun OutputStream.sendPieces() {
        while (true) pieces.take().let { piece -> raw(piece).also { sent += piece } }
    }

    private fun sendNow(piece: String) {
        pieces += piece
        checkNotNull(sent.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)) { "expected the upstream to send $piece" }
    }

    @Test
    fun `a stream that stalls but sends a byte now and then is resumed elsewhere`() {
        serve(
            { request, out, _ ->
                if (request.start.contains("/lookup/")) {
                    true.also { out.send(fullResponse("200 OK", "done")) }
                } else {
                    out.send(STREAM_HEAD)
                    out.sendPieces()
                    true
                }
            },
            { _, out, _ ->
                out.send(STREAM_HEAD)
                out.raw(event(2) + LAST_CHUNK)
                true
            },
        )
        FakeCaller(callers).use { caller ->
            // The deadline passes before the upstream has been silent for long, so only the lack of events can show.
            caller.send(request("/prompt/x", deadlineMillis = STALLED_DEADLINE_MILLIS))
            sendNow(event(1))
            caller.readUntil("data: 1\n\n")
            repeat(STALLED_STEPS) {
                sendNow("1\r\n:\r\n")
                // The gateway has read the byte once it has served another request.
                exchange(request("/lookup/x"))
                advance(STALLED_STEP_MILLIS)
            }
            expectThat(caller.readUntil(LAST_CHUNK)).contains("id: 2\ndata: 2\n\n")
        }
    }

    @Test
    fun `a slow but sound stream is not cut`() {
        serve(
            { _, out, _ ->
                out.send(STREAM_HEAD)
                out.sendPieces()
                true
            },
            { _, out, _ -> true.also { out.send(fullResponse("500 Internal Server Error", "not asked for")) } },
        )
        FakeCaller(callers).use { caller ->
            caller.send(request("/prompt/x"))
            (1..SLOW_EVENTS).forEach { id ->
                sendNow(event(id))
                expectThat(caller.readUntil("data: $id\n\n")).contains("id: $id\n")
                repeat(SLOW_EVENT_INTERVAL_MILLIS / GATEWAY_TICK_MILLIS.toInt()) { advance(GATEWAY_TICK_MILLIS) }
            }
            sendNow(LAST_CHUNK)
            expectThat(caller.readUntil(LAST_CHUNK)).endsWith(LAST_CHUNK)
        }
        expectThat(upstreams[1].requests.size).isEqualTo(0)
    }

    private companion object {
        const val DEADLINE_MILLIS = 10_000
        const val SLOW_EVENTS = 4
        const val SLOW_EVENT_INTERVAL_MILLIS = 1_200

        /** Steps that add up to more than the longest time without progress on the route, 3 s. */
        const val STALLED_STEPS = 7
        const val STALLED_STEP_MILLIS = 500L
        const val STALLED_DEADLINE_MILLIS = 5_000
        const val LAST_CHUNK = "0\r\n\r\n"
        const val REFUSAL_HEAD =
            "HTTP/1.1 503 Busy\nx-attempt: id1\nx-not-executed: 1\nTransfer-Encoding: chunked\n\n"
        const val OTHER_HEAD = "HTTP/1.1 200 OK\nx-attempt: id0\nx-seal: s\nTransfer-Encoding: chunked\n\n"
        const val CHUNKED_HEAD = "HTTP/1.1 200 OK\nx-attempt: id1\nx-seal: s\nTransfer-Encoding: chunked\n\n"
        const val UNSIGNED_HEAD = "HTTP/1.1 200 OK\nx-attempt: id1\nTransfer-Encoding: chunked\n\n"
        const val CHUNK = "40\r\n$PIECE\r\n"

        @JvmStatic
        fun cases() = listOf(
            Case("in a status line", "/lookup/x", "HTTP/1.1 200 ", PIECE, "200"),
            Case("in a head", "/lookup/x", "HTTP/1.1 200 OK\n", "x-more: $PIECE\r\n", "200"),
            Case("in a head of a call that may run once", "/pay/x", "HTTP/1.1 200 OK\n", "x-more: $PIECE\r\n", "502"),
            Case("in the size of a chunk", "/lookup/x", CHUNKED_HEAD, PIECE, "200"),
            Case("in the size of a chunk of a call that may run once", "/pay/x", CHUNKED_HEAD, PIECE, "502"),
            Case("in the trailers", "/lookup/x", CHUNKED_HEAD + "0\n", "x-more: $PIECE\r\n", "200"),
            Case(
                "in the trailers of a call that may run once",
                "/pay/x",
                CHUNKED_HEAD + "0\n",
                "x-more: $PIECE\r\n",
                "502",
            ),
            Case("in a success without a signature", "/lookup/x", UNSIGNED_HEAD, CHUNK, "200"),
            Case("in a success without a signature of a call that may run once", "/pay/x", UNSIGNED_HEAD, CHUNK, "502"),
            Case("as interim responses", "/lookup/x", "", "HTTP/1.1 100 Continue\r\n\r\n", "200"),
            Case("in the body of a refusal", "/lookup/x", REFUSAL_HEAD, CHUNK, "200"),
            Case("in the body of a refusal of a call that may run once", "/pay/x", REFUSAL_HEAD, CHUNK, "200"),
            Case("in the body of a response to another request", "/lookup/x", OTHER_HEAD, CHUNK, "200"),
            Case("in the body of a response to another call that may run once", "/pay/x", OTHER_HEAD, CHUNK, "502"),
            Case("in an event of a stream", "/draft/x", STREAM_HEAD, CHUNK, "200"),
            Case("in an error response to a stream", "/draft/x", STREAM_HEAD.replace("200", "500"), CHUNK, "200"),
        )
    }
}
