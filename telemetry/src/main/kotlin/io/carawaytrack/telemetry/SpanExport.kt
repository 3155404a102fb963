/*
 * The way of an ended span to its line of JSON. Ending a span only puts it into a bounded queue; one background thread
 * writes the lines, so a slow disk costs spans, which are counted, and never delays a request.
 */
package io.carawaytrack.telemetry

import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.ZoneName
import io.github.oshai.kotlinlogging.KotlinLogging
import io.opentelemetry.context.Context
import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.trace.ReadWriteSpan
import io.opentelemetry.sdk.trace.ReadableSpan
import io.opentelemetry.sdk.trace.SpanProcessor
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.SpanExporter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.io.IOException
import java.io.OutputStream
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.RejectedExecutionHandler
import java.util.concurrent.ThreadFactory
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** Names the process that spans and logs come from. */
internal data class Origin(
    val node: NodeId,
    val role: NodeRole,
    val zone: ZoneName,
)

/** Holds what one line of JSON tells of a span. */
@Serializable
internal data class SpanLine(
    val traceId: String,
    val spanId: String,
    val parentSpanId: String?,
    val name: String,
    val startUnixNanos: Long,
    val durationNanos: Long,
    val status: String,
    val node: String,
    val role: String,
    val availabilityZone: String,
    val attributes: Map<String, String>,
)

/** Writes each span as one line of JSON to [sink]. */
internal class JsonLineSpanExporter(
    private val origin: Origin,
    private val sink: (String) -> Unit,
) : SpanExporter {
    override fun export(spans: Collection<SpanData>): CompletableResultCode = try {
        spans.forEach { sink(Json.encodeToString(lineOf(it))) }
        CompletableResultCode.ofSuccess()
    } catch (failure: IOException) {
        CompletableResultCode.ofExceptionalFailure(failure)
    }

    override fun flush(): CompletableResultCode = CompletableResultCode.ofSuccess()

    override fun shutdown(): CompletableResultCode = try {
        (sink as? AutoCloseable)?.close()
        CompletableResultCode.ofSuccess()
    } catch (failure: IOException) {
        CompletableResultCode.ofExceptionalFailure(failure)
    }

    private fun lineOf(span: SpanData) = SpanLine(
        traceId = span.traceId,
        spanId = span.spanId,
        parentSpanId = span.parentSpanId.takeIf { span.parentSpanContext.isValid },
        name = span.name,
        startUnixNanos = span.startEpochNanos,
        durationNanos = span.endEpochNanos - span.startEpochNanos,
        status = span.status.statusCode.name,
        node = origin.node.value,
        role = origin.role.name,
        availabilityZone = origin.zone.value,
        attributes =
            span.attributes
                .asMap()
                .entries
                .associate { (key, value) -> key.key to value.toString() },
    )
}

/** Hands ended spans to [exporter] from one background thread, over a queue of [capacity] spans. */
internal class QueueingSpanProcessor(
    private val exporter: SpanExporter,
    capacity: Int,
    private val metrics: SpanMetrics,
) : SpanProcessor {
    private val threads = ThreadFactory { task -> Thread(task, "span-writer").apply { isDaemon = true } }
    private val onFullQueue = RejectedExecutionHandler { _, _ -> metrics.dropped() }
    private val writer =
        ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, ArrayBlockingQueue(capacity), threads, onFullQueue)

    private var failing = false

    override fun onStart(
        parentContext: Context,
        span: ReadWriteSpan,
    ): Unit = Unit

    override fun isStartRequired(): Boolean = false

    override fun onEnd(span: ReadableSpan) {
        if (span.spanContext.isSampled) writer.execute { write(span.toSpanData()) }
    }

    override fun isEndRequired(): Boolean = true

    override fun shutdown(): CompletableResultCode {
        writer.shutdown()
        val written = writer.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        if (!written) log.warn { "spans not written: expected an empty queue within $CLOSE_TIMEOUT_SECONDS s" }
        return exporter.shutdown()
    }

    private fun write(span: SpanData) {
        val result = exporter.export(listOf(span))
        if (result.isSuccess) metrics.written() else metrics.dropped()
        if (result.isSuccess == failing) tellChange(result.failureThrowable)
        failing = !result.isSuccess
    }

    private fun tellChange(failure: Throwable?) {
        if (failure == null) log.info { "spans are written again" } else log.warn(failure) { "spans cannot be written" }
    }

    private companion object {
        const val CLOSE_TIMEOUT_SECONDS = 5L
        val log = KotlinLogging.logger {}
    }
}

/** Appends lines to the file at [path], which is opened with the first line; it may be rotated by copy and truncate. */
internal class LineFile(
    private val path: Path,
) : (String) -> Unit,
    AutoCloseable {
    private var file: OutputStream? = null

    override fun invoke(line: String) {
        val open = file ?: open().also { file = it }
        open.write("$line\n".encodeToByteArray())
    }

    override fun close() {
        file?.close()
    }

    private fun open(): OutputStream = Files.newOutputStream(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND)
}

/** Returns a sink that passes each line to the logger `spans`. */
internal fun spanLog(): (String) -> Unit {
    val log = KotlinLogging.logger("spans")
    return { line -> log.info { line } }
}

/** Counts spans by what became of them. */
internal class SpanMetrics(
    registry: PrometheusRegistry,
) {
    private val spans = MetricCatalog.spans.counter(registry)

    fun written() = spans.labelValues("written").inc()

    fun dropped() = spans.labelValues("dropped").inc()
}
