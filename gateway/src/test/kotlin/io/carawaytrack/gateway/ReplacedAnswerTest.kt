/*
 * Answers of low confidence on routes that leave the choice of the model to the gateway: which of them are replaced by
 * the answer of a larger model, so that their request runs again.
 */
package io.carawaytrack.gateway

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.io.OutputStream
import java.net.Socket
import java.util.concurrent.CountDownLatch

private const val LATE_MILLIS = 700L

/** Number and duration of answers of the largest model after which it is expected to be late. */
private const val SLOW_ANSWERS = 10
private const val SLOW_ANSWER_MILLIS = 13_000L

/** Time after which the largest model is no longer expected to be late. */
private const val RECOVERY_MILLIS = 3_000L
private const val CHUNKED = "Transfer-Encoding: chunked\n"

internal class ReplacedAnswerTest : GatewayFixture(clockDivisor = 100) {
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
        answersHeld?.await()
        val body = answerOf(model)
        val fields = headers.replace("LENGTH", "${body.length}")
        beforeAnswer()
        out.send("${before}HTTP/1.1 200 OK\nx-attempt: id1\nx-seal: s\n")
        out.send("x-confidence: ${if (model == "large") 95 else confidence}\n$fields\n")
        out.raw(if (CHUNKED in headers) "${body.length.toString(16)}\r\n$body\r\n0\r\n\r\n" else body)
        return headers.isNotEmpty()
    }

    private var answersHeld: CountDownLatch? = null
    private var beforeAnswer = {}

    /** Lets the largest model be so slow on [path] that the next request there is sent to the smallest one. */
    private fun delayLargestModel(path: String) {
        val held = CountDownLatch(1).also { answersHeld = it }
        val waiting = List(SLOW_ANSWERS) { FakeCaller(callers) }
        waiting.forEach { it.send(request(path, headers = "Connection: close\n", deadlineMillis = 14_000)) }
        awaitOnLoop { modelsAsked().size == SLOW_ANSWERS }
        advance(SLOW_ANSWER_MILLIS)
        held.countDown()
        waiting.forEach { caller -> caller.use { it.readUntil("(end)") } }
        upstreams.forEach { it.requests.clear() }
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

    /**
     * Guards against running a request that may run once again because a model has a low confidence in its answer. Such
     * requests use the smallest model only while the largest one is slow.
     */
    @ParameterizedTest
    @EnumSource
    fun `a doubtful answer is not replaced if its request may run once`(doubtful: Doubtful) {
        serveAll(doubtful)
        delayLargestModel("/memo/x")
        beforeAnswer = { advance(RECOVERY_MILLIS + doubtful.lateMillis) }
        val received = call("/memo/x")
        expectThat(modelsAsked()).isEqualTo(listOf("small"))
        expectAnswer(received, "small")
    }

    /** Guards against a mend of the failure above that keeps answers which may be replaced. */
    @ParameterizedTest
    @MethodSource("repeatable")
    fun `a doubtful answer is replaced by one of the largest model if its request may run again`(
        route: String,
        doubtful: Doubtful,
    ) {
        serveAll(doubtful)
        beforeAnswer = { advance(doubtful.lateMillis) }
        val received = call("/$route/x")
        expectThat(modelsAsked().sorted()).isEqualTo(listOf("large", "small"))
        expectAnswer(received, "large")
    }

    /** Guards against the smallest model's poor answers where the first answer stays. */
    @ParameterizedTest
    @CsvSource("brief,small", "note,small", "memo,large", "single,large", "quote,large", "order,large")
    fun `the largest model answers at once if its answer cannot be replaced`(
        route: String,
        model: String,
    ) {
        serveAll(Doubtful.Low)
        call("/$route/x")
        expectThat(modelsAsked()).contains(model)
        expectThat("small" in modelsAsked()).isEqualTo(model == "small")
    }

    companion object {
        /** Forms of answers on a route of each kind of pool; that of "brief" is time-critical. */
        @JvmStatic
        fun repeatable() = listOf("note", "brief").flatMap { route -> Doubtful.entries.map { arrayOf<Any>(route, it) } }
    }
}
