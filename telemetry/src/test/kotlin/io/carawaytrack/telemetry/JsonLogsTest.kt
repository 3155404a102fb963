/*
 * Guards against log lines that a collector cannot parse: each event must be one JSON object on one line, also when its
 * message contains line breaks or quotes.
 */
package io.carawaytrack.telemetry

import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.RequestId
import io.carawaytrack.model.ZoneName
import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.slf4j.MDC
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsKeys
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch

class JsonLogsTest {
    private val log = KotlinLogging.logger("caraway.test")

    private fun linesOf(
        level: Level = Level.INFO,
        act: (KLogger) -> Unit,
    ): List<String> {
        val lines = CopyOnWriteArrayList<String>()
        installJsonLogs(NodeId("entry-1"), NodeRole.Entry, ZoneName("a"), level) { lines += it }.use { act(log) }
        return lines
    }

    private data class Case(
        val name: String,
        val act: (KLogger) -> Unit,
        val fields: Map<String, String>,
    )

    private val cases =
        listOf(
            Case(
                "a plain message",
                { it.info { "started" } },
                mapOf("level" to "INFO", "logger" to "caraway.test", "message" to "started"),
            ),
            Case(
                "a message with line breaks and quotes",
                { it.warn { "a \"b\"\n{\"level\":\"ERROR\"}" } },
                mapOf("level" to "WARN", "message" to "a \"b\"\n{\"level\":\"ERROR\"}"),
            ),
            Case(
                "a message of a request",
                { it.info(RequestId("r-1")) { "ended" } },
                mapOf("requestId" to "r-1", "message" to "ended"),
            ),
            Case(
                "a request's failure with its cause",
                { it.error(RequestId("r-2"), IllegalStateException("broken")) { "failed" } },
                mapOf("requestId" to "r-2", "level" to "ERROR"),
            ),
            Case(
                "a message under a diagnostic context",
                { log -> MDC.putCloseable("requestId", "r-3").use { log.warn { "inside" } } },
                mapOf("requestId" to "r-3"),
            ),
        )

    @TestFactory
    fun `one line of JSON is written for`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val line = linesOf(act = case.act).single()
            val fields = line.toJson()
            expectThat(line.lines().size).isEqualTo(1)
            expectThat(case.fields.mapValues { (field, _) -> fields.text(field) }).isEqualTo(case.fields)
            expectThat(fields).containsKeys("timestamp", "thread")
            expectThat(listOf("node", "role", "availabilityZone").map(fields::text))
                .isEqualTo(listOf("entry-1", "Entry", "a"))
        }
    }

    @Test
    fun `a cause is written with its stack trace`() {
        val line = linesOf { it.error(RequestId("r"), IllegalStateException("broken")) { "failed" } }.single()
        expectThat(line.toJson().text("stackTrace")).contains("IllegalStateException: broken")
    }

    @Test
    fun `messages below the level are omitted`() {
        expectThat(linesOf(Level.WARN) { it.info { "omitted" } }).isEmpty()
    }

    @Test
    fun `a blocked sink drops lines and does not block the caller`() {
        val unblockSink = CountDownLatch(1)
        val lines = CopyOnWriteArrayList<String>()
        val logs =
            installJsonLogs(NodeId("entry-1"), NodeRole.Entry, ZoneName("a")) {
                unblockSink.await()
                lines += it
            }
        repeat(10_000) { log.info { "line" } }
        unblockSink.countDown()
        logs.close()
        expectThat(lines.size).isLessThan(10_000)
    }
}
