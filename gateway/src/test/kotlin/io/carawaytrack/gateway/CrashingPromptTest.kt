/*
 * Requests that crash each upstream that begins to answer them, through a gateway over loopback. In the tests of the
 * same request, its arrivals differ in all that doesn't identify it: prompt parts, session, framing and other headers.
 */
package io.carawaytrack.gateway

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.OutputStream
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit

/** Time that an upstream takes to crash: crashes of several upstreams at once do not count as several. */
private const val PAUSE_MILLIS = 300L

/** Time after the first event from which on an answer counts as going on, which is 500 ms, with some reserve. */
private const val ANSWERING_MILLIS = 700L

private const val PARTS = "x-parts: a:9,b:5,session:1\n"

internal class CrashingPromptTest : GatewayFixture() {
    private val eventsRead = Semaphore(0)

    private fun serveCrashing(count: Int) =
        serve(*Array(count) { index -> { request, out, _ -> answerOrCrash(index, request, out) } })

    private fun answerOrCrash(
        index: Int,
        request: RawMessage,
        out: OutputStream,
    ): Boolean {
        if (request.isDeadly()) {
            if ("leaving" in request.body) announceLeaving(index)
            if ("late" in request.body) answerInPart(request, out)
            advance(PAUSE_MILLIS)
            upstreams[index].close()
            return false
        }
        if ("/lookup/" in request.start) {
            out.send(fullResponse("200 OK", "done"))
        } else {
            out.send(STREAM_HEAD)
            out.raw(event(1) + "0\r\n\r\n")
        }
        return true
    }

    /** Sends two events that show that the answer goes on, each once the caller has read the one before. */
    private fun answerInPart(
        request: RawMessage,
        out: OutputStream,
    ) {
        val lastEvent = request["last-event-id"]?.toInt() ?: 0
        out.send(STREAM_HEAD)
        out.raw(event(lastEvent + 1))
        awaitEventRead()
        advance(ANSWERING_MILLIS)
        out.raw(event(lastEvent + 2))
        awaitEventRead()
    }

