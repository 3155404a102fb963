/*
 * Limits on what callers send that change while a connection is open, or while a request is half read, through a
 * gateway over loopback. In each case a caller first makes a small request, so that its connection is older than the
 * change.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CallerLimits
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.OutputStream
import java.net.Socket

private const val SMALL_BYTES = 8_192
private const val LARGE_BYTES = 16_384

/** Between the two limits, whatever else the head contains. */
private const val BETWEEN_BYTES = 10_000

/** Beyond both limits. */
private const val BEYOND_BYTES = 20_000

internal class ChangedLimitsTest : GatewayFixture() {
    /** A request that is sent while a limit changes; [sentBefore] are its bytes that arrive before the change. */
    private class LimitCase(
        val name: String,
        val before: Int,
        val after: Int,
        val status: String,
        val sentBefore: Int = 0,
        val request: ChangedLimitsTest.() -> String,
    )

    private fun withHeader(bytes: Int) = request("/lookup/x", headers = "x-trace: ${"t".repeat(bytes)}\n")

    private fun withHeaders(bytes: Int): String {
        val headers = (1..bytes / HEADER_BYTES).map { "x-$it: ${"t".repeat(HEADER_BYTES)}\n" }
        return request("/lookup/x", headers = headers.joinToString(""))
    }

    private fun withLine(bytes: Int) = request("/lookup/${"x".repeat(bytes)}")

    private fun withTrailer(bytes: Int) =
        "POST /lookup/x HTTP/1.1\nHost: shop.example\nx-attempt: id1\nAuthorization: Bearer k1\n" +
            "Transfer-Encoding: chunked\n\n4\nbody\n0\nx-trace: ${"t".repeat(bytes)}\n\n"

    private fun withBody(bytes: Int) = request("/lookup/x", body = "b".repeat(bytes))

    private fun withChunk(bytes: Int) =
        "POST /lookup/x HTTP/1.1\nHost: shop.example\nx-attempt: id1\nAuthorization: Bearer k1\n" +
            "Transfer-Encoding: chunked\n\n${bytes.toString(16)}\n${"b".repeat(bytes)}\n0\n\n"

    private val bodies =
        listOf(
            LimitCase("a body under a raised limit", SMALL_BYTES, LARGE_BYTES, OK) { withBody(BETWEEN_BYTES) },
            LimitCase("a body over a lowered limit", LARGE_BYTES, SMALL_BYTES, BODY_TOO_LARGE) {
                withBody(BETWEEN_BYTES)
            },
            LimitCase("a body half read at the raise", SMALL_BYTES, LARGE_BYTES, OK, sentBefore = 5_000) {
                withChunk(BETWEEN_BYTES)
            },
            LimitCase("a body half read at the lowering", LARGE_BYTES, SMALL_BYTES, OK, sentBefore = 5_000) {
                withBody(BETWEEN_BYTES)
            },
            LimitCase("chunks half read at the lowering", LARGE_BYTES, SMALL_BYTES, OK, sentBefore = 5_000) {
                withChunk(BETWEEN_BYTES)
            },
        )

    private val heads =
        listOf(
            LimitCase("a header under a raised limit", SMALL_BYTES, LARGE_BYTES, OK) { withHeader(BETWEEN_BYTES) },
            LimitCase("many headers under a raised limit", SMALL_BYTES, LARGE_BYTES, OK) { withHeaders(BETWEEN_BYTES) },
            LimitCase("a request line under a raised limit", SMALL_BYTES, LARGE_BYTES, OK) { withLine(BETWEEN_BYTES) },
            LimitCase("a trailer under a raised limit", SMALL_BYTES, LARGE_BYTES, OK) { withTrailer(BETWEEN_BYTES) },
            LimitCase("a header over a raised limit", SMALL_BYTES, LARGE_BYTES, TOO_LARGE) { withHeader(BEYOND_BYTES) },
            LimitCase("many headers over a raised limit", SMALL_BYTES, LARGE_BYTES, TOO_LARGE) {
                withHeaders(BEYOND_BYTES)
            },
            LimitCase("a request line over a raised limit", SMALL_BYTES, LARGE_BYTES, TOO_LARGE) {
                withLine(BEYOND_BYTES)
            },
            LimitCase("a trailer over a raised limit", SMALL_BYTES, LARGE_BYTES, BAD) { withTrailer(BEYOND_BYTES) },
            LimitCase("a header over a lowered limit", LARGE_BYTES, SMALL_BYTES, TOO_LARGE) {
                withHeader(BETWEEN_BYTES)
            },
            LimitCase("many headers over a lowered limit", LARGE_BYTES, SMALL_BYTES, TOO_LARGE) {
                withHeaders(BETWEEN_BYTES)
            },
            LimitCase("a request line over a lowered limit", LARGE_BYTES, SMALL_BYTES, TOO_LARGE) {
                withLine(BETWEEN_BYTES)
            },
            LimitCase("a request line of 8000 bytes under any limit", LARGE_BYTES, 500, OK) { withLine(7_900) },
            LimitCase("a header half read at the raise", SMALL_BYTES, LARGE_BYTES, OK, sentBefore = 5_000) {
                withHeader(BETWEEN_BYTES)
            },
            LimitCase("headers half read at the raise", SMALL_BYTES, LARGE_BYTES, OK, sentBefore = 5_000) {
                withHeaders(BETWEEN_BYTES)
            },
            LimitCase("a request line half read at the raise", SMALL_BYTES, LARGE_BYTES, OK, sentBefore = 5_000) {
                withLine(BETWEEN_BYTES)
            },
            LimitCase("a header half read at the lowering", LARGE_BYTES, SMALL_BYTES, OK, sentBefore = 5_000) {
                withHeader(BETWEEN_BYTES)
            },
            LimitCase("headers half read at the lowering", LARGE_BYTES, SMALL_BYTES, OK, sentBefore = 9_000) {
                withHeaders(BETWEEN_BYTES)
            },
        )

