/*
 * HTTP calls over a plain socket, one connection each. A library would hide what these tests cover: a connection that
 * the server closes, a caller that reads slowly or disconnects, and headers that never end.
 */
package io.carawaytrack.e2e

import java.io.BufferedInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket

/** Timeout of every wait. */
internal const val WAIT_MILLIS = 60_000

private const val RECEIVE_BUFFER_BYTES = 4_096
private const val END_OF_STREAM = -1

/** Describes an answer; [complete] is false when the connection ended before the answer did. */
internal data class HttpAnswer(
    val status: Int,
    val headers: Map<String, String>,
    val body: String,
    val complete: Boolean,
) {
    val errorKind: String? get() = headers["x-caraway-error"]
    val execution: String? get() = headers["x-caraway-execution"]
    val requestId: String? get() = headers["x-request-id"]
    val upstream: String? get() = headers["x-caraway-upstream"]
    val isRepeated: Boolean get() = headers["x-caraway-repeated"] == "true"
}

internal data class HttpCall(
    val path: String,
    val method: String = "GET",
    val headers: Map<String, String> = emptyMap(),
    val body: String? = null,
)

/** Sends a call and leaves the time at which its answer is read to the test. */
internal class HttpExchange(
    address: String,
) : AutoCloseable {
    private val socket = Socket()
    private val input: InputStream
    private var status = 0
    private var headers = emptyMap<String, String>()

    init {
        socket.receiveBufferSize = RECEIVE_BUFFER_BYTES
        socket.soTimeout = WAIT_MILLIS
        socket.connect(InetSocketAddress(address.substringBefore(':'), address.substringAfter(':').toInt()))
        input = BufferedInputStream(socket.getInputStream())
    }

    fun send(text: String) {
        socket.getOutputStream().write(text.encodeToByteArray())
        socket.getOutputStream().flush()
    }

    fun send(call: HttpCall) {
        val body = call.body.orEmpty()
        val connectionHeaders = mapOf("Host" to "loopback", "Content-Length" to body.length.toString())
        val lines = (connectionHeaders + call.headers).map { (name, value) -> "$name: $value\r\n" }.joinToString("")
        send("${call.method} ${call.path} HTTP/1.1\r\n$lines\r\n$body")
    }

    /** Reads the status and the headers; returns an answer without its body. */
    fun readHead(): HttpAnswer {
        status = readLine().split(' ').getOrNull(1)?.toInt() ?: throw IOException("expected a status line, got none")
        headers =
            generateSequence(::readLine)
                .takeWhile { it.isNotEmpty() }
                .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        return HttpAnswer(status, headers, "", complete = false)
    }

    /** Reads the body to its end, or to the end of the connection. */
    fun readBody(): HttpAnswer {
        val body = ByteArrayOutputStream()
        val complete =
            try {
                if (headers["transfer-encoding"] == "chunked") readChunks(body) else readByLength(body)
            } catch (_: IOException) {
                false
            }
        return HttpAnswer(status, headers, body.toString(Charsets.UTF_8), complete)
    }

    /** Reads until the server closes the connection and returns what was read. */
    fun readUntilClosed(): String = String(input.readAllBytes())

    private fun readChunks(body: ByteArrayOutputStream): Boolean {
        while (true) {
            val size = readLine().toIntOrNull(radix = 16) ?: return false
            body.write(input.readNBytes(size))
            readLine()
            if (size == 0) return true
        }
    }

    private fun readByLength(body: ByteArrayOutputStream): Boolean {
        val length = headers["content-length"]?.toInt() ?: return false
        body.write(input.readNBytes(length))
        return body.size() == length
    }

    private fun readLine(): String {
        val bytes = ByteArrayOutputStream()
        while (true) {
            when (val next = input.read()) {
                END_OF_STREAM -> throw IOException("expected a line, got the end of the connection")
                '\n'.code -> return bytes.toString(Charsets.UTF_8).trimEnd('\r')
                else -> bytes.write(next)
            }
        }
    }

    override fun close(): Unit = socket.close()
}

/** Sends [call] to [address] and reads the complete answer. */
internal fun exchange(
    address: String,
    call: HttpCall,
): HttpAnswer = HttpExchange(address).use {
    it.send(call)
    it.readHead()
    it.readBody()
}
