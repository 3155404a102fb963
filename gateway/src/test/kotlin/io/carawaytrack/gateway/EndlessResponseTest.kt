/*
 * Upstreams in trouble that send bytes which are no response, or no progress: without end until the connection is
 * closed, or now and then.
 */
package io.carawaytrack.gateway

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import java.io.OutputStream
import java.util.concurrent.TimeUnit

private const val PIECE = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

/** Interval between two bytes of an upstream that is stalled. */
private const val TRICKLE_INTERVAL_MILLIS = 100L

internal class EndlessResponseTest : GatewayFixture() {
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
            out.raw(event(1) + "0\r\n\r\n")
        } else {
            out.send(fullResponse("200 OK", "done"))
        }
    }

    @Test
    fun `a stream that stalls but sends a byte now and then is resumed elsewhere`() {
        serve(
            { _, out, _ ->
                out.send(STREAM_HEAD)
                out.raw(event(1))
                while (true) {
                    out.raw("1\r\n:\r\n")
                    Thread.sleep(TRICKLE_INTERVAL_MILLIS)
                }
                @Suppress("UNREACHABLE_CODE")
                true
            },
            { _, out, _ ->
                out.send(STREAM_HEAD)
                out.raw(event(2) + "0\r\n\r\n")
                true
            },
        )
        expectThat(exchange(request("/prompt/x"))?.body).isEqualTo("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
    }

    @Test
    fun `a slow but sound stream is not cut`() {
        serve(
            { _, out, _ ->
                out.send(STREAM_HEAD)
                (1..SLOW_EVENTS).forEach { id ->
                    out.raw(event(id))
                    Thread.sleep(SLOW_EVENT_INTERVAL_MILLIS)
                }
                true.also { out.raw("0\r\n\r\n") }
            },
            { _, out, _ -> true.also { out.send(fullResponse("500 Internal Server Error", "not asked for")) } },
        )
        expectThat(
            exchange(request("/prompt/x"))
                ?.body
                .orEmpty()
                .lines()
                .count { it.startsWith("id: ") },
        ).isEqualTo(SLOW_EVENTS)
        expectThat(upstreams[1].requests.size).isEqualTo(0)
    }

    private companion object {
        const val DEADLINE_MILLIS = 10_000
        const val SLOW_EVENTS = 4
        const val SLOW_EVENT_INTERVAL_MILLIS = 1_200L
        const val REFUSAL_HEAD =
            "HTTP/1.1 503 Busy\nx-attempt: id1\nx-not-executed: 1\nTransfer-Encoding: chunked\n\n"
        const val OTHER_HEAD = "HTTP/1.1 200 OK\nx-attempt: id0\nx-seal: s\nTransfer-Encoding: chunked\n\n"
        const val CHUNK = "40\r\n$PIECE\r\n"

        @JvmStatic
        fun cases() = listOf(
            Case("in a status line", "/lookup/x", "HTTP/1.1 200 ", PIECE, "200"),
            Case("in a head", "/lookup/x", "HTTP/1.1 200 OK\n", "x-more: $PIECE\r\n", "200"),
            Case("in a head of a call that may run once", "/pay/x", "HTTP/1.1 200 OK\n", "x-more: $PIECE\r\n", "502"),
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
