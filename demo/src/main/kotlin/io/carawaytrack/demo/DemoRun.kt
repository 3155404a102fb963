/*
 * Scenario of the demo: the actions of a caller and an operator, and checks of their results.
 */
package io.carawaytrack.demo

import com.github.michaelbull.result.getOrElse
import io.carawaytrack.model.ConfigurationChange
import io.carawaytrack.model.ZoneName
import io.carawaytrack.tables.readTables
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.nio.file.Files
import java.nio.file.Path
import java.util.UUID

private const val REQUESTS_PER_ZONE_CHECK = 10
private const val OK = 200
private const val DISABLED_ZONE = "zone-1"
private const val CHAT_PATH = "/v1/chat/completions"

private val services = listOf("stock-a", "stock-b")
private val upstreamsInDisabledZone = setOf("quill-small-a", "stock-a")

internal class DemoRun(
    private val folder: Path,
    private val client: DemoClient,
) {
    suspend fun run() {
        awaitReady()
        applyTables()
        chat()
        streamedSession()
        reservation()
        disableAndEnableZone()
        checkSpans()
    }

    private suspend fun awaitReady() {
        client.until("a leading control host") { client.status() != null }
        client.until("every upstream announced") {
            client.status()?.upstreams?.size == client.addresses.upstreams.size
        }
        printLine("control leads, ${client.addresses.upstreams.size} upstreams have announced themselves")
    }

    private suspend fun applyTables() {
        val tables =
            readTables(folder.resolve(ROUTES_FILE), folder.resolve(POOLS_FILE)).getOrElse { faults ->
                error(faults.joinToString("\n"))
            }
        changeEverywhere(ConfigurationChange.ApplyTables(tables))
        client.until("ready entries") { client.ready("entry-1") && client.ready("entry-2") }
        printLine("tables in force everywhere")
    }

    private suspend fun changeEverywhere(change: ConfigurationChange) {
        val number = client.change(change)
        client.until("configuration $number everywhere") {
            val holders = client.status()?.holders.orEmpty()
            holders.isNotEmpty() && holders.all { it.configurationNumber >= number }
        }
    }

    private suspend fun chat() {
        val answer = client.call(0, CHAT_PATH, chatBody(stream = false))
        check(answer.status == OK) { "expected a chat answer with status $OK, got ${answer.status}: ${answer.body}" }
        val choices = Json.parseToJsonElement(answer.body).jsonObject["choices"] as? JsonArray
        check(!choices.isNullOrEmpty()) { "expected choices in the answer, got ${answer.body}" }
        printLine("chat ${answer.requestId} served by ${answer.version} on ${answer.upstream}")
    }

    private suspend fun streamedSession() {
        val session = mapOf("X-Session-Id" to UUID.randomUUID().toString())
        val versions =
            List(2) { entry ->
                val answer = client.call(entry, CHAT_PATH, chatBody(stream = true), session)
                check(answer.status == OK) { "expected a stream, got ${answer.status}: ${answer.body}" }
                check(answer.body.trim().endsWith("data: [DONE]")) {
                    "expected a stream that ends with data: [DONE], got ${answer.body}"
                }
                printLine("draft ${answer.requestId} streamed by ${answer.version} on ${answer.upstream}")
                answer.version
            }
        check(versions.distinct().size == 1) { "expected one version for the session, got $versions" }
    }

    private suspend fun reservation() {
        val key = mapOf("Idempotency-Key" to UUID.randomUUID().toString())
        val before = reservations()
        val answers = List(2) { entry -> client.call(entry, "/stock/reservations", RESERVATION, key) }
        check(answers.all { it.status / STATUS_CLASS_SIZE == 2 }) { "expected two accepted reservations, got $answers" }
        check(answers[0].body == answers[1].body) { "expected the same reservation twice, got $answers" }
        check(answers[1].repeated) { "expected the second answer to be the recorded one, got ${answers[1]}" }
        val startedCount = reservations() - before
        check(startedCount == 1) { "expected one reservation, got $startedCount" }
        printLine("reservation ${answers[0].requestId} sent twice ran once, on ${answers[0].upstream}")
    }

    private suspend fun reservations(): Int = services.sumOf { upstream ->
        val counters = Json.parseToJsonElement(client.upstreamCounters(upstream)).jsonObject
        counters.started()
    }

    private fun JsonObject.started(): Int = get("total")
        ?.jsonObject
        ?.get("started")
        ?.jsonPrimitive
        ?.int ?: 0

    private suspend fun disableAndEnableZone() {
        changeEverywhere(ConfigurationChange.SetZone(ZoneName(DISABLED_ZONE), inService = false))
        val used = sendChats()
        check(used.none { it in upstreamsInDisabledZone }) { "expected nothing from $DISABLED_ZONE, got $used" }
        printLine("$DISABLED_ZONE is out; ${used.size} requests served by ${used.distinct().sorted()}")
        changeEverywhere(ConfigurationChange.SetZone(ZoneName(DISABLED_ZONE), inService = true))
        client.until("work in $DISABLED_ZONE again") { sendChats().any { it in upstreamsInDisabledZone } }
        printLine("$DISABLED_ZONE is back and receives work")
    }

    private suspend fun sendChats(): List<String> = List(REQUESTS_PER_ZONE_CHECK) { index ->
        val answer = client.call(index % 2, CHAT_PATH, chatBody(stream = false))
        check(answer.status == OK) { "expected status $OK, got ${answer.status}: ${answer.body}" }
        answer.upstream.orEmpty()
    }

    /** Waits until the spans of an entry and of an agent show the same trace; they are written in the background. */
    private suspend fun checkSpans() {
        client.until("a trace through an entry and an agent") {
            traces("entry-").intersect(traces("agent-")).isNotEmpty()
        }
        printLine("spans of entries and agents share their traces")
    }

    private fun traces(nodePrefix: String): Set<String> = client.addresses.observability.keys
        .filter { it.startsWith(nodePrefix) }
        .map { folder.resolve("$it.spans.jsonl") }
        .filter(Files::exists)
        .flatMap { Files.readAllLines(it) }
        .mapNotNull { line -> traceId.find(line)?.value }
        .toSet()

    private fun printLine(line: String): Unit = println(line)
}

private const val STATUS_CLASS_SIZE = 100

/** Matches the trace id of a span, also in a last line that is still being written. */
private val traceId = Regex(""""traceId":"[0-9a-f]{32}"""")
private const val RESERVATION = """{"item":"drawer-rail","quantity":1}"""

private fun chatBody(stream: Boolean) = """{"model":"draft","stream":$stream,"max_tokens":16,""" +
    """"messages":[{"role":"user","content":"Draft a letter of condolence."}]}"""
