/*
 * The HTTP interface of the engine stand-in: the chat completions API, refusals, and each fault.
 */
package io.carawaytrack.standins

import io.carawaytrack.standins.StandInClient.Companion.CHAT_PATH
import io.carawaytrack.standins.StandInClient.Companion.chatBody
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.endsWith
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.io.IOException
import java.net.http.HttpResponse

class EngineStandInTest {
    private class RunningEngine(
        val standIn: EngineStandIn,
        val clock: AutoAdvancingClock,
    ) {
        val calls = StandInClient(standIn.port)
    }

    private fun withEngine(
        settings: EngineSettings = EngineSettings(),
        check: RunningEngine.() -> Unit,
    ) {
        val clock = AutoAdvancingClock()
        EngineStandIn(settings, clock.timing).use { RunningEngine(it, clock).check() }
    }

    private data class AnswerCase(
        val name: String,
        val body: String,
        val status: Int,
        val expectedTexts: List<String>,
    )

    private val answerCases =
        listOf(
            AnswerCase(
                "a plain request gets a completion with usage",
                chatBody("a letter"),
                200,
                listOf(""""object":"chat.completion"""", """"model":"quill@1"""", """"completion_tokens":4""", "[q="),
            ),
            AnswerCase(
                "a request may name the version",
                chatBody(model = "quill@2"),
                200,
                listOf(""""model":"quill@2""""),
            ),
            AnswerCase(
                "a token limit shortens the answer",
                chatBody(extraFields = ""","max_tokens":2"""),
                200,
                listOf(""""finish_reason":"length"""", """"completion_tokens":2"""),
            ),
            AnswerCase(
                "a stream has usage in its last chunk",
                chatBody(stream = true),
                200,
                listOf("chat.completion.chunk", """"finish_reason":"stop"}],"usage":{""", "data: [DONE]\n\n"),
            ),
            AnswerCase(
                "a stream has usage in a separate chunk on request",
                chatBody(stream = true, extraFields = ""","stream_options":{"include_usage":true}"""),
                200,
                listOf(""""choices":[],"usage":{""", "data: [DONE]\n\n"),
            ),
            AnswerCase("an unknown model is refused", chatBody(model = "pen"), 404, listOf("model_not_found")),
            AnswerCase("a body that is not JSON is refused", "{", 400, listOf("invalid_request")),
            AnswerCase("a body without messages is refused", """{"model":"quill"}""", 400, listOf("messages")),
        )

    @TestFactory
    fun `responses follow the chat completions API`(): List<DynamicTest> = answerCases.map { case ->
        dynamicTest(case.name) {
            withEngine(EngineSettings(versions = listOf(QUILL_1, QUILL_2), answerTokens = 4)) {
                val response = calls.post(CHAT_PATH, case.body)
                expectThat(response.statusCode()).isEqualTo(case.status)
                case.expectedTexts.forEach { expectThat(response.body()).contains(it) }
            }
        }
    }

    private data class FaultCase(
        val name: String,
        val faults: EngineFaults,
        val status: Int,
        val counts: ExecutionCounts,
    )

    private val faultCases =
        listOf(
            FaultCase("no fault", EngineFaults(), 200, ExecutionCounts(started = 1, completed = 1)),
            FaultCase("an engine that is down starts no request", EngineFaults(down = true), 503, ExecutionCounts()),
            FaultCase("errors", EngineFaults(errorRatio = 1.0), 500, ExecutionCounts(started = 1, failed = 1)),
            FaultCase(
                "errors of another version",
                EngineFaults(errorRatio = 1.0, versions = listOf("quill@2")),
                200,
                ExecutionCounts(started = 1, completed = 1),
            ),
        )

    @TestFactory
    fun `faults affect the response and the counters`(): List<DynamicTest> = faultCases.map { case ->
        dynamicTest(case.name) {
            withEngine {
                standIn.replaceFaults(case.faults)
                val response = calls.chat(headers = arrayOf(REQUEST_ID_HEADER to "r1"))
                expectThat(response.statusCode()).isEqualTo(case.status)
                expectThat(standIn.counters.total).isEqualTo(case.counts)
                expectThat(standIn.counters.requests["r1"]?.counts ?: ExecutionCounts()).isEqualTo(case.counts)
            }
        }
    }

    @Test
    fun `a connection that breaks during a stream truncates the answer`() = withEngine {
        standIn.replaceFaults(EngineFaults(stallAfterTokens = 2))
        val reader = calls.open(CHAT_PATH, chatBody(stream = true)).body().bufferedReader()
        expectThat(generateSequence { reader.readLine() }.first { "[q=" in it }).contains(""""content"""")
        standIn.replaceFaults(EngineFaults(breakAfterTokens = 2))
        expectCatching { reader.readText() }.isFailure().isA<IOException>()
    }

    @Test
    fun `a broken answer is resumed after its last token`() = withEngine(EngineSettings(answerTokens = 6)) {
        val complete = calls.post(CHAT_PATH, chatBody(stream = true), REQUEST_ID_HEADER to "whole").body().contents()
        standIn.replaceFaults(EngineFaults(breakAfterTokens = 3))
        expectCatching { calls.post(CHAT_PATH, chatBody(stream = true), REQUEST_ID_HEADER to "r1") }.isFailure()
        standIn.replaceFaults(EngineFaults())
        val resumed =
            calls.post(
                CHAT_PATH,
                chatBody(stream = true),
                REQUEST_ID_HEADER to "r1",
                RESUME_FROM_HEADER to "3",
            )
        expectThat(resumed.body().contents()).isEqualTo(complete.drop(3))
        expectThat(
            standIn.counters.requests
                .getValue("r1")
                .counts,
        ).isEqualTo(ExecutionCounts(started = 1, failed = 1, resumed = 1, completed = 1))
        val unknownRequest = calls.chat(headers = arrayOf(REQUEST_ID_HEADER to "r2", RESUME_FROM_HEADER to "1"))
        expectThat(unknownRequest.statusCode()).isEqualTo(404)
    }

    @Test
    fun `a stalled answer continues after the fault is cleared`() = withEngine {
        standIn.replaceFaults(EngineFaults(stallAfterTokens = 1))
        val response = calls.open(CHAT_PATH, chatBody(stream = true))
        val reader = response.body().bufferedReader()
        expectThat(reader.readLine()).contains("assistant")
        standIn.replaceFaults(EngineFaults())
        expectThat(reader.readText()).endsWith("data: [DONE]\n\n")
    }

    @Test
    fun `a cancelled request ends and is counted`() = withEngine {
        standIn.replaceFaults(EngineFaults(stallAfterTokens = 1))
        val response = calls.open(CHAT_PATH, chatBody(stream = true), REQUEST_ID_HEADER to "r1")
        val reader = response.body().bufferedReader()
        reader.readLine()
        expectThat(calls.post("/cancel", """{"requestId":"r1"}""").body()).contains("true")
        expectCatching { reader.readText() }.isFailure().isA<IOException>()
        expectThat(calls.post("/cancel", """{"requestId":"r1"}""").body()).contains("false")
        expectThat(standIn.counters.total).isEqualTo(ExecutionCounts(started = 1, cancelled = 1))
    }

    @Test
    fun `a caller that disconnects frees its batch slot`() =
        withEngine(EngineSettings(versions = listOf(QUILL_1, QUILL_2), maxRunning = 1)) {
            standIn.replaceFaults(EngineFaults(stallAfterTokens = 1, versions = listOf("quill@1")))
            val open = calls.open(CHAT_PATH, chatBody(stream = true), REQUEST_ID_HEADER to "gone")
            open.body().read()
            val waiting = calls.postAsync(CHAT_PATH, chatBody(model = "quill@2"))
            open.body().close()
            expectThat(waiting.join().statusCode()).isEqualTo(200)
            expectThat(
                standIn.counters.requests
                    .getValue("gone")
                    .counts,
            ).isEqualTo(ExecutionCounts(started = 1, cancelled = 1))
        }

    @Test
    fun `an engine crashes when its queued tokens exceed its memory`() =
        withEngine(EngineSettings(memoryTokens = 100, answerTokens = 60, restartMillis = 500)) {
            standIn.replaceFaults(EngineFaults(stallAfterTokens = 1))
            calls.open(CHAT_PATH, chatBody(stream = true)).body().read()
            expectThat(calls.chat().statusCode()).isEqualTo(503)
            expectThat(standIn.counters.restarts).isEqualTo(1)
            expectThat(standIn.load.queuedTokens).isEqualTo(0)
        }

    @Test
    fun `an engine above its cold start capacity crashes and restarts`() =
        withEngine(EngineSettings(coldStartMillis = 60_000, coldCapacity = 1, restartMillis = 1_000)) {
            standIn.replaceFaults(EngineFaults(stallAfterTokens = 1))
            val first = calls.open(CHAT_PATH, chatBody(stream = true))
            val reader = first.body().bufferedReader()
            reader.readLine()
            expectThat(calls.chat().statusCode()).isEqualTo(503)
            expectCatching { reader.readText() }.isFailure().isA<IOException>()
            expectThat(calls.get("/health").statusCode()).isEqualTo(503)
            clock.nowMillis.addAndGet(1_000)
            expectThat(calls.get("/health").body()).contains(""""bootId":2""").contains(""""cold":true""")
            standIn.replaceFaults(EngineFaults())
            expectThat(calls.chat().statusCode()).isEqualTo(200)
        }

    @Test
    fun `a repeated prompt has a shorter time to first token`() =
        withEngine(EngineSettings(tokenMillis = 0.0, prefillMillisPerKilotoken = 1_000.0)) {
            val prompt = "a long prompt ".repeat(100)
            val responseMillis =
                List(2) {
                    val startMillis = clock.nowMillis.get()
                    calls.chat(prompt)
                    clock.nowMillis.get() - startMillis
                }
            expectThat(responseMillis[0]).isGreaterThan(300)
            expectThat(responseMillis[1]).isLessThan(50)
        }

    @Test
    fun `only a request with the crash text crashes the engine`() {
        val engine =
            EngineStandIn(EngineSettings(faults = EngineFaults(crashText = "boom")), AutoAdvancingClock().timing)
        val calls = StandInClient(engine.port)
        expectThat(calls.chat("calm").statusCode()).isEqualTo(200)
        expectCatching { calls.chat("boom") }.isFailure().isA<IOException>()
        expectCatching { calls.chat("calm") }.isFailure().isA<IOException>()
    }

    private data class OrderCase(
        val name: String,
        val enforcesFencing: Boolean,
        val fencingTokens: List<Long>,
        val appliedTokens: List<Long>,
    )

    private val orderCases =
        listOf(
            OrderCase("an order with a lower token is refused", true, listOf(2, 1, 3), listOf(2, 3)),
            OrderCase("an order with an equal token is applied", true, listOf(2, 2), listOf(2, 2)),
            OrderCase("an engine that ignores fencing applies every order", false, listOf(2, 1), listOf(2, 1)),
        )

    @TestFactory
    fun `orders are fenced by their tokens`(): List<DynamicTest> = orderCases.map { case ->
        dynamicTest(case.name) {
            withEngine(EngineSettings(enforcesFencing = case.enforcesFencing)) {
                case.fencingTokens.forEach {
                    calls.post(
                        "/orders",
                        """{"fencingNumber":$it,"action":"Load","model":"quill","version":"$it"}""",
                    )
                }
                expectThat(standIn.state.applied.map { it.fencingNumber }).isEqualTo(case.appliedTokens)
            }
        }
    }

    @Test
    fun `an order changes which models are served`() = withEngine {
        calls.post("/orders", """{"fencingNumber":1,"action":"Load","model":"quill","version":"2"}""")
        expectThat(calls.chat(model = "quill@2").statusCode()).isEqualTo(200)
        calls.post("/orders", """{"fencingNumber":2,"action":"Unload","model":"quill","version":"1"}""")
        expectThat(calls.chat(model = "quill@1").statusCode()).isEqualTo(404)
        expectThat(calls.get("/v1/models").body()).contains("quill@2").not().contains("quill@1")
        expectThat(calls.post("/orders", """{"fencingNumber":3,"action":"Load"}""").statusCode()).isEqualTo(400)
    }

    @Test
    fun `load and cache events are reported with a lag`() =
        withEngine(EngineSettings(loadLagMillis = 10_000, eventLagMillis = 10_000, cacheBlocks = 1)) {
            calls.chat("x".repeat(2 * PREFIX_BLOCK_CHARS))
            expectThat(calls.get("/events").body()).isEqualTo("")
            clock.nowMillis.addAndGet(10_000)
            val kinds =
                calls
                    .get("/events")
                    .body()
                    .lines()
                    .filter { it.isNotEmpty() }
            expectThat(kinds.map { it.substringAfter("\"kind\":\"").substringBefore('"') })
                .containsExactly("Stored", "Removed", "Stored")
            standIn.replaceFaults(EngineFaults(stallAfterTokens = 1))
            val open = calls.open(CHAT_PATH, chatBody(stream = true))
            open.body().bufferedReader().readLine()
            expectThat(standIn.load.running).isEqualTo(1)
            expectThat(calls.get("/load").body()).contains(""""running":0""")
            clock.nowMillis.addAndGet(10_000)
            expectThat(calls.get("/load").body()).contains(""""running":1""")
        }

    @Test
    fun `a quality fault lowers the ratings of the faulty version only`() =
        withEngine(EngineSettings(versions = listOf(QUILL_1, QUILL_2), quality = 0.9, qualitySpread = 0.0)) {
            standIn.replaceFaults(EngineFaults(quality = 0.1, versions = listOf("quill@2")))
            expectThat(calls.chat(model = "quill@1").rating()).isEqualTo(0.9)
            expectThat(calls.chat(model = "quill@2").rating()).isEqualTo(0.1)
        }

    @Test
    fun `faults are replaced over HTTP`() = withEngine {
        expectThat(calls.post("/faults", """{"down":true}""").statusCode()).isEqualTo(200)
        expectThat(calls.chat().statusCode()).isEqualTo(503)
        expectThat(calls.post("/faults", """{}""").body().contains(""""down":true""")).isFalse()
        expectThat(calls.chat().statusCode()).isEqualTo(200)
        expectThat(calls.get("/faults").body().contains("tokenSlowdown")).isTrue()
    }

    private fun HttpResponse<String>.rating(): Double? = markedQuality(body())

    private fun String.contents(): List<String> = lines()
        .filter { """"content":""" in it }
        .map { it.substringAfter(""""content":"""").substringBefore('"') }
        .filter { it.isNotEmpty() }
}
