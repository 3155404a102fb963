/*
 * Upstreams in trouble whose responses are not valid HTTP/1.1: what callers read from their sockets, where the request
 * runs, and what is recorded. Callers judge the bytes by the grammar, independently of any decoder.
 */
package io.carawaytrack.gateway

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

private const val OWN_FIELDS = "x-attempt: id1\nx-seal: s\n"
private const val STREAM_END = "0\r\n\r\n"
private const val CLOSED_WITHIN_SECONDS = 5L

internal class MalformedResponseTest : GatewayFixture() {
    /** A request of a caller on [path], with what callers receive once another upstream has taken it over, if any. */
    enum class Call(
        val path: String,
        val retriedBody: String?,
        val method: String = "POST",
    ) {
        Retryable("/lookup/x", "done"),
        RetryableHead("/lookup/x", "", "HEAD"),
        NonRetryable("/pay/x", null),
        NonRetryableHead("/pay/x", null, "HEAD"),
        Resumable("/draft/x", "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"),
        StreamThatMayRunOnce("/oneoff/x", null),
    }

    class Case(
        val call: Call,
        val response: String,
        val fault: String,
    ) {
        override fun toString() = "$call: ${printable(response)}"
    }

    private val log = RecordedLog()
    private val endsOfConnection = LinkedBlockingQueue<String>()

    /** Sends [response], and records that the gateway closes the connection without another request on it. */
    private fun sending(response: String) = FakeUpstream { _, out, socket ->
        out.send(response)
        endsOfConnection += endOf(socket)
        false
    }

    private fun endOf(socket: Socket): String {
        socket.soTimeout = TimeUnit.SECONDS.toMillis(CLOSED_WITHIN_SECONDS).toInt()
        return runCatching { socket.getInputStream().read() }.fold({ if (it < 0) "closed" else "used" }, { "$it" })
    }

    private fun sound(call: Call) = FakeUpstream { _, out, _ ->
        when {
            call.method == "HEAD" -> out.send(fullResponse("200 OK", ""))
            call == Call.Resumable -> out.send(STREAM_HEAD).also { out.raw(event(1) + event(2) + STREAM_END) }
            else -> out.send(fullResponse("200 OK", "done"))
        }
        true
    }

    private fun received(call: Call): ReceivedBytes = FakeCaller(callers).use { caller ->
        caller.send(request(call.path, headers = "Connection: close\n").replaceFirst("POST", call.method))
        judge(caller.readUntil("(end)"), withBody = call.method != "HEAD")
    }

