/*
 * Responses that upstreams break off, by framing, by the place of the cut and by what another upstream adds: what the
 * caller sees as the body, and whether the body looks complete.
 */
package io.carawaytrack.gateway

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.net.SocketException
import java.util.concurrent.LinkedBlockingQueue
import kotlin.random.Random

private const val DEADLINE_MILLIS = 2_500

/** Size of a plain response that is forwarded as it arrives. */
private const val LARGE_BYTES = 200_000

private const val FUZZ_SEED = 39L
private const val FUZZ_CASES = 200
private const val MAX_FUZZ_EVENTS = 6

private const val HALF_EVENT = "id: 3\nda"

private const val NO_ID = "data: 0\n\n"

private const val COMMENT = ": sound\n\n"

/** The first event and a part of the second one. */
private const val REPEATED = "id: 1\ndata: 1\n\nid: 2\nda"

internal class BrokenOffResponseTest : BrokenOffFixture() {
    private fun events(ids: IntRange) = ids.joinToString("") { "id: $it\ndata: $it\n\n" }

    private class Case(
        private val name: String,
        val path: String,
        val responses: List<Sent>,
        val body: String = "",
        val status: String = "200",
        val complete: Boolean = false,
    ) {
        override fun toString(): String = "$name, ${responses.last().framing}"
    }

    private val inOneStream =
        listOf("draft", "oneoff").flatMap { route ->
            val path = "/$route/x"
            // A stream that may run once is forwarded as it arrives.
            val part = if (route == "oneoff") HALF_EVENT else ""
            val partStatus = if (route == "oneoff") "200" else "502"
            Framing.entries.flatMap { framing ->
                val sent = { body: String, end: End -> listOf(Sent(framing, body, end)) }
                listOf(
                    Case("$route, as framed", path, sent(events(1..2), End.Framed), events(1..2), complete = true),
                    Case("$route, in an event", path, sent(events(1..2) + HALF_EVENT, End.Framed), events(1..2) + part),
                    Case("$route, in its first event", path, sent(HALF_EVENT, End.Framed), part, partStatus),
                    Case("$route, reset", path, sent(events(1..2), End.Reset), events(1..2)),
                    Case(
                        "$route, reset in an event",
                        path,
                        sent(events(1..2) + HALF_EVENT, End.Reset),
                        events(1..2) + part,
                    ),
                )
            } +
                listOf(Framing.Length, Framing.Chunks).flatMap { framing ->
                    listOf(
                        Case("$route, closed", path, listOf(Sent(framing, events(1..2), End.Closed)), events(1..2)),
                        Case("$route, closed at once", path, listOf(Sent(framing, "", End.Closed)), status = "502"),
                    )
                }
        }

    private fun resumed(
        name: String,
        first: String,
        second: Sent,
        body: String,
        complete: Boolean,
        third: Sent? = null,
    ): Case {
        val responses = listOfNotNull(Sent(Framing.Chunks, first, End.Closed), second, third)
        return Case("resumed, $name", "/draft/x", responses, body, complete = complete)
    }

    private val inResumedStream =
        Framing.entries.flatMap { framing ->
            val sent = { body: String -> Sent(framing, body) }
            val begun = events(1..2)
            val cut = begun + HALF_EVENT
            val next = events(3..3)
            val commented = begun + COMMENT
            val nothing = sent("")
            listOf(
                resumed("with the rest", cut, sent(events(3..4)), events(1..4), complete = true),
                resumed("with all events", cut, sent(events(1..4)), events(1..4), complete = true),
                resumed("with nothing after the last event", begun, sent(""), begun, complete = true),
                resumed("with nothing in an event", cut, sent(""), begun, complete = false),
                resumed("with the last event again", begun, sent(events(2..2)), begun, complete = true),
                resumed("with the last event again in an event", cut, sent(events(2..2)), begun, complete = false),
                resumed("with fewer events", begun, sent(events(1..1)), begun, complete = false),
                resumed("after an event without an identifier", NO_ID, sent(NO_ID + begun), NO_ID, complete = false),
                resumed(
                    "after one more without it",
                    begun + NO_ID,
                    sent(NO_ID + next),
                    begun + NO_ID,
                    complete = false,
                ),
                resumed("after a comment", COMMENT, sent(begun), COMMENT + begun, complete = true),
                resumed("after events and a comment", commented, sent(next), commented + next, complete = true),
                resumed("with a part of an event", begun, sent(HALF_EVENT), begun, complete = false),
                resumed("with a part, then nothing", begun, sent(HALF_EVENT), begun, false, nothing),
                resumed("with a repeated part, then nothing", begun, sent(REPEATED), begun, true, nothing),
                resumed("with nothing, then the rest", cut, nothing, events(1..4), true, sent(events(3..4))),
            )
        }

