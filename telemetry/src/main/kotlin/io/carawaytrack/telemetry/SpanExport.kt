/*
 * Export of ended spans as lines of JSON. Ending a span only adds it to a bounded queue, and one background thread
 * writes the lines: a slow disk causes spans to be dropped and counted, but never delays a request.
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

/** Identifies the process that emits spans and logs. */
internal data class Origin(
    val node: NodeId,
    val role: NodeRole,
    val zone: ZoneName,
)

/** Describes a span as it is written to one line of JSON. */
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
        spans.forEach { sink(Json.encodeToString(spanLine(it))) }
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

    private fun spanLine(span: SpanData) = SpanLine(
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

/** Passes ended spans to [exporter] on one background thread, through a queue of [capacity] spans. */
internal class QueueingSpanProcessor(
    private val exporter: SpanExporter,
    capacity: Int,
    private val metrics: SpanMetrics,
) : SpanProcessor {
    private val threadFactory = ThreadFactory { task -> Thread(task, "span-writer").apply { isDaemon = true } }
    private val countAsDropped = RejectedExecutionHandler { _, _ -> metrics.dropped() }
    private val writer =
        ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, ArrayBlockingQueue(capacity), threadFactory, countAsDropped)

    private var exportFailing = false

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
        if (!written) log.warn { "span queue not empty after $CLOSE_TIMEOUT_SECONDS s; remaining spans may be lost" }
        return exporter.shutdown()
    }

    private fun write(span: SpanData) {
        val result = exporter.export(listOf(span))
        if (result.isSuccess) metrics.written() else metrics.dropped()
        if (result.isSuccess == exportFailing) logTransition(result.failureThrowable)
        exportFailing = !result.isSuccess
    }

    private fun logTransition(failure: Throwable?) {
        if (failure == null) log.info { "span export recovered" } else log.warn(failure) { "span export failed" }
    }

    private companion object {
        const val CLOSE_TIMEOUT_SECONDS = 5L
        val log = KotlinLogging.logger {}
    }
}

/** Appends lines to the file at [path], opened on the first write; log rotation may copy and truncate the file. */
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

/** Returns a sink that writes each line to the logger `spans`. */
internal fun spanLogSink(): (String) -> Unit {
    val log = KotlinLogging.logger("spans")
    return { line -> log.info { line } }
}

/** Counts ended spans by outcome: written or dropped. */
internal class SpanMetrics(
    registry: PrometheusRegistry,
) {
    private val spans = MetricCatalog.spans.counter(registry)

    fun written() = spans.labelValues("written").inc()

    fun dropped() = spans.labelValues("dropped").inc()
}
