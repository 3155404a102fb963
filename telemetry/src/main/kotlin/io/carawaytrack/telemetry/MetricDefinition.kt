/*
 * What a metric consists of: its name, type, labels and buckets, and the section of the reference page that lists it.
 */
package io.carawaytrack.telemetry

import io.carawaytrack.model.NodeRole

/** Describes the Prometheus type of a metric. */
public enum class MetricType {
    /** Only increases; resets to 0 when the process restarts. */
    Counter,

    /** Increases and decreases. */
    Gauge,

    /** Counts observations in buckets with fixed upper bounds. */
    Histogram,

    /** Holds the count and the sum of observations. */
    Summary,
}

/**
 * Defines a metric.
 *
 * @property name as exposed to Prometheus, with the unit as suffix
 * @property upperBounds upper bounds of a histogram's buckets, in the unit of the name
 */
public data class MetricDefinition(
    val name: String,
    val type: MetricType,
    val help: String,
    val labels: List<String> = emptyList(),
    val upperBounds: List<Double> = emptyList(),
)

/** Groups the metrics that the processes of [roles] report for one purpose. */
public data class MetricSection(
    val title: String,
    val roles: Set<NodeRole>,
    val metrics: List<MetricDefinition>,
)

internal fun counter(
    name: String,
    help: String,
    vararg labels: String,
) = MetricDefinition(name, MetricType.Counter, help, labels.asList())

internal fun gauge(
    name: String,
    help: String,
    vararg labels: String,
) = MetricDefinition(name, MetricType.Gauge, help, labels.asList())

internal fun summary(
    name: String,
    help: String,
    vararg labels: String,
) = MetricDefinition(name, MetricType.Summary, help, labels.asList())

internal fun histogram(
    name: String,
    help: String,
    upperBounds: List<Double>,
    vararg labels: String,
) = MetricDefinition(name, MetricType.Histogram, help, labels.asList(), upperBounds)
