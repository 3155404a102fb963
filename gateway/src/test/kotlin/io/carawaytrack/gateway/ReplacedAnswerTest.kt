/*
 * Answers of low confidence on routes that leave the choice of the model to the gateway: which of them are replaced by
 * the answer of a larger model, so that their request runs again.
 */
package io.carawaytrack.gateway

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.io.OutputStream
import java.net.Socket

private const val LATE_MILLIS = 700L
private const val CHUNKED = "Transfer-Encoding: chunked\n"

internal class ReplacedAnswerTest : GatewayFixture(clockDivisor = 10) {
    /** Answers in which all models but the largest state [confidence]. */
    enum class Doubtful(
        val confidence: Int = 20,
        val headers: String = CHUNKED,
        val before: String = "",
        val lateMillis: Long = 0,
    ) {
        Low,
        None(confidence = 0),
        AfterInterimResponse(before = "HTTP/1.1 103 Early Hints\nx-attempt: id1\n\n"),
        WithCharset(headers = CHUNKED + "Content-Type: text/event-stream; charset=utf-8\n"),
        Late(lateMillis = LATE_MILLIS),
        WithLength(headers = "Content-Length: LENGTH\n"),
        EndsWithConnection(headers = ""),
    }

    private fun answerOf(model: String) = "id: 1\ndata: $model\n\nid: 2\ndata: $model\n\n"

    private fun Doubtful.answer(
        request: RawMessage,
        out: OutputStream,
    ): Boolean {
        val model = request["x-model"].orEmpty()
        val body = answerOf(model)
        val fields = headers.replace("LENGTH", "${body.length}")
        advance(lateMillis)
        out.send("${before}HTTP/1.1 200 OK\nx-attempt: id1\nx-seal: s\n")
        out.send("x-confidence: ${if (model == "large") 95 else confidence}\n$fields\n")
        out.raw(if (CHUNKED in headers) "${body.length.toString(16)}\r\n$body\r\n0\r\n\r\n" else body)
        return headers.isNotEmpty()
    }

    private fun serveAll(doubtful: Doubtful) {
        val respond = { request: RawMessage, out: OutputStream, _: Socket -> doubtful.answer(request, out) }
        serveFrom(List(3) { FakeUpstream(respond = respond) })
    }

    private fun call(path: String): ReceivedBytes = FakeCaller(callers).use { caller ->
        caller.send(request(path, headers = "Connection: close\n"))
        judge(caller.readUntil("(end)"))
    }

    private fun expectAnswer(
        received: ReceivedBytes,
        model: String,
    ) {
        expectThat(received.faults).describedAs(received.printable).isEmpty()
        expectThat(received.status).isEqualTo(200)
        expectThat(received.body).isEqualTo(answerOf(model))
    }

    private fun modelsAsked() = upstreams.flatMap { it.requests }.map { it["x-model"].orEmpty() }

    /** Guards against running a request that may run once again because a model has a low confidence in its answer. */
    @ParameterizedTest
    @EnumSource
    fun `a doubtful answer is not replaced if its request may run once`(doubtful: Doubtful) {
        serveAll(doubtful)
        val received = call("/memo/x")
        expectThat(modelsAsked()).hasSize(1)
        expectAnswer(received, modelsAsked().single())
    }

    /** Guards against a mend of the failure above that keeps answers which may be replaced. */
    @ParameterizedTest
    @EnumSource
    fun `a doubtful answer is replaced by one of the largest model if its request may run again`(doubtful: Doubtful) {
        serveAll(doubtful)
        val received = call("/note/x")
        expectThat(modelsAsked().sorted()).isEqualTo(listOf("large", "small"))
        expectAnswer(received, "large")
    }
}