    private fun check(case: Case) {
        serveFrom(listOf(sending(case.response), sound(case.call)))
        val received = received(case.call)
        expectThat(received.faults).describedAs("bytes at the caller: ${received.printable}").isEmpty()
        val retriedBody = case.call.retriedBody
        expectThat(received.status).isEqualTo(if (retriedBody == null) 502 else 200)
        if (retriedBody == null) {
            expectThat(received["x-seal"]).isNull()
        } else {
            expectThat(received["x-seal"]).isEqualTo("s")
            expectThat(received.body).isEqualTo(retriedBody)
        }
        expectThat(upstreams.map { it.requests.size }).isEqualTo(listOf(1, if (retriedBody == null) 0 else 1))
        expectThat(endsOfConnection.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("closed")
        expectThat(faults.map { it.substringAfter(' ') }).isEqualTo(listOf(case.fault))
        expectThat(log.events("attempt_failed").map { listOf(it["requestId"], it["end"], it["fault"]) })
            .isEqualTo(listOf(listOf("id1", "InvalidResponse", case.fault)))
    }

    @AfterEach
    fun stopLog() = log.close()

    @ParameterizedTest
    @MethodSource("statusLines")
    fun `a response whose status line is not valid is not passed on`(case: Case) = check(case)

    @ParameterizedTest
    @MethodSource("fieldNames", "fieldValues")
    fun `a response whose head has a line that is no field is not passed on`(case: Case) = check(case)

    @ParameterizedTest
    @MethodSource("chunkedBodies")
    fun `a response whose chunks are not valid is not passed on`(case: Case) = check(case)

    @ParameterizedTest
    @MethodSource("framings")
    fun `a response that does not state the end of its body by the grammar is not passed on`(case: Case) = check(case)

    @ParameterizedTest
    @MethodSource("oddResponses")
    fun `a response that is odd but valid reaches the caller as it is`(
        response: String,
        endsConnection: Boolean,
    ) {
        serve({ _, out, _ -> !endsConnection.also { out.write(response.toByteArray(Charsets.ISO_8859_1)) } })
        repeat(2) {
            val received = received(Call.NonRetryable)
            expectThat(received.faults).describedAs("bytes at the caller: ${received.printable}").isEmpty()
            expectThat(received.status.toString()).isEqualTo(response.substringAfterLast("HTTP/1.").substring(2, 5))
            expectThat(received["x-seal"]).isEqualTo("s")
            val odd = response.substringAfter("x-odd:", "").substringBefore('\n').trim()
            expectThat(received["x-odd"].orEmpty()).isEqualTo(odd)
            expectThat(received.body).isEqualTo("done")
        }
        expectThat(faults).isEmpty()
    }

    companion object {
        private fun heads(
            calls: List<Call>,
            responses: List<String>,
            fault: String,
        ) = calls.flatMap { call -> responses.map { Case(call, it, fault) } }

        /** Heads with statuses that are not three digits from 100 to 599, or with other bytes than the grammar's. */
        @JvmStatic
        fun statusLines(): List<Case> {
            val statuses = "000;000 Broken;099 OK;600 OK;999 OK;20 OK;0200 OK;2000 OK;-20 OK;+20 OK;2x0 OK".split(';')
            val others =
                "HTTP/1.1  200 OK;HTTP/1.1\t200 OK;HTTP/1.1 200\tOK;HTTP/1.1 200 O\u0001K;HTTP/1.1 200 O\rK;" +
                    "HTTP/1.10 200 OK;HTTP/2.0 200 OK; HTTP/1.1 200 OK;\nHTTP/1.1 200 OK"
            val lines = statuses.map { "HTTP/1.1 $it" } + others.split(';')
            val whole = lines.map { "$it\n${OWN_FIELDS}Content-Length: 4\n\nnope" }
            val interim = listOf("HTTP/1.1 000 Continue\n\n", "HTTP/1.1 099 Continue\n\n").map { it + whole("200 OK") }
            val unframed = listOf("HTTP/1.1 000 Broken\n$OWN_FIELDS\nnope")
            val refusal = listOf("HTTP/1.1 0503 Full\n${OWN_FIELDS}x-not-executed: 1\nContent-Length: 0\n\n")
            return heads(Call.entries, whole.take(2) + interim + unframed + refusal, "StatusLine") +
                heads(listOf(Call.Retryable, Call.NonRetryable), whole.drop(2), "StatusLine")
        }

        private fun whole(
            status: String,
            fields: String = "",
        ) = "HTTP/1.1 $status\n$OWN_FIELDS${fields}Content-Length: 4\n\nnope"

        /** Heads with a line whose name is no token, or that has no name. */
        @JvmStatic
        fun fieldNames(): List<Case> {
            val lines =
                (
                    "x bad: 1;x-bad : 1;x\u0001bad: 1;x\u0000bad: 1;x\u007fbad: 1;x\tbad: 1;x-bad\t: 1;x\rbad: 1;" +
                        "\u0001: 1;: 1;x-bad;x(bad): 1;x\"bad: 1;x\u00e4bad: 1; x-bad: 1;\tx-bad: 1"
                ).split(';')
            val framing =
                "Content-Length : 2;Content Length: 2;Content\u0001-Length: 2;Transfer-Encoding : chunked"
                    .split(';')
                    .map { "HTTP/1.1 200 OK\n$OWN_FIELDS$it\n\nnope" }
            val interim = listOf("HTTP/1.1 103 Early Hints\nx bad: 1\n\n" + whole("200 OK"))
            val refusal =
                listOf("HTTP/1.1 503 Full\n${OWN_FIELDS}x-not-executed: 1\nx bad: 1\nContent-Length: 0\n\n")
            val stream = listOf("HTTP/1.1 200 OK\n${OWN_FIELDS}x bad: 1\nTransfer-Encoding: chunked\n\n$STREAM_END")
            val calls = listOf(Call.Retryable, Call.NonRetryable)
            val streams = listOf(Call.Resumable, Call.StreamThatMayRunOnce)
            val blankAndControl = listOf(lines[0], lines[2]).map { whole("200 OK", "$it\n") }
            return heads(Call.entries, blankAndControl + interim + refusal, "FieldName") +
                heads(calls, lines.map { whole("200 OK", "$it\n") } + framing, "FieldName") +
                heads(streams, stream, "FieldName")
        }

        /** Heads with a control character in the value of a field. */
        @JvmStatic
        fun fieldValues(): List<Case> {
            val lines =
                "x-bad: a\u0000b;x-bad: a\u0001b;x-bad: a\u007fb;x-bad: a\rb;x-bad:\u000b1;x-bad: 1\u0008".split(';')
            val interim = listOf("HTTP/1.1 103 Early Hints\nx-bad: a\u0001b\n\n" + whole("200 OK"))
            return heads(Call.entries, lines.take(1).map { whole("200 OK", "$it\n") } + interim, "FieldValue") +
                heads(listOf(Call.Retryable, Call.NonRetryable), lines.map { whole("200 OK", "$it\n") }, "FieldValue")
        }

        /** Chunks whose sizes are no numbers or are not those of their data, and trailers that are no fields. */
        @JvmStatic
        fun chunkedBodies(): List<Case> {
            val sizes = "-4;+4; 4;4 ;4\t;0x4;4 x;4,;g;;4\rx;4\u0001;80000000;fffffffffffffffff".split(';') + "4;x\u0001"
            val ends = "4\nnope+\n0\n\n;3\nnope\n0\n\n;4\nnope0\n\n;4\nnope\r0\n\n;4\nnope\n0x\n\n;4\nnope\n\n0\n\n"
            val chunks = (sizes.map { "$it\nnope\n0\n\n" } + ends.split(';')).map { inChunks(it) }
            val trailers = "x bad: 1;x-bad : 1;x\u0001: 1; x: 1;x".split(';').map { inChunks("4\nnope\n0\n$it\n\n") }
            val trailerValues = "x: a\u0000;x: a\rb".split(';').map { inChunks("4\nnope\n0\n$it\n\n") }
            val refusal = listOf("HTTP/1.1 503 Full\n${OWN_FIELDS}x-not-executed: 1\nTransfer-Encoding: chunked\n\nx\n")
            val calls = listOf(Call.Retryable, Call.NonRetryable)
            return heads(calls, chunks + refusal, "Chunk") + heads(calls, trailers, "FieldName") +
                heads(calls, trailerValues, "FieldValue")
        }

        /** Heads that state the end of the body in several ways, or in none that the grammar allows. */
        @JvmStatic
        fun framings(): List<Case> {
            val calls = listOf(Call.Retryable, Call.NonRetryable)
            val lengths =
                (
                    "+4;-4;0x4;4 4;4,4;4.0;99999999999999999999;;4\nContent-Length: 4;4\nContent-Length: 2;" +
                        "4\nTransfer-Encoding: chunked"
                ).split(';')
            val codings =
                "gzip;gzip, chunked;chunked, chunked;chunked\nTransfer-Encoding: chunked;identity;".split(';')
            val chunkedByOldVersion = inChunks("4\nnope\n0\n\n").replace("HTTP/1.1", "HTTP/1.0")
            return heads(calls, listOf(chunkedByOldVersion), "Undecodable") +
                heads(
                    calls,
                    lengths.map { "HTTP/1.1 200 OK\n${OWN_FIELDS}Content-Length: $it\n\nnope" },
                    "Undecodable",
                ) +
                heads(
                    calls,
                    codings.map { "HTTP/1.1 200 OK\n${OWN_FIELDS}Transfer-Encoding: $it\n\n4\nnope\n0\n\n" },
                    "Undecodable",
                )
        }

        /** Valid responses with the body "done", and whether their connection ends after them. */
        @JvmStatic
        fun oddResponses(): List<Array<Any>> {
            val own = OWN_FIELDS.replace("\n", "\r\n")
            val sized = "${own}Content-Length: 4\r\n\r\ndone"
            val chunked = "${own}Transfer-Encoding: chunked\r\n"
            val kept =
                listOf(
                    "200",
                    "200 ",
                    "200 \u00e9t\u00e9\t!",
                    "299 Odd",
                    "404",
                    "599 x",
                ).map { "HTTP/1.1 $it\r\n$sized" } +
                    listOf(
                        "x-odd:",
                        "x-odd:1",
                        "x-odd: \t1 2 \t",
                        "x-odd: \u00e9\"(),/:;<=>?@[]{}",
                        "!#\$%&'*+.^_`|~: 1",
                    ).map { "HTTP/1.1 200 OK\r\n$it\r\n$sized" } +
                    listOf("HTTP/1.1 103 Early Hints\r\nx: 1\r\n\r\nHTTP/1.1 200 OK\r\n$sized") +
                    listOf("HTTP/1.1 200 OK\n" + sized.replace("\r\n", "\n")) +
                    listOf(
                        "4;a=\"b\"\r\ndone\r\n0\r\n\r\n",
                        "04 ;a\r\ndone\r\n000\r\nx: 1\r\ny:\r\n\r\n",
                        "2\r\ndo\r\n2\r\nne\r\n0\r\n\r\n",
                    ).map { "HTTP/1.1 200 OK\r\n$chunked\r\n$it" }
            val ended =
                listOf(
                    "HTTP/1.1 200 OK\r\n$own\r\ndone",
                    "HTTP/1.0 200 OK\r\n$own\r\ndone",
                    "HTTP/1.1 500\r\n$own\r\ndone",
                )
            return kept.map { arrayOf<Any>(it, false) } + ended.map { arrayOf<Any>(it, true) }
        }

        private fun inChunks(body: String) = "HTTP/1.1 200 OK\n${OWN_FIELDS}Transfer-Encoding: chunked\n\n$body"
    }
}