    /** Guards against connections that keep the limit on headers of the time at which they were opened. */
    @TestFactory
    fun `a limit on headers that changes holds on open connections, and for heads that are half read`() =
        heads.map { dynamicTest(it.name) { play(it) { bytes -> CallerLimits(maxHeaderBytes = bytes) } } }

    /** Guards against uploads that are refused halfway because the limit on bodies is lowered meanwhile. */
    @TestFactory
    fun `a limit on bodies that changes holds on open connections, but not for bodies that are half read`() =
        bodies.map { dynamicTest(it.name) { play(it) { bytes -> CallerLimits(maxBodyBytes = bytes.toLong()) } } }

    /** Time that an open connection is idle after its limit has changed, and the limits before and after. */
    private class IdleCase(
        val name: String,
        val beforeMillis: Long,
        val afterMillis: Long,
        val isKept: Boolean,
    )

    private val idle =
        listOf(
            IdleCase("a raised limit on idle time keeps a connection open", 5_000, 15_000, isKept = true),
            IdleCase("a lowered limit on idle time closes a connection", 15_000, 5_000, isKept = false),
        )

    /** Guards against connections that keep the limit on idle time of the time at which they were opened. */
    @TestFactory
    fun `a limit on idle time that changes holds on open connections`() = idle.map { case ->
        dynamicTest(case.name) {
            val test = ChangedLimitsTest()
            try {
                expectThat(test.isKept(case)).isEqualTo(case.isKept)
            } finally {
                test.stop()
            }
        }
    }

    private fun isKept(case: IdleCase): Boolean {
        serveDone(CallerLimits(idleTimeoutMillis = case.beforeMillis))
        return FakeCaller(callers).use { caller ->
            caller.send(request("/lookup/x"))
            expectThat(caller.response()?.status).isEqualTo(OK)
            changeLimits(CallerLimits(idleTimeoutMillis = case.afterMillis))
            advance(IDLE_MILLIS)
            // Idle connections are looked for at every tenth tick.
            repeat(TICKS_PER_CHECK) { advance(0) }
            if (case.isKept) caller.send(request("/lookup/x"))
            caller.response()?.status == OK
        }
    }

    private fun serveDone(limits: CallerLimits) {
        val respond = { _: RawMessage, out: OutputStream, _: Socket ->
            true.also { out.send(fullResponse("200 OK", "done")) }
        }
        serve(respond)
        changeLimits(limits)
    }

    private fun play(
        case: LimitCase,
        limits: (Int) -> CallerLimits,
    ) {
        val test = ChangedLimitsTest()
        try {
            expectThat(test.statusOnKeptConnection(case, limits)).isEqualTo(case.status)
        } finally {
            test.stop()
        }
    }

    private fun statusOnKeptConnection(
        case: LimitCase,
        limits: (Int) -> CallerLimits,
    ): String? {
        serveDone(limits(case.before))
        return FakeCaller(callers).use { caller ->
            caller.send(request("/lookup/x"))
            expectThat(caller.response()?.status).isEqualTo(OK)
            val text = case.request(this)
            caller.send(text.take(case.sentBefore))
            // The event loop reads what has arrived before it runs a task.
            repeat(2) { onLoop {} }
            changeLimits(limits(case.after))
            caller.send(text.drop(case.sentBefore))
            caller.response()?.status
        }
    }

    private val RawMessage.status get() = start.substring(9, 12)

    private companion object {
        const val OK = "200"
        const val BAD = "400"
        const val BODY_TOO_LARGE = "413"
        const val TOO_LARGE = "431"
        const val HEADER_BYTES = 100
        const val IDLE_MILLIS = 10_000L
        const val TICKS_PER_CHECK = 10
    }
}
