/*
 * Guards against broken traces and against span export that delays requests: a well-formed `traceparent` continues its
 * trace, a malformed one starts a new trace, and a slow sink causes spans to be dropped without blocking the caller.
 */
package io.carawaytrack.telemetry

import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.ZoneName
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.matches
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.io.path.readLines

private const val TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
private const val PARENT_ID = "b7ad6b7169203331"
private const val SAMPLED = "00-$TRACE_ID-$PARENT_ID-01"

class TelemetryTest {
    private val lines = CopyOnWriteArrayList<String>()

    private fun telemetry(
        settings: TelemetrySettings = TelemetrySettings(),
        sink: (String) -> Unit = { lines += it },
    ) = Telemetry(NodeId("entry-1"), NodeRole.Entry, ZoneName("a"), settings, sink)

    @Test
    fun `a span continues the trace of its traceparent and records attributes and the failure`() {
        telemetry().use { telemetry ->
            telemetry.span("dispatch", SAMPLED, mapOf("route" to "letters")).use { hop ->
                hop.attribute("version", "quill@1")
                hop.fail(ErrorKind.UpstreamFailed)
                expectThat(hop.traceparent).matches(Regex("00-$TRACE_ID-(?!$PARENT_ID)[0-9a-f]{16}-01"))
            }
        }
        val line = lines.single().toJson()
        expectThat(line.text("traceId")).isEqualTo(TRACE_ID)
        expectThat(line.text("parentSpanId")).isEqualTo(PARENT_ID)
        expectThat(line.text("name")).isEqualTo("dispatch")
        expectThat(line.text("status")).isEqualTo("ERROR")
        expectThat(line.text("node")).isEqualTo("entry-1")
        expectThat(line.text("availabilityZone")).isEqualTo("a")
        expectThat(line.getValue("attributes").jsonObject.mapValues { it.value.jsonPrimitive.content }).isEqualTo(
            mapOf("route" to "letters", "version" to "quill@1", "error.type" to "UpstreamFailed"),
        )
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "",
            "-",
            "nonsense",
            "00-$TRACE_ID-$PARENT_ID",
            "00-$TRACE_ID-$PARENT_ID-1",
            "00-$TRACE_ID-$PARENT_ID-01-more",
            "00-00000000000000000000000000000000-$PARENT_ID-01",
            "00-$TRACE_ID-0000000000000000-01",
            "00-${TRACE_ID}00-$PARENT_ID-01",
            "00-zaf7651916cd43dd8448eb211c80319c-$PARENT_ID-01",
            "ff-$TRACE_ID-$PARENT_ID-01",
            "00-$TRACE_ID-$PARENT_ID-01\r\nX-Injected: 1",
        ],
    )
    fun `a malformed traceparent starts a new trace`(traceparent: String) {
        telemetry().use { telemetry ->
            telemetry.span("hop", traceparent).use { hop ->
                expectThat(hop.traceparent).matches(Regex("00-[0-9a-f]{32}-[0-9a-f]{16}-03"))
            }
        }
        expectThat(lines.single().toJson().text("traceId")).isNotEqualTo(TRACE_ID)
        expectThat(lines.single().toJson().text("parentSpanId")).isEqualTo("null")
    }

    @ParameterizedTest
    @CsvSource(
        "1.0, , 03, 1",
        "0.0, , 02, 0",
        "1.0, 00-$TRACE_ID-$PARENT_ID-00, 00, 0",
        "0.0, $SAMPLED, 01, 1",
    )
    fun `a new trace follows the sample ratio and a remote trace keeps its sampled flag`(
        sampleRatio: Double,
        traceparent: String?,
        flags: String,
        written: Int,
    ) {
        telemetry(TelemetrySettings(sampleRatio = sampleRatio)).use { telemetry ->
            telemetry.span("hop", traceparent).use { expectThat(it.traceparent.takeLast(2)).isEqualTo(flags) }
        }
        expectThat(lines).hasSize(written)
    }

    @Test
    fun `the span of the next hop is a child of this one`() {
        telemetry().use { telemetry ->
            telemetry.span("entry").use { entry -> telemetry.span("agent", entry.traceparent).close() }
        }
        val (agent, entry) = lines.map { it.toJson() }
        expectThat(agent.text("traceId")).isEqualTo(entry.text("traceId"))
        expectThat(agent.text("parentSpanId")).isEqualTo(entry.text("spanId"))
    }

    @Test
    fun `spans beyond the queue are dropped and counted while the sink is blocked`() {
        val sinkBlocked = CountDownLatch(1)
        val unblockSink = CountDownLatch(1)
        val telemetry =
            telemetry(TelemetrySettings(maxQueuedSpans = 2)) {
                sinkBlocked.countDown()
                unblockSink.await()
                lines += it
            }
        telemetry.span("first").close()
        sinkBlocked.await()
        repeat(5) { telemetry.span("later").close() }
        unblockSink.countDown()
        telemetry.close()
        expectThat(lines).hasSize(3)
        expectThat(telemetry.registry.text())
            .contains("caraway_spans_total{outcome=\"dropped\"} 3.0")
            .contains("caraway_spans_total{outcome=\"written\"} 3.0")
    }

    @Test
    fun `a span that cannot be written is counted as dropped and the next one is written`() {
        val failures = ArrayDeque(listOf(IOException("no space left on device")))
        val telemetry =
            telemetry { line ->
                failures.removeFirstOrNull()?.let { throw it }
                lines += line
            }
        repeat(2) { telemetry.span("hop").close() }
        telemetry.close()
        expectThat(lines).hasSize(1)
        expectThat(telemetry.registry.text()).contains("caraway_spans_total{outcome=\"dropped\"} 1.0")
    }

    @Test
    fun `spans are appended to the configured file`(
        @TempDir folder: Path,
    ) {
        val file = folder.resolve("spans.jsonl")
        val settings = TelemetrySettings(SpanOutput.JsonLines(file))
        repeat(2) {
            Telemetry(NodeId("agent-1"), NodeRole.Agent, ZoneName("b"), settings).use { it.span("attempt").close() }
        }
        expectThat(file.readLines().map { it.toJson().text("role") }).isEqualTo(listOf("Agent", "Agent"))
    }

    @Test
    fun `the traceparent is propagated without a span output`() {
        Telemetry(NodeId("agent-1"), NodeRole.Agent, ZoneName("b")).use { telemetry ->
            telemetry.span("hop", SAMPLED).use { expectThat(it.traceparent).contains(TRACE_ID) }
        }
    }
}

internal fun String.toJson(): JsonObject = Json.parseToJsonElement(this).jsonObject

internal fun JsonObject.text(field: String): String = getValue(field).jsonPrimitive.content
