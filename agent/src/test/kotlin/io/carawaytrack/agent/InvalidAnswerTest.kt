/*
 * Upstreams whose answers are not valid or not whole, over a socket: what the agent tells the entry, and that it ends
 * the connection of a cancelled attempt.
 */
package io.carawaytrack.agent

import io.carawaytrack.model.Execution
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.wire.AnswerChunk
import io.carawaytrack.wire.AnswerEnd
import io.carawaytrack.wire.AnswerFailed
import io.carawaytrack.wire.AnswerHead
import io.carawaytrack.wire.Header
import io.carawaytrack.wire.Message
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contentEquals
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.last
import strikt.assertions.none
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.random.Random

private const val TIMEOUT_SECONDS = 20L
private const val EARLY_ANSWERS = 12

/** End of a request that its upstream does not read even if all of it has arrived on a busy machine. */
private const val UNREAD_BYTES = 2
private const val HEAD = "HTTP/1.1 200 OK\r\n"
private const val CHUNKED = "${HEAD}Transfer-Encoding: chunked\r\n\r\n"

internal class InvalidAnswerTest {
    private val messages = CopyOnWriteArrayList<Message>()

    private suspend fun runAttempt(
        port: Int,
        body: ByteArray = ByteArray(0),
    ) = UpstreamClient(HostPort("127.0.0.1", port)).let { client ->
        val attempt = openAttempt(body = body)
        val runner = AttemptRunner(attempt, { messages.add(it) }, { UpstreamLoad(0, 0) }, System::currentTimeMillis)
        runner.run { sent, sink -> client.run(sent, null, sink) }
    }

    /** Sends [answer] to the only request, which it reads before, so that closing the connection doesn't reset it. */
    private fun answerOn(
        socket: Socket,
        answer: String,
    ) {
        requestOn(socket)
        socket.getOutputStream().write(answer.toByteArray(Charsets.ISO_8859_1))
    }

    private fun requestOn(socket: Socket): String {
        val input = socket.getInputStream()
        val request = StringBuilder()
        while (!request.endsWith("\r\n\r\n")) request.append(input.read().also { check(it >= 0) }.toChar())
        return request.toString()
    }

