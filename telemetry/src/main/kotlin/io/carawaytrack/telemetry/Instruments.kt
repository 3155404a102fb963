/*
 * Creates Prometheus instruments from metric definitions and bounds the number of time series per metric.
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

/** Value of the label `kind` for a success. */
internal const val NO_FAILURE_LABEL_VALUE = "none"

/** Replaces all label values beyond the limit. */
internal const val OTHER_LABEL_VALUE = "other"

/** Maximum number of distinct values of a label in one [MetricGroup]. */
internal const val DISTINCT_LABEL_VALUES_LIMIT = 200

private const val NANOS_PER_SECOND = 1e9

internal fun Long.nanosToSeconds(): Double = this / NANOS_PER_SECOND

internal fun kindLabelValue(kind: ErrorKind?): String = kind?.name ?: NO_FAILURE_LABEL_VALUE

internal fun MetricDefinition.counter(registry: PrometheusRegistry): Counter =
    Counter.builder().describedBy(this).register(registry)

internal fun MetricDefinition.gauge(registry: PrometheusRegistry): Gauge =
    Gauge.builder().describedBy(this).register(registry)

internal fun MetricDefinition.summary(registry: PrometheusRegistry): Summary =
    Summary.builder().describedBy(this).register(registry)

internal fun MetricDefinition.histogram(registry: PrometheusRegistry): Histogram {
    val builder = Histogram.builder().describedBy(this).classicOnly()
    // A function reference passes the array without the copy that a spread operator makes.
    val setUpperBounds: (DoubleArray) -> Histogram.Builder = builder::classicUpperBounds
    return setUpperBounds(upperBounds.toDoubleArray()).register(registry)
}

/** Registers a gauge that calls [read] at each scrape. */
internal fun MetricDefinition.callbackGauge(
    registry: PrometheusRegistry,
    read: GaugeWithCallback.Callback.() -> Unit,
) {
    GaugeWithCallback
        .builder()
        .describedBy(this)
        .callback { it.read() }
        .register(registry)
}

/** Reports [value] for the series with [labelValues]. */
internal fun GaugeWithCallback.Callback.report(
    value: Double,
    labelValues: List<String>,
) {
    val callWithArray: (Double, Array<String>) -> Unit = this::call
    callWithArray(value, labelValues.toTypedArray())
}

/** Registers a counter that calls [read] at each scrape. */
internal fun MetricDefinition.callbackCounter(
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
    val setLabelNames: (Array<String>) -> B = name(definition.name).help(definition.help)::labelNames
    return setLabelNames(definition.labels.toTypedArray())
}

/** Creates metrics whose label values come from outside the process, with a bounded number of values per label. */
internal class MetricGroup(
    private val registry: PrometheusRegistry,
    private val valuesLimit: Int = DISTINCT_LABEL_VALUES_LIMIT,
) {
    private val valuesByLabel = ConcurrentHashMap<String, MutableSet<String>>()
    private val metrics = mutableListOf<Pair<MetricDefinition, StatefulMetric<*, *>>>()

    fun counter(definition: MetricDefinition): Series<CounterDataPoint> =
        series(definition, definition.counter(registry))

    fun gauge(definition: MetricDefinition): Series<GaugeDataPoint> = series(definition, definition.gauge(registry))

    fun histogram(definition: MetricDefinition): Series<DistributionDataPoint> =
        series(definition, definition.histogram(registry))

    fun summary(definition: MetricDefinition): Series<DistributionDataPoint> =
        series(definition, definition.summary(registry))

    /** Removes the series whose [label] value is not in [retained], once more than half of the limit is in use. */
    fun removeStale(
        label: String,
        retained: Set<String>,
    ) {
        val values = valuesByLabel[label] ?: return
        if (values.size * 2 <= valuesLimit) return
        values.retainAll(retained)
        metrics.forEach { (definition, metric) ->
            val index = definition.labels.indexOf(label)
            if (index >= 0) metric.removeIf { it[index] !in retained && it[index] != OTHER_LABEL_VALUE }
        }
    }

    private fun <D : DataPoint> series(
        definition: MetricDefinition,
        metric: StatefulMetric<D, *>,
    ): Series<D> {
        metrics += definition to metric
        val findDataPoint: (Array<String>) -> D = metric::labelValues
        return Series { values -> findDataPoint(boundedValues(definition, values)) }
    }

    private fun boundedValues(
        definition: MetricDefinition,
        values: Array<out String>,
    ) = Array(values.size) { index -> boundedValue(definition.labels[index], values[index]) }

    private fun boundedValue(
        label: String,
        value: String,
    ): String {
        val values = valuesByLabel.computeIfAbsent(label) { ConcurrentHashMap.newKeySet() }
        return when {
            value in values -> value
            values.size >= valuesLimit -> OTHER_LABEL_VALUE
            else -> value.also(values::add)
        }
    }
}

/** Returns the data points of one metric by their label values. */
internal class Series<D : DataPoint>(
    private val findDataPoint: (Array<out String>) -> D,
) {
    fun of(vararg values: String): D = findDataPoint(values)
}
