/*
 * Upstreams that respond to a long upload before they have read it: which ends of the connection complete a response
 * without a length, and what callers read from their sockets.
 */
package io.carawaytrack.gateway

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import java.io.InputStream
import java.io.OutputStream
import java.net.Socket

private const val MEBIBYTE = 1024 * 1024

/** Size of an upload that fits neither the buffers of its sender nor those of its receiver. */
private const val LONG_UPLOAD_BYTES = 16 * MEBIBYTE

/** Size of an upload that the buffers of the system take at once, so that its sender has written all of it. */
private const val BUFFERED_UPLOAD_BYTES = MEBIBYTE / 4

private const val UNFRAMED = "x-attempt: id1\nx-seal: s\n\n"

// The slow clock gives a busy machine more time between the end of an upstream's output and the reset.
internal class EarlyResponseTest : GatewayFixture(clockDivisor = 25) {
    /**
     * Ways in which an upstream resets its connection after a part of a body without a length. A socket that is closed
     * without the option to reset it, as it is when its process ends, ends its output first, and is reset by the bytes
     * that it has not read.
     */
    enum class Reset(
        val waitsForReader: Boolean = false,
        val readsBytes: Int = 0,
        val endsOutputFirst: Boolean = false,
        val readsWhatHasCome: Boolean = false,
        val shutsOutputDown: Boolean = false,
    ) {
        AtOnce,
        OnceTheBodyIsRead(waitsForReader = true),
        AfterPartOfTheUpload(waitsForReader = true, readsBytes = MEBIBYTE / 8),
        AfterTheEndOfOutput(endsOutputFirst = true),
        AfterTheEndOfOutputOnceTheBodyIsRead(waitsForReader = true, endsOutputFirst = true),
        AtTheEndOfTheProcess(endsOutputFirst = true, readsWhatHasCome = true),
        AtTheEndOfTheProcessOnceTheBodyIsRead(waitsForReader = true, endsOutputFirst = true, readsWhatHasCome = true),
        AfterShutdownOfOutput(endsOutputFirst = true, shutsOutputDown = true),
        AfterShutdownOfOutputAndPartOfTheUpload(
            readsBytes = MEBIBYTE / 8,
            endsOutputFirst = true,
            shutsOutputDown = true,
        ),
    }

    /** A caller's request on [path], and the body that the caller receives; null for a failure. */
    enum class Call(
        val path: String,
        val part: String,
        val body: String?,
    ) {
        Retryable("/lookup/x", "do", "done"),
        NonRetryable("/pay/x", "do", null),
        Resumable("/draft/x", "id: 1\ndata: 1\n\n", "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"),
        StreamThatMayRunOnce("/oneoff/x", "id: 1\ndata: 1\n\n", null),
    }

    class Case(
        val reset: Reset,
        val call: Call,
        val uploadBytes: Int,
    ) {
        override fun toString() = "$reset, $call, $uploadBytes bytes"
    }

    private fun upload(
        path: String,
        bytes: Int,
    ): ReceivedBytes = FakeCaller(callers).use { caller ->
        caller.send(request(path, headers = "Connection: close\n", body = "a".repeat(bytes)))
        judge(caller.readUntil("(end)"))
    }

    /** Waits until the gateway has read what was sent before: it has, once it has answered requests that came later. */
    private fun awaitReader() = repeat(2) { exchange(request("/nothing/x")) }

