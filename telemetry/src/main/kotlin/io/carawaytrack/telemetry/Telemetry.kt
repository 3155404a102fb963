/*
 * Observability of a process: Prometheus metrics, a span for each hop of a request, JSON-line logs, and the port that
 * serves health checks and metrics. This file holds the metrics registry and the spans. Spans are created by the
 * OpenTelemetry SDK and linked across processes by the W3C `traceparent` header.
 */
package io.carawaytrack.telemetry

import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.ZoneName
import io.opentelemetry.api.common.AttributeKey
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.opentelemetry.context.propagation.TextMapSetter
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.SpanLimits
import io.opentelemetry.sdk.trace.samplers.Sampler
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.nio.file.Path

/** Provides the metrics registry and the spans of one process. */
public interface Telemetry : AutoCloseable {
    /** Registry that the metrics endpoint exposes. */
    public val registry: PrometheusRegistry

    /** Starts the span of one hop as a child of the W3C [traceparent], or as the root of a new trace. */
    public fun span(
        name: String,
        traceparent: String? = null,
        attributes: Map<String, String> = emptyMap(),
    ): HopSpan
}

/** Records one hop; closing it ends the span. */
public interface HopSpan : AutoCloseable {
    /** Value of the `traceparent` header for the next hop. */
    public val traceparent: String

    public fun attribute(
        name: String,
        value: String,
    )

    /** Sets the span status to error, with [kind] as the `error.type` attribute. */
    public fun fail(kind: ErrorKind)
}

/** Selects the destination of ended spans. */
public sealed interface SpanOutput {
    /** Writes no spans; `traceparent` is still propagated. */
    public data object None : SpanOutput

    /** Writes each span to the logger `spans`. */
    public data object Log : SpanOutput

    /** Appends each span as one line of JSON to the file at [path]. */
    public data class JsonLines(
        val path: Path,
    ) : SpanOutput
}

/**
 * Configures which spans are recorded and where they are written.
 *
 * @property sampleRatio fraction of new traces that are recorded, 0 to 1; a trace started by another process keeps its
 * sampling decision
 * @property maxQueuedSpans maximum number of ended spans that wait to be written; further spans are dropped and counted
 */
public data class TelemetrySettings(
    val spans: SpanOutput = SpanOutput.None,
    val sampleRatio: Double = 1.0,
    val maxQueuedSpans: Int = 2_048,
)

/** Creates the telemetry of the process [node], with a registry of its own that includes the process metrics. */
public fun Telemetry(
    node: NodeId,
    role: NodeRole,
    zone: ZoneName,
    settings: TelemetrySettings = TelemetrySettings(),
): Telemetry = when (val output = settings.spans) {
    SpanOutput.None -> Telemetry(node, role, zone, settings, sink = null)
    SpanOutput.Log -> Telemetry(node, role, zone, settings, sink = spanLogSink())
    is SpanOutput.JsonLines -> Telemetry(node, role, zone, settings, sink = LineFile(output.path))
}

/** Creates telemetry that writes each span as a line of JSON to [sink] on one background thread; null writes none. */
public fun Telemetry(
    node: NodeId,
    role: NodeRole,
    zone: ZoneName,
    settings: TelemetrySettings,
    sink: ((String) -> Unit)?,
): Telemetry {
    val registry = PrometheusRegistry()
    registerProcessMetrics(registry)
    val provider =
        SdkTracerProvider
            .builder()
            .setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(settings.sampleRatio)))
            .setSpanLimits(spanLimits)
    if (sink != null) {
        val exporter = JsonLineSpanExporter(Origin(node, role, zone), sink)
        provider.addSpanProcessor(QueueingSpanProcessor(exporter, settings.maxQueuedSpans, SpanMetrics(registry)))
    }
    return SdkTelemetry(registry, provider.build())
}

private const val MAX_ATTRIBUTES_PER_SPAN = 32
private const val MAX_ATTRIBUTE_VALUE_CHARS = 1_024
private const val TRACEPARENT_HEADER = "traceparent"
private const val INSTRUMENTATION_SCOPE = "io.carawaytrack"
private val errorTypeKey = AttributeKey.stringKey("error.type")

private val spanLimits =
    SpanLimits
        .builder()
        .setMaxNumberOfAttributes(MAX_ATTRIBUTES_PER_SPAN)
        .setMaxAttributeValueLength(MAX_ATTRIBUTE_VALUE_CHARS)
        .build()

private class SdkTelemetry(
    override val registry: PrometheusRegistry,
    private val provider: SdkTracerProvider,
) : Telemetry {
    private val tracer = provider.get(INSTRUMENTATION_SCOPE)

    override fun span(
        name: String,
        traceparent: String?,
        attributes: Map<String, String>,
    ): HopSpan {
        val builder = tracer.spanBuilder(name).setParent(parentContext(traceparent))
        attributes.forEach { (key, value) -> builder.setAttribute(key, value) }
        return SdkHopSpan(builder.startSpan())
    }

    override fun close() = provider.close()
}

private class SdkHopSpan(
    private val span: Span,
) : HopSpan {
    override val traceparent: String by lazy { renderTraceparent(span) }

    override fun attribute(
        name: String,
        value: String,
    ) {
        span.setAttribute(name, value)
    }

    override fun fail(kind: ErrorKind) {
        span.setStatus(StatusCode.ERROR, kind.explanation).setAttribute(errorTypeKey, kind.name)
    }

    override fun close() = span.end()
}

/** Returns the context of [traceparent], or the root context when it is missing or malformed. */
private fun parentContext(traceparent: String?): Context =
    W3CTraceContextPropagator.getInstance().extract(Context.root(), traceparent, TraceparentGetter)

private fun renderTraceparent(span: Span): String {
    var rendered = ""
    val setter = TextMapSetter<Unit> { _, name, value -> if (name == TRACEPARENT_HEADER) rendered = value }
    W3CTraceContextPropagator.getInstance().inject(Context.root().with(span), Unit, setter)
    return rendered
}

private object TraceparentGetter : TextMapGetter<String> {
    override fun get(
        carrier: String?,
        key: String,
    ): String? = carrier.takeIf { key == TRACEPARENT_HEADER }
}
