/*
 * Metrics of a control host: the replicated log, the holders of its configuration, the announced upstreams and the
 * ledger. Gauges read the current state at each scrape; events are counted as they occur.
 */
package io.carawaytrack.telemetry

import io.carawaytrack.model.Announcement
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.HolderStatus
import io.carawaytrack.model.NodeRole
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Describes the state of a control host's replica of the log. */
public data class LogStatus(
    val leading: Boolean = false,
    val term: Long = 0,
    val lastIndex: Long = 0,
    val commitIndex: Long = 0,
    val appliedIndex: Long = 0,
)

/** Describes the number of items in the ledger. */
public data class LedgerStatus(
    val openIntents: Long = 0,
    val sessions: Long = 0,
)

/**
 * Supplies the state that a control host reports at each scrape.
 *
 * @property holders processes that have reported a configuration; empty on a host that does not lead
 * @property upstreams announced upstreams; empty on a host that does not lead
 */
public data class ControlSources(
    val log: () -> LogStatus = { LogStatus() },
    val ledger: () -> LedgerStatus = { LedgerStatus() },
    val configurationNumber: () -> Long = { 0 },
    val holders: () -> List<HolderStatus> = { emptyList() },
    val upstreams: () -> List<Announcement> = { emptyList() },
)

/** Records the events of a control host. */
public interface ControlMetrics {
    /** Updates the metrics to [configuration], which is now in force. */
    public fun inForce(configuration: Configuration)

    /** Records a sync of the log that made [entries] durable. */
    public fun synced(
        entries: Int,
        elapsedNanos: Long,
    )

    /** Counts a proposed command and records the time to its reply; [failure] is null if it was committed. */
    public fun proposed(
        failure: ErrorKind?,
        execution: Execution,
        elapsedNanos: Long,
    )

    /** Counts a heartbeat from a process of [role]. */
    public fun heartbeat(role: NodeRole)

    /** Counts a configuration change requested by an operator; [failure] is null if it was accepted. */
    public fun changeEnded(failure: ErrorKind?)
}

/** Registers the metrics of a control host. */
public fun ControlMetrics(
    registry: PrometheusRegistry,
    sources: ControlSources = ControlSources(),
): ControlMetrics {
    registerLogGauges(registry, sources.log)
    registerLedgerGauges(registry, sources.ledger)
    registerHolderGauge(registry, sources)
    registerUpstreamGauge(registry, sources.upstreams)
    return RegisteredControlMetrics(registry)
}

private fun registerLogGauges(
    registry: PrometheusRegistry,
    log: () -> LogStatus,
) {
    MetricCatalog.leading.callbackGauge(registry) { call(if (log().leading) 1.0 else 0.0) }
    MetricCatalog.term.callbackGauge(registry) { call(log().term.toDouble()) }
    MetricCatalog.lastIndex.callbackGauge(registry) { call(log().lastIndex.toDouble()) }
    MetricCatalog.commitIndex.callbackGauge(registry) { call(log().commitIndex.toDouble()) }
    MetricCatalog.appliedIndex.callbackGauge(registry) { call(log().appliedIndex.toDouble()) }
}

private fun registerLedgerGauges(
    registry: PrometheusRegistry,
    ledger: () -> LedgerStatus,
) {
    MetricCatalog.openIntents.callbackGauge(registry) { call(ledger().openIntents.toDouble()) }
    MetricCatalog.sessions.callbackGauge(registry) { call(ledger().sessions.toDouble()) }
}

private fun registerHolderGauge(
    registry: PrometheusRegistry,
    sources: ControlSources,
) = MetricCatalog.holders.callbackGauge(registry) {
    val currentNumber = sources.configurationNumber()
    sources
        .holders()
        .groupingBy { listOf(it.role.name, if (it.configurationNumber < currentNumber) "behind" else "current") }
        .eachCount()
        .forEach { (labelValues, count) -> report(count.toDouble(), labelValues) }
}

private fun registerUpstreamGauge(
    registry: PrometheusRegistry,
    upstreams: () -> List<Announcement>,
) = MetricCatalog.upstreams.callbackGauge(registry) {
    upstreams()
        .groupingBy { listOf(it.zone.value, if (it.leaving) "leaving" else "serving") }
        .eachCount()
        .forEach { (labelValues, count) -> report(count.toDouble(), labelValues) }
}

private class RegisteredControlMetrics(
    registry: PrometheusRegistry,
) : ControlMetrics {
    private val configurationMetrics = ConfigurationMetrics(registry)
    private val syncSeconds = MetricCatalog.syncSeconds.histogram(registry)
    private val syncedEntries = MetricCatalog.syncedEntries.counter(registry)
    private val proposals = MetricCatalog.proposals.counter(registry)
    private val proposalSeconds = MetricCatalog.proposalSeconds.histogram(registry)
    private val heartbeats = MetricCatalog.heartbeats.counter(registry)
    private val changes = MetricCatalog.changes.counter(registry)

    override fun inForce(configuration: Configuration) = configurationMetrics.inForce(configuration)

    override fun synced(
        entries: Int,
        elapsedNanos: Long,
    ) {
        syncSeconds.observe(elapsedNanos.nanosToSeconds())
        syncedEntries.inc(entries.toLong())
    }

    override fun proposed(
        failure: ErrorKind?,
        execution: Execution,
        elapsedNanos: Long,
    ) {
        proposals.labelValues(kindLabelValue(failure), execution.name).inc()
        proposalSeconds.observe(elapsedNanos.nanosToSeconds())
    }

    override fun heartbeat(role: NodeRole) = heartbeats.labelValues(role.name).inc()

    override fun changeEnded(failure: ErrorKind?) = changes.labelValues(kindLabelValue(failure)).inc()
}
