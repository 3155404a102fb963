/*
 * Metrics that several roles share: the configuration in force, the lease, and the memory held for slow readers.
 */
package io.carawaytrack.telemetry

import io.carawaytrack.model.Configuration
import io.carawaytrack.model.VersionState
import io.prometheus.metrics.core.datapoints.GaugeDataPoint
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Shows which configuration a process holds. */
public interface ConfigurationMetrics {
    /** Takes in the configuration that is in force from now on. */
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
        rolloutPercent.replace(percentages(configuration))
        versionState.replace(states(configuration))
    }

    private fun percentages(configuration: Configuration) = configuration.rollouts.associate {
        listOf(it.name, it.to.toString(), it.phase.name) to it.percent.toDouble()
    }

    private fun states(configuration: Configuration): Map<List<String>, Double> {
        val serving = versionsOf(configuration).associateWith { VersionState.Serving }
        return (serving + configuration.versionStates).entries.associate { (version, state) ->
            listOf(version, state.name) to 1.0
        }
    }
}

/** Returns the versions that the pools of [configuration] name. */
internal fun versionsOf(configuration: Configuration): Set<String> = configuration.tables.pools
    .flatMap { it.members }
    .map { it.version.toString() }
    .toSet()

/** Sets exactly the series of [values] and removes all others. */
private fun Gauge.replace(values: Map<List<String>, Double>) {
    val find: (Array<String>) -> GaugeDataPoint = ::labelValues
    values.forEach { (labels, value) -> find(labels.toTypedArray()).set(value) }
    removeIf { it !in values }
}

/** Registers the gauge of the lease, which asks for [remainingMillis] at each scrape; so it also falls when cut off. */
public fun registerLeaseGauge(
    registry: PrometheusRegistry,
    remainingMillis: () -> Long,
) {
    MetricCatalog.leaseRemaining.watchGauge(registry) {
        call(remainingMillis().coerceAtLeast(0) / MILLIS_PER_SECOND)
    }
}

private const val MILLIS_PER_SECOND = 1e3

/** Shows the memory held for requests and answers, and what is done about readers that are too slow. */
public interface MemoryMetrics {
    /** Counts a pause of an upstream because its reader is slow. */
    public fun readerPaused()

    /** Notes that a paused upstream sends again, or that its stream is over. */
    public fun readerResumed()

    /** Counts a stream that was ended to free memory. */
    public fun readerEnded()
}

/** Registers the metrics of memory held; asks [heldBytes] at each scrape. */
public fun MemoryMetrics(
    registry: PrometheusRegistry,
    budgetBytes: Long,
    heldBytes: () -> Long,
): MemoryMetrics {
    MetricCatalog.heldBytes.watchGauge(registry) { call(heldBytes().toDouble()) }
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
