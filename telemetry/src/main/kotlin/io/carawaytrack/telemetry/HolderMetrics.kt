/*
 * Metrics shared by several roles: the configuration in force, the lease, and the memory held for slow readers.
 */
package io.carawaytrack.telemetry

import io.carawaytrack.model.Configuration
import io.carawaytrack.model.VersionState
import io.prometheus.metrics.core.datapoints.GaugeDataPoint
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Reports the configuration of a process. */
public interface ConfigurationMetrics {
    /** Updates the metrics to [configuration], which is now in force. */
    public fun inForce(configuration: Configuration)
}

/** Registers the metrics of the configuration in force. */
public fun ConfigurationMetrics(registry: PrometheusRegistry): ConfigurationMetrics =
    RegisteredConfigurationMetrics(registry)

private class RegisteredConfigurationMetrics(
    registry: PrometheusRegistry,
) : ConfigurationMetrics {
    private val number = MetricCatalog.configurationNumber.gauge(registry)
    private val zoneOut = MetricCatalog.zoneOut.gauge(registry)
    private val rolloutPercent = MetricCatalog.rolloutPercent.gauge(registry)
    private val versionState = MetricCatalog.versionState.gauge(registry)

    override fun inForce(configuration: Configuration) {
        number.set(configuration.number.toDouble())
        zoneOut.replace(configuration.zonesOut.associate { listOf(it.value) to 1.0 })
        rolloutPercent.replace(percentByRollout(configuration))
        versionState.replace(stateByVersion(configuration))
    }

    private fun percentByRollout(configuration: Configuration) = configuration.rollouts.associate {
        listOf(it.name, it.to.toString(), it.phase.name) to it.percent.toDouble()
    }

    private fun stateByVersion(configuration: Configuration): Map<List<String>, Double> {
        val servingByDefault = versionsOf(configuration).associateWith { VersionState.Serving }
        return (servingByDefault + configuration.versionStates).entries.associate { (version, state) ->
            listOf(version, state.name) to 1.0
        }
    }
}

/** Returns the versions of all pool members in [configuration]. */
internal fun versionsOf(configuration: Configuration): Set<String> = configuration.tables.pools
    .flatMap { it.members }
    .map { it.version.toString() }
    .toSet()

/** Sets the series in [values] and removes all others. */
private fun Gauge.replace(values: Map<List<String>, Double>) {
    val findDataPoint: (Array<String>) -> GaugeDataPoint = ::labelValues
    values.forEach { (labelValues, value) -> findDataPoint(labelValues.toTypedArray()).set(value) }
    removeIf { it !in values }
}

/** Registers the lease gauge; calls [remainingMillis] at each scrape, so the value also falls without a connection. */
public fun registerLeaseGauge(
    registry: PrometheusRegistry,
    remainingMillis: () -> Long,
) {
    MetricCatalog.leaseRemaining.callbackGauge(registry) {
        call(remainingMillis().coerceAtLeast(0) / MILLIS_PER_SECOND)
    }
}

private const val MILLIS_PER_SECOND = 1e3

/** Reports the memory held for requests and answers, and the measures taken against slow readers. */
public interface MemoryMetrics {
    /** Counts a pause of an upstream whose reader is slow. */
    public fun readerPaused()

    /** Decrements the number of paused upstreams when one resumes or its stream ends. */
    public fun readerResumed()

    /** Counts a stream that was ended to free memory. */
    public fun readerEnded()
}

/** Registers the metrics of held memory; calls [heldBytes] at each scrape. */
public fun MemoryMetrics(
    registry: PrometheusRegistry,
    budgetBytes: Long,
    heldBytes: () -> Long,
): MemoryMetrics {
    MetricCatalog.heldBytes.callbackGauge(registry) { call(heldBytes().toDouble()) }
    MetricCatalog.heldBudget.gauge(registry).set(budgetBytes.toDouble())
    return RegisteredMemoryMetrics(registry)
}

private class RegisteredMemoryMetrics(
    registry: PrometheusRegistry,
) : MemoryMetrics {
    private val paused = MetricCatalog.readersPaused.gauge(registry)
    private val pauses = MetricCatalog.readerPauses.counter(registry)
    private val ended = MetricCatalog.readersEnded.counter(registry)

    override fun readerPaused() {
        paused.inc()
        pauses.inc()
    }

    override fun readerResumed() = paused.dec()

    override fun readerEnded() = ended.inc()
}