    /** Guards against a part of a body that looks complete because its upstream's process has ended. */
    @ParameterizedTest
    @MethodSource("resets")
    fun `a part of a body without a length is not complete because its connection was reset`(case: Case) {
        val call = case.call
        val resetting =
            FakeUpstream(readsBodies = false) { _, out, socket ->
                out.send("HTTP/1.1 200 OK\n$UNFRAMED")
                out.raw(call.part)
                if (case.reset.waitsForReader) awaitReader()
                if (case.reset.shutsOutputDown) socket.shutdownOutput()
                socket.getInputStream().readNBytes(case.reset.readsBytes)
                if (case.reset.readsWhatHasCome) socket.getInputStream().skipAvailable()
                if (!case.reset.endsOutputFirst) socket.setSoLinger(true, 0)
                false
            }
        val sound =
            FakeUpstream { _, out, _ ->
                if (call == Call.Resumable) out.send(STREAM_HEAD).also { out.raw(event(1) + event(2) + "0\r\n\r\n") }
                if (call == Call.Retryable) out.send(fullResponse("200 OK", "done"))
                true
            }
        serveFrom(listOf(resetting, sound), maxBodyBytes = LONG_UPLOAD_BYTES.toLong())
        val received = upload(call.path, case.uploadBytes)
        when {
            call.body != null -> {
                expectThat(received.faults).describedAs(received.printable).isEmpty()
                expectThat(received.status).isEqualTo(200)
                expectThat(received.body).isEqualTo(call.body)
            }
            // A stream whose beginning was passed on ends without its last chunk.
            received.status == 200 -> {
                expectThat(call).isEqualTo(Call.StreamThatMayRunOnce)
                expectThat(received.faults.size).describedAs(received.printable).isNotEqualTo(0)
            }
            else -> {
                expectThat(received.faults).describedAs(received.printable).isEmpty()
                expectThat(received.status).isEqualTo(502)
                expectThat(received["x-seal"]).isNull()
            }
        }
        expectThat(upstreams.map { it.requests.size }).isEqualTo(listOf(1, if (call.body == null) 0 else 1))
    }

    /** A sound response that arrives while its request is being sent. */
    enum class Early(
        val status: String,
        val framing: String,
        val body: String,
    ) {
        WithLength("413 Too Large", "Content-Length: 4\n", "nope"),
        InChunks("413 Too Large", "Transfer-Encoding: chunked\n", "4\r\nnope\r\n0\r\n\r\n"),
        WithoutLength("413 Too Large", "", "nope"),
        WithoutReason("413", "", "nope"),
        Success("200 OK", "Content-Length: 4\n", "done"),
        SuccessWithoutLength("200", "", "done"),
    }

    @ParameterizedTest
    @MethodSource("earlyResponses")
    fun `a sound response that arrives before its request has been sent reaches the caller`(
        early: Early,
        uploadBytes: Int,
    ) {
        val responding =
            FakeUpstream(readsBodies = false) { _, out, socket ->
                out.send("HTTP/1.1 ${early.status}\n${early.framing}$UNFRAMED")
                out.raw(early.body)
                endInOrder(out, socket, early.framing.isEmpty())
            }
        serveFrom(listOf(responding), maxBodyBytes = LONG_UPLOAD_BYTES.toLong())
        val received = upload("/pay/x", uploadBytes)
        expectThat(received.faults).describedAs(received.printable).isEmpty()
        expectThat(received.status.toString()).isEqualTo(early.status.take(3))
        expectThat(received["x-seal"]).isEqualTo("s")
        expectThat(received.body).isEqualTo(if (early.status.startsWith("413")) "nope" else "done")
    }

    /** Ends the response without a reset: what still arrives of the request is read. */
    private fun endInOrder(
        out: OutputStream,
        socket: Socket,
        endsWithConnection: Boolean,
    ): Boolean {
        out.flush()
        if (endsWithConnection) socket.shutdownOutput()
        awaitReader()
        socket.getInputStream().skipAll()
        return false
    }

    private fun InputStream.skipAvailable() {
        while (available() > 0) skipNBytes(available().toLong())
    }

    private fun InputStream.skipAll() {
        val buffer = ByteArray(MEBIBYTE)
        while (read(buffer) >= 0) Unit
    }

    companion object {
        @JvmStatic
        fun resets() = Reset.entries.flatMap { reset ->
            val uploads = listOf(LONG_UPLOAD_BYTES, 4 * MEBIBYTE, BUFFERED_UPLOAD_BYTES)
            Call.entries.flatMap { call -> uploads.map { Case(reset, call, it) } }
        }

        @JvmStatic
        fun earlyResponses() = Early.entries.flatMap { early ->
            listOf(BUFFERED_UPLOAD_BYTES, LONG_UPLOAD_BYTES).map { arrayOf<Any>(early, it) }
        }
    }
}
