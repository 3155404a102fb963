/*
 * From a metric definition to the instrument that records it, and the bound on how many series a metric may have.
 */
package io.carawaytrack.telemetry

import io.carawaytrack.model.ErrorKind
import io.prometheus.metrics.core.datapoints.CounterDataPoint
import io.prometheus.metrics.core.datapoints.DataPoint
import io.prometheus.metrics.core.datapoints.DistributionDataPoint
import io.prometheus.metrics.core.datapoints.GaugeDataPoint
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.core.metrics.MetricWithFixedMetadata
import io.prometheus.metrics.core.metrics.StatefulMetric
import io.prometheus.metrics.core.metrics.Summary
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.util.concurrent.ConcurrentHashMap

/** Value of the label `kind` where nothing failed. */
internal const val NO_FAILURE = "none"

/** Value that stands for all values of a label beyond its limit. */
internal const val OTHER_LABEL = "other"

/** Distinct values that a label may have in one group of metrics. */
internal const val DISTINCT_VALUES_LIMIT = 200

private const val NANOS_PER_SECOND = 1e9

internal fun Long.nanosToSeconds(): Double = this / NANOS_PER_SECOND

internal fun labelOf(kind: ErrorKind?): String = kind?.name ?: NO_FAILURE

internal fun MetricDefinition.counter(registry: PrometheusRegistry): Counter =
    Counter.builder().describedBy(this).register(registry)

internal fun MetricDefinition.gauge(registry: PrometheusRegistry): Gauge =
    Gauge.builder().describedBy(this).register(registry)

internal fun MetricDefinition.summary(registry: PrometheusRegistry): Summary =
    Summary.builder().describedBy(this).register(registry)

internal fun MetricDefinition.histogram(registry: PrometheusRegistry): Histogram {
    val builder = Histogram.builder().describedBy(this).classicOnly()
    // A reference passes an array on as it is, where a spread would copy it.
    val bounded: (DoubleArray) -> Histogram.Builder = builder::classicUpperBounds
    return bounded(upperBounds.toDoubleArray()).register(registry)
}

/** Registers a gauge that asks [read] at each scrape. */
internal fun MetricDefinition.watchGauge(
    registry: PrometheusRegistry,
    read: GaugeWithCallback.Callback.() -> Unit,
) {
    GaugeWithCallback
        .builder()
        .describedBy(this)
        .callback { it.read() }
        .register(registry)
}

/** Tells the value of the series with [labels]. */
internal fun GaugeWithCallback.Callback.tell(
    value: Double,
    labels: List<String>,
) {
    val tell: (Double, Array<String>) -> Unit = this::call
    tell(value, labels.toTypedArray())
}

/** Registers a counter that asks [read] at each scrape. */
internal fun MetricDefinition.watchCounter(
    registry: PrometheusRegistry,
    read: CounterWithCallback.Callback.() -> Unit,
) {
    CounterWithCallback
        .builder()
        .describedBy(this)
        .callback { it.read() }
        .register(registry)
}

private fun <B : MetricWithFixedMetadata.Builder<B, *>> B.describedBy(definition: MetricDefinition): B {
    val labelled: (Array<String>) -> B = name(definition.name).help(definition.help)::labelNames
    return labelled(definition.labels.toTypedArray())
}

/** Creates metrics whose labels take values from outside, each label with a bounded number of them. */
internal class MetricGroup(
    private val registry: PrometheusRegistry,
    private val limit: Int = DISTINCT_VALUES_LIMIT,
) {
    private val known = ConcurrentHashMap<String, MutableSet<String>>()
    private val metrics = mutableListOf<Pair<MetricDefinition, StatefulMetric<*, *>>>()

    fun counter(definition: MetricDefinition): Series<CounterDataPoint> =
        series(definition, definition.counter(registry))

    fun gauge(definition: MetricDefinition): Series<GaugeDataPoint> = series(definition, definition.gauge(registry))

    fun histogram(definition: MetricDefinition): Series<DistributionDataPoint> =
        series(definition, definition.histogram(registry))

    fun summary(definition: MetricDefinition): Series<DistributionDataPoint> =
        series(definition, definition.summary(registry))

    /** Removes the series whose [label] has a value outside [kept], once half of the values allowed are in use. */
    fun forget(
        label: String,
        kept: Set<String>,
    ) {
        val values = known[label] ?: return
        if (values.size * 2 <= limit) return
        values.retainAll(kept)
        metrics.forEach { (definition, metric) ->
            val at = definition.labels.indexOf(label)
            if (at >= 0) metric.removeIf { it[at] !in kept && it[at] != OTHER_LABEL }
        }
    }

    private fun <D : DataPoint> series(
        definition: MetricDefinition,
        metric: StatefulMetric<D, *>,
    ): Series<D> {
        metrics += definition to metric
        val find: (Array<String>) -> D = metric::labelValues
        return Series { values -> find(bounded(definition, values)) }
    }

    private fun bounded(
        definition: MetricDefinition,
        values: Array<out String>,
    ) = Array(values.size) { at -> bounded(definition.labels[at], values[at]) }

    private fun bounded(
        label: String,
        value: String,
    ): String {
        val values = known.computeIfAbsent(label) { ConcurrentHashMap.newKeySet() }
        return when {
            value in values -> value
            values.size >= limit -> OTHER_LABEL
            else -> value.also(values::add)
        }
    }
}

/** Finds the series of one metric by its label values. */
internal class Series<D : DataPoint>(
    private val find: (Array<out String>) -> D,
) {
    fun of(vararg values: String): D = find(values)
}