    private fun awaitEventRead() {
        check(eventsRead.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS)) { "no event was read" }
    }

    /** Returns the status of a message whose events are reported as they are read, until its connection ends. */
    private fun messageReadByEvent(body: String): String = FakeCaller(callers).use { caller ->
        caller.send(request("/draft/x", body = body, headers = PARTS))
        val status = caller.readUntil("\r\n").substring(9, 12)
        while (status == "200" && caller.readUntil("data: ").endsWith("data: ")) eventsRead.release()
        status
    }

    private fun RawMessage.isDeadly() = "deadly" in start || "deadly" in body || "deadly:" in this["x-parts"].orEmpty()

    private fun draft(parts: String) = statusOf(request("/draft/x", headers = "x-parts: $parts\n"))

    private fun lookup(
        item: String,
        key: String = "k1",
    ) = statusOf(request("/lookup/$item", key = key))

    /** Returns the status of a message of a session, whose parts all its messages have in common. */
    private fun message(
        body: String,
        headers: String = PARTS,
    ) = statusOf(request("/draft/x", body = body, headers = headers))

    private fun crashed() = upstreams.count { upstream -> upstream.requests.any { it.isDeadly() } }

    private fun statusOf(request: String) = exchange(request)?.start.orEmpty().substring(9, 12)

    @Test
    fun `requests with one deadly part do not crash one upstream after the other`() {
        serveCrashing(count = 6)
        expectThat(draft("a:9,own0:1")).isEqualTo("200")
        expectThat(draft("a:9,deadly:5,own1:1")).isEqualTo("502")
        expectThat(draft("a:9,deadly:5,own2:1")).isEqualTo("502")
        repeat(5) { expectThat(draft("a:9,deadly:5,own${3 + it}:1")).isEqualTo("503") }
        expectThat(crashed()).isEqualTo(3)
        expectThat(draft("a:9,own9:1")).isEqualTo("200")
    }

    @Test
    fun `a deadly request without a prompt does not crash one upstream after the other`() {
        serveCrashing(count = 6)
        repeat(2) { expectThat(lookup("deadly")).isEqualTo("502") }
        repeat(3) { expectThat(lookup("deadly")).isEqualTo("503") }
        expectThat(crashed()).isEqualTo(3)
        expectThat(lookup("other")).isEqualTo("200")
    }

    @Test
    fun `deadly requests of one route that all differ do not crash several upstreams each`() {
        serveCrashing(count = 10)
        repeat(3) { deadly ->
            expectThat(lookup("deadly$deadly")).isEqualTo("502")
            repeat(12) { expectThat(lookup("sound$deadly-$it")).isEqualTo("200") }
        }
        val crashedBefore = crashed()
        repeat(2) { expectThat(lookup("deadly3")).isEqualTo(if (it == 0) "502" else "503") }
        expectThat(crashed()).isEqualTo(crashedBefore + 1)
        expectThat(lookup("other")).isEqualTo("200")
    }

    @Test
    fun `deadly requests of one organisation do not take the upstreams of the others`() {
        serveCrashing(count = 6)
        repeat(8) { lookup("deadly$it") }
        expectThat(crashed()).isEqualTo(3)
        expectThat(lookup("sound")).isEqualTo("503")
        expectThat(lookup("sound", key = "k2")).isEqualTo("200")
        advance(MIN_CALLER_PAUSE_MILLIS)
        expectThat(lookup("sound")).isEqualTo("200")
    }

    /** Guards against a deadly request that its prompt's sound parts hide, so that it crashes upstreams without end. */
    @Test
    fun `a deadly message does not crash one upstream after the other while its session is served`() {
        serveCrashing(count = 8)
        repeat(2) {
            expectThat(message("deadly")).isEqualTo("502")
            repeat(3) { sound -> expectThat(message("sound $sound")).isEqualTo("200") }
        }
        repeat(3) { expectThat(message("deadly")).isEqualTo("503") }
        expectThat(crashed()).isEqualTo(3)
        repeat(3) { expectThat(message("sound $it")).isEqualTo("200") }
    }

    /** Guards against a request that is not recognised when it comes again with other headers or another framing. */
    @Test
    fun `a deadly request is recognised whatever its headers and its framing are`() {
        serveCrashing(count = 8)
        repeat(2) { expectThat(message("deadly")).isEqualTo("502") }
        val chunked =
            "POST /draft/x HTTP/1.1\nHost: SHOP.example:80\nx-attempt: id1\nAuthorization: Bearer k1\n" +
                "Transfer-Encoding: chunked\n\n2\nde\n4\nadly\n0\n\n"
        val arrivals =
            listOf(
                request("/draft/x", body = "deadly"),
                request("/draft/x", body = "deadly", headers = "x-parts: other:3\nx-session: s2\nx-usage: 1,2\n"),
                chunked,
            )
        expectThat(arrivals.map(::statusOf)).isEqualTo(List(arrivals.size) { "503" })
        expectThat(crashed()).isEqualTo(3)
        expectThat(message("sound", headers = "")).isEqualTo("200")
    }

    /** Guards against a request whose answer goes on for a while before each crash, and clears the request. */
    @Test
    fun `a request that crashes upstreams in the middle of its answer is refused after three crashes`() {
        serveCrashing(count = 8)
        expectThat(messageReadByEvent("deadly late")).isEqualTo("200")
        expectThat(crashed()).isEqualTo(3)
        repeat(2) { expectThat(messageReadByEvent("deadly late")).isEqualTo("503") }
        expectThat(crashed()).isEqualTo(3)
        expectThat(message("sound")).isEqualTo("200")
    }

    /** Guards against planned ends of upstreams that count as crashes of the requests that they cut off. */
    @Test
    fun `a request that leaving upstreams cut off is not refused`() {
        serveCrashing(count = 8)
        repeat(2) { expectThat(message("deadly, leaving")).isEqualTo("502") }
        expectThat(crashed()).isEqualTo(6)
        expectThat(crashesRecorded.get()).isEqualTo(0)
        expectThat(message("sound")).isEqualTo("200")
    }

    @Test
    fun `a crash is reported before its callers are answered, so that no repeat overtakes the report`() {
        serveCrashing(count = 2)
        exchange(request("/lookup/deadly"))
        expectThat(crashesRecorded.get()).isEqualTo(2)
    }
}
