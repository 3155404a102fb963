/*
 * Upstreams that break off their responses in every framing, and callers that judge from its framing whether a response
 * is complete.
 */
package io.carawaytrack.gateway

import java.io.IOException
import java.io.OutputStream
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue

/** Time after which an upstream that broke attempts is used again. */
private const val PAUSE_OVER_MILLIS = 5_000L

internal enum class Framing { Length, Chunks, None }

/** How a response ends: as its framing says, with an orderly close before that, or with a reset. */
internal enum class End { Framed, Closed, Reset }

/** A signed response with [body]; its framing is that of a longer one if the response doesn't end as framed. */
internal class Sent(
    val framing: Framing,
    val body: String,
    val end: End = End.Framed,
) {
    override fun toString(): String = "$framing, $end, ${body.takeLast(12).replace('\n', '|')}"
}

/** What a caller sees. */
internal data class Seen(
    val status: String,
    val body: String,
    val complete: Boolean,
)

private val NO_RESPONSE = Seen("none", "", complete = false)

internal abstract class BrokenOffFixture : GatewayFixture(clockDivisor = 10) {
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
    protected fun respondWith(inTurn: List<Sent>) {
        if (upstreams.isEmpty()) {
            val respond = { out: OutputStream, socket: Socket -> responses.poll()?.writeTo(out, socket) ?: false }
            serveFrom(List(3) { FakeUpstream { _, out, socket -> respond(out, socket) } })
        }
        upstreams.forEach { it.requests.clear() }
        responses.clear()
        responses += inTurn
        advance(PAUSE_OVER_MILLIS)
    }

    /** Sends [request] and reads the response, the last one on its connection, as a caller of its version does. */
    protected fun seenBy(request: String): Seen = FakeCaller(callers).use { caller ->
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
}