    private fun play(
        answer: String,
        reset: Boolean = false,
    ) = ServerSocket(0).use { server ->
        val answering =
            CompletableFuture.runAsync {
                server.accept().use { socket ->
                    answerOn(socket, answer)
                    if (reset) socket.setSoLinger(true, 0)
                }
            }
        runBlocking { runAttempt(server.localPort) }
        answering.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    private fun body() = messages.filterIsInstance<AnswerChunk>().joinToString("") { it.bytes.decodeToString() }

    private fun expectFailure() {
        expectThat(messages).none { isA<AnswerEnd>() }
        expectThat(messages)
            .last()
            .isA<AnswerFailed>()
            .get { failure.execution }
            .isEqualTo(Execution.MayHaveRun)
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "${HEAD}Content-Length: 4\r\n\r\ndone", "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\ndone",
            "HTTP/1.1 299 \r\nContent-Length: 4\r\n\r\ndone", "$HEAD\r\ndone", "HTTP/1.0 200 OK\r\n\r\ndone",
            "${CHUNKED}4\r\ndone\r\n0\r\n\r\n", "${HEAD}x: \u00c3\u0089\tb\r\nContent-Length: 4\r\n\r\ndone",
            "HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\ndone",
        ],
    )
    fun `a valid answer is passed on as a whole`(answer: String) {
        play(answer)
        expectThat(messages.first()).isA<AnswerHead>()
        expectThat(body()).isEqualTo("done")
        expectThat(messages).last().isA<AnswerEnd>()
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nnope", "HTTP/1.1 099 OK\r\nContent-Length: 4\r\n\r\nnope",
            "HTTP/1.1 600 OK\r\nContent-Length: 4\r\n\r\nnope", "HTTP/1.1 0200 OK\r\nContent-Length: 4\r\n\r\nnope",
            "${HEAD}x y: 1\r\nContent-Length: 4\r\n\r\nnope", "${HEAD}x : 1\r\nContent-Length: 4\r\n\r\nnope",
            "${HEAD}x\u0001: 1\r\nContent-Length: 4\r\n\r\nnope", "$HEAD x: 1\r\nContent-Length: 4\r\n\r\nnope",
            "${HEAD}x: a\u0001b\r\nContent-Length: 4\r\n\r\nnope",
            "${HEAD}x: a\u007f\r\nContent-Length: 4\r\n\r\nnope", "${HEAD}Content-Length : 2\r\n\r\nnope",
            "${HEAD}Content-Length: 2\r\nContent-Length: 4\r\n\r\nnope",
            "${HEAD}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nnope\r\n0\r\n\r\n",
        ],
    )
    fun `nothing of an answer with an invalid head is passed on`(answer: String) {
        play(answer)
        expectFailure()
        expectThat(messages.filter { it is AnswerHead || it is AnswerChunk }).isEmpty()
    }

    @ParameterizedTest
    @CsvSource(
        "Content-Length: 9|nope, false",
        "Content-Length: 9|nope, true",
        "x: 1|nope, true",
        "Transfer-Encoding: chunked|4rnnopern, false",
        "Transfer-Encoding: chunked|4rnnopern, true",
        "Transfer-Encoding: chunked|4rnno, false",
        "Transfer-Encoding: chunked|3rnnopern0rnrn, false",
        "Transfer-Encoding: chunked|4rnnopern0rn, false",
        "Transfer-Encoding: chunked|4rnnoperngrn, false",
    )
    fun `an answer whose body is not whole has failed`(
        answer: String,
        reset: Boolean,
    ) {
        val (field, body) = answer.split('|')
        play("$HEAD$field\r\n\r\n" + body.replace("rn", "\r\n"), reset)
        expectFailure()
    }

    // Guards against a part of an answer that looks complete because its upstream has ended by itself.
    @ParameterizedTest
    @ValueSource(ints = [100_000, 200_000, 1_000_000])
    fun `an answer without a length has failed if its upstream ends without having read the request`(bodyBytes: Int) =
        expectEarlyAnswersFail(bodyBytes)

    // Guards against the same where the upstream ends before the rest of a short request has arrived.
    @Test
    fun `an answer without a length to a short request has failed if its upstream ends at once`() =
        expectEarlyAnswersFail(bodyBytes = 20_000)

    private fun expectEarlyAnswersFail(bodyBytes: Int) {
        repeat(EARLY_ANSWERS) {
            ServerSocket(0).use { server ->
                CompletableFuture.runAsync {
                    server.accept().use { socket ->
                        answerOn(socket, "$HEAD\r\nno")
                        readMost(socket, bodyBytes)
                    }
                }
                runBlocking { runAttempt(server.localPort, ByteArray(bodyBytes)) }
            }
        }
        expectThat(messages.filterIsInstance<AnswerEnd>()).isEmpty()
        expectThat(messages.filterIsInstance<AnswerFailed>()).hasSize(EARLY_ANSWERS)
    }

    /** Reads what has arrived of a body of [bodyBytes] until nothing has, but never its end. */
    private fun readMost(
        socket: Socket,
        bodyBytes: Int,
    ) {
        val input = socket.getInputStream()
        var left = bodyBytes - UNREAD_BYTES
        while (left > 0 && input.available() > 0) left -= input.readNBytes(minOf(left, input.available())).size
    }

    // Guards against a body that does not arrive as a whole, and an early answer that is lost, as its end is sent late.
    @ParameterizedTest
    @ValueSource(ints = [1, 65_536, 65_537, 65_538, 200_000])
    fun `an early answer without a length is passed on if its upstream reads the request`(bodyBytes: Int) {
        val body = Random(bodyBytes).nextBytes(bodyBytes)
        ServerSocket(0).use { server ->
            val received =
                CompletableFuture.supplyAsync {
                    server.accept().use { socket ->
                        answerOn(socket, "$HEAD\r\ndone")
                        socket.getInputStream().readNBytes(bodyBytes)
                    }
                }
            runBlocking { runAttempt(server.localPort, body) }
            expectThat(received.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).contentEquals(body)
        }
        expectThat(body()).isEqualTo("done")
        expectThat(messages).last().isA<AnswerEnd>()
    }

    // Guards against an upstream that goes on working for a caller that has left.
    @ParameterizedTest
    @ValueSource(strings = ["", "${CHUNKED}4\r\ndone\r\n"])
    fun `the connection of a cancelled attempt is closed`(beginning: String) = ServerSocket(0).use { server ->
        val answered = CompletableFuture<Unit>()
        val closed =
            CompletableFuture.supplyAsync {
                server.accept().use { socket ->
                    socket.soTimeout = TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS).toInt()
                    answerOn(socket, beginning)
                    answered.complete(Unit)
                    runCatching { socket.getInputStream().read() < 0 }.getOrDefault(true)
                }
            }
        runBlocking(Dispatchers.IO) {
            val running = launch { runAttempt(server.localPort) }
            answered.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
            running.cancelAndJoin()
        }
        expectThat(closed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(true)
    }

    // Guards against a client that sends a request once more by itself: only the entry knows whether it may.
    @ParameterizedTest
    @ValueSource(strings = ["GET", "POST"])
    fun `a request whose used connection is closed before the answer is sent once`(method: String) {
        val requests = CopyOnWriteArrayList<String>()
        ServerSocket(0).use { server ->
            CompletableFuture.runAsync {
                while (!server.isClosed) {
                    server.accept().use { socket ->
                        requests += requestOn(socket)
                        socket.getOutputStream().write("${HEAD}Content-Length: 0\r\n\r\n".toByteArray())
                        requests += requestOn(socket)
                    }
                }
            }
            val client = UpstreamClient(HostPort("127.0.0.1", server.localPort))
            val attempt = openAttempt(method = method, path = "/x?y=%20{z}%")
            val failures =
                List(2) { runCatching { runBlocking { client.run(attempt, null, NoSink) } }.exceptionOrNull() }
            expectThat(failures.first()).isNull()
            expectThat(failures.last()).isA<IOException>()
        }
        expectThat(requests.map { it.lines().first() }).isEqualTo(List(2) { "$method /x?y=%20%7Bz%7D%25 HTTP/1.1" })
    }

    private object NoSink : AnswerSink {
        override suspend fun head(
            status: Int,
            headers: List<Header>,
        ) = Unit

        override suspend fun chunk(bytes: ByteArray) = Unit
    }
}
