/*
 * What a process tells about itself: Prometheus metrics, a span for each hop of a request, JSON-line logs, and the
 * port on which an operator's tools ask for health and metrics.
 */
package io.carawaytrack.telemetry

import io.carawaytrack.model.ErrorKind
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Gives access to the metrics and spans of one process. */
public interface Telemetry : AutoCloseable {
    /** Registry that the metrics endpoint shows. */
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

    /** Adds an attribute. */
    public fun attribute(
        name: String,
        value: String,
    )

    /** Marks the hop as failed. */
    public fun fail(kind: ErrorKind)
}
