/*
 * Responses that upstreams break off, by framing, by the place of the cut and by what another upstream adds: what the
 * caller sees as the body, and whether the body looks complete.
 */
package io.carawaytrack.gateway

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.IOException
import java.io.OutputStream
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue

/** Time after which an upstream that broke attempts is used again. */
private const val PAUSE_OVER_MILLIS = 5_000L

private const val DEADLINE_MILLIS = 2_500

/** Size of a plain response that is forwarded as it arrives. */
private const val LARGE_BYTES = 200_000

private const val HALF_EVENT = "id: 3\nda"

/** The first event and a part of the second one. */
private const val REPEATED = "id: 1\ndata: 1\n\nid: 2\nda"

/** What a caller of [FakeCaller.seenResponse] sees. */
private data class Seen(
    val status: String,
    val body: String,
    val complete: Boolean,
)

private val NO_RESPONSE = Seen("none", "", complete = false)

internal class BrokenOffResponseTest : GatewayFixture() {
    private enum class Framing { Length, Chunks, None }

    /** How a response ends: as its framing says, with an orderly close before that, or with a reset. */
    private enum class End { Framed, Closed, Reset }

    /** A signed response with [body]; its framing is that of a longer one if the response doesn't end as framed. */
    private class Sent(
        val framing: Framing,
        val body: String,
        val end: End = End.Framed,
    ) {
        override fun toString(): String = "$framing, $end, ${body.takeLast(12).replace('\n', '|')}"
    }

    private fun Sent.writeTo(
        out: OutputStream,
        socket: Socket,
    ): Boolean {
        val header =
            when (framing) {
                Framing.Length -> "Content-Length: ${body.length + if (end == End.Framed) 0 else 1}\n"
                Framing.Chunks -> "Transfer-Encoding: chunked\n"
                Framing.None -> ""
            }
        out.send("HTTP/1.1 200 OK\nx-attempt: id1\nx-seal: s\n$header\n")
        val chunked = framing == Framing.Chunks
        if (chunked && body.isNotEmpty()) out.raw("${body.length.toString(16)}\r\n$body\r\n")
        if (!chunked) out.raw(body)
        if (chunked && end == End.Framed) out.raw("0\r\n\r\n")
        if (end == End.Reset) socket.setSoLinger(true, 0)
        return framing != Framing.None && end == End.Framed
    }

    private val responses = LinkedBlockingQueue<Sent>()

    /** Lets upstreams send [inTurn] as they receive requests, and close the connections of all further ones. */
    private fun respondWith(inTurn: List<Sent>) {
        if (upstreams.isEmpty()) {
            val respond = { out: OutputStream, socket: Socket -> responses.poll()?.writeTo(out, socket) ?: false }
            serveFrom(List(3) { FakeUpstream { _, out, socket -> respond(out, socket) } })
        }
        responses.clear()
        responses += inTurn
        advance(PAUSE_OVER_MILLIS)
    }

    /** Sends [request] and reads the response, the last one on its connection, as a caller of its version does. */
    private fun seenBy(request: String): Seen = FakeCaller(callers).use { caller ->
        caller.send(request.replaceFirst("\n", "\nConnection: close\n"))
        caller.seenResponse()
    }

    private fun FakeCaller.seenResponse(): Seen {
        val bytes = StringBuilder()
        val orderly = readAll(bytes)
        val received = bytes.toString()
        val head = received.substringBefore("\r\n\r\n", "").lowercase()
        if (head.isEmpty()) return NO_RESPONSE
        val body = received.substring(head.length + "\r\n\r\n".length)
        val status = head.split(' ')[1]
        val length = head.substringAfter("content-length: ", "").substringBefore('\r').toIntOrNull()
        return when {
            length != null -> Seen(status, body, body.length == length)
            "transfer-encoding: chunked" in head -> withoutChunks(status, body)
            else -> Seen(status, body, orderly)
        }
    }

    /** Returns whether the connection ended in an orderly way. */
    private fun FakeCaller.readAll(received: StringBuilder): Boolean = try {
        val input = socket.getInputStream()
        generateSequence { input.read().takeIf { it >= 0 } }.forEach { received.append(it.toChar()) }
        true
    } catch (_: IOException) {
        false
    }

    private fun withoutChunks(
        status: String,
        chunks: String,
    ): Seen {
        val body = StringBuilder()
        var rest = chunks
        while (rest.isNotEmpty()) {
            val size = rest.substringBefore("\r\n").toInt(16)
            if (size == 0) return Seen(status, body.toString(), complete = rest == "0\r\n\r\n")
            rest = rest.substringAfter("\r\n")
            body.append(rest.take(size))
            rest = rest.drop(size + 2)
        }
        return Seen(status, body.toString(), complete = false)
    }

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
            listOf(
                resumed("with the rest", cut, sent(events(3..4)), events(1..4), complete = true),
                resumed("with all events", cut, sent(events(1..4)), events(1..4), complete = true),
                resumed("with nothing after the last event", begun, sent(""), begun, complete = true),
                resumed("with nothing in an event", cut, sent(""), begun, complete = false),
                resumed("with the last event again", begun, sent(events(2..2)), begun, complete = true),
                resumed("with the last event again in an event", cut, sent(events(2..2)), begun, complete = false),
                resumed("with fewer events", begun, sent(events(1..1)), begun, complete = false),
                resumed("with a part of an event", begun, sent(HALF_EVENT), begun, complete = false),
                resumed(
                    "with a part, then nothing",
                    begun,
                    sent(HALF_EVENT),
                    begun,
                    complete = false,
                    third = sent(""),
                ),
                resumed(
                    "with a repeated part, then nothing",
                    begun,
                    sent(REPEATED),
                    begun,
                    complete = true,
                    third = sent(""),
                ),
                resumed(
                    "with nothing, then the rest",
                    cut,
                    sent(""),
                    events(1..4),
                    complete = true,
                    third =
                        sent(
                            events(
                                3..4,
                            ),
                        ),
                ),
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
        expectThat(seen.status).isEqualTo(case.status)
        if (case.status != "200") return
        expectThat(seen.complete).isEqualTo(case.complete)
        // A reset may take bytes along that the caller has not read.
        val body = if (version == "1.0" && !case.complete) case.body.take(seen.body.length) else case.body
        expectThat(seen.body).isEqualTo(body)
    }
}