    private val inCall =
        listOf("lookup", "pay").flatMap { route ->
            val path = "/$route/x"
            val large = "a".repeat(LARGE_BYTES)
            val reset = Framing.entries.map { framing -> Sent(framing, "done", End.Reset) }
            val closed = listOf(Framing.Length, Framing.Chunks).map { framing -> Sent(framing, "done", End.Closed) }
            (reset + closed).map { Case("$route, cut", path, listOf(it), status = "502") } +
                Framing.entries.map { Case("$route, large", path, listOf(Sent(it, large)), large, complete = true) } +
                listOf(Framing.Length, Framing.Chunks).map { framing ->
                    Case("$route, large, cut", path, listOf(Sent(framing, large, End.Closed)), large)
                }
        }

    @TestFactory
    fun `a response that breaks off is never complete`(): List<DynamicTest> =
        (inOneStream + inResumedStream + inCall).flatMap { case ->
            listOf("1.1", "1.0").map { version -> dynamicTest("$case, HTTP/$version") { check(case, version) } }
        }

    private fun check(
        case: Case,
        version: String,
    ) {
        respondWith(case.responses)
        val request = request(case.path, deadlineMillis = DEADLINE_MILLIS).replace("HTTP/1.1", "HTTP/$version")
        val seen = seenBy(request)
        // One request more than responses shows that the gateway left an upstream before its response came.
        val requests = upstreams.map { it.requests.size }
        expectThat(seen.status).describedAs("status after requests $requests").isEqualTo(case.status)
        if (case.status != "200") return
        expectThat(seen.complete).isEqualTo(case.complete)
        // A reset may take bytes along that the caller has not read.
        val body = if (version == "1.0" && !case.complete) case.body.take(seen.body.length) else case.body
        expectThat(seen.body).isEqualTo(body)
    }

    // Guards against a response that the end of its host makes look complete.
    @Test
    fun `a host that ends during a stream resets a caller that speaks HTTP 1 point 0`() {
        val never = LinkedBlockingQueue<Unit>()
        serve({ _, out, _ ->
            out.send(STREAM_HEAD)
            out.raw(event(1))
            never.take()
            true
        })
        FakeCaller(callers).use { caller ->
            caller.send(request("/oneoff/x").replace("HTTP/1.1", "HTTP/1.0"))
            caller.readUntil("data: 1\n\n")
            stop()
            expectThrows<SocketException> { caller.readUntil("data: 2\n\n") }
        }
    }

    @Test
    fun `a response that ends anywhere is complete only if its framing and its events are`() {
        val random = Random(FUZZ_SEED)
        repeat(FUZZ_CASES) { index ->
            val route = listOf("draft", "oneoff", "lookup", "pay").random(random)
            val version = listOf("1.0", "1.1").random(random)
            val whole = events(1..random.nextInt(1, MAX_FUZZ_EVENTS))
            // Half of the responses end after an event.
            val cut = random.nextInt(whole.length + 1)
            val body =
                if (random.nextBoolean()) {
                    whole.take(cut)
                } else {
                    whole.take(cut).substringBeforeLast("\n\n", "") +
                        "\n\n"
                }
            val sent = Sent(Framing.entries.random(random), body, End.entries.random(random))
            respondWith(listOf(sent))
            val request = request("/$route/x", deadlineMillis = DEADLINE_MILLIS).replace("HTTP/1.1", "HTTP/$version")
            val seen = seenBy(request)
            val framed = sent.end == End.Framed || (sent.end == End.Closed && sent.framing == Framing.None)
            val isCall = route == "lookup" || route == "pay"
            val complete = framed && (isCall || body.isEmpty() || body.endsWith("\n\n"))
            expectThat(seen.complete && seen.status == "200")
                .describedAs("$index: $route, HTTP/$version, $sent: $seen")
                .isEqualTo(complete)
            if (seen.status == "200") expectThat(body).startsWith(seen.body)
            if (complete) expectThat(seen.body).isEqualTo(body)
        }
    }
}
