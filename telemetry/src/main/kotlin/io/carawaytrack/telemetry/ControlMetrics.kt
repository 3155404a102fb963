/*
 * What a control host reports: the replicated log, the holders of its configuration, the announced upstreams and the
 * ledger. What stands at the moment of a scrape is asked for then; what happens is counted.
 */
package io.carawaytrack.telemetry

import io.carawaytrack.model.Announcement
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.HolderStatus
import io.carawaytrack.model.NodeRole
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Tells how the replica of a control host stands. */
public data class LogStatus(
    val leading: Boolean = false,
    val term: Long = 0,
    val lastIndex: Long = 0,
    val commitIndex: Long = 0,
    val appliedIndex: Long = 0,
)

/** Tells how much the ledger holds. */
public data class LedgerStatus(
    val openIntents: Long = 0,
    val sessions: Long = 0,
)

/**
 * Supplies what a control host shows at each scrape.
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

/** Records what a control host does. */
public interface ControlMetrics {
    /** Takes in the configuration that is in force. */
    public fun inForce(configuration: Configuration)

    /** Records one sync of the log that made [entries] durable. */
    public fun synced(
        entries: Int,
        elapsedNanos: Long,
    )

    /** Counts a proposed command and the time to its reply; [failure] is null when it was committed. */
    public fun proposed(
        failure: ErrorKind?,
        execution: Execution,
        elapsedNanos: Long,
    )

    /** Counts a heartbeat from a process of [role]. */
    public fun heartbeat(role: NodeRole)

    /** Counts a change that an operator asked for; [failure] is null when it was accepted. */
    public fun changeEnded(failure: ErrorKind?)
}

/** Registers the metrics of a control host. */
public fun ControlMetrics(
    registry: PrometheusRegistry,
    sources: ControlSources = ControlSources(),
): ControlMetrics {
    watchLog(registry, sources.log)
    watchLedger(registry, sources.ledger)
    watchHolders(registry, sources)
    watchUpstreams(registry, sources.upstreams)
    return RegisteredControlMetrics(registry)
}

private fun watchLog(
    registry: PrometheusRegistry,
    log: () -> LogStatus,
) {
    MetricCatalog.leading.watchGauge(registry) { call(if (log().leading) 1.0 else 0.0) }
    MetricCatalog.term.watchGauge(registry) { call(log().term.toDouble()) }
    MetricCatalog.lastIndex.watchGauge(registry) { call(log().lastIndex.toDouble()) }
    MetricCatalog.commitIndex.watchGauge(registry) { call(log().commitIndex.toDouble()) }
    MetricCatalog.appliedIndex.watchGauge(registry) { call(log().appliedIndex.toDouble()) }
}

private fun watchLedger(
    registry: PrometheusRegistry,
    ledger: () -> LedgerStatus,
) {
    MetricCatalog.openIntents.watchGauge(registry) { call(ledger().openIntents.toDouble()) }
    MetricCatalog.sessions.watchGauge(registry) { call(ledger().sessions.toDouble()) }
}

private fun watchHolders(
    registry: PrometheusRegistry,
    sources: ControlSources,
) = MetricCatalog.holders.watchGauge(registry) {
    val number = sources.configurationNumber()
    sources
        .holders()
        .groupingBy { listOf(it.role.name, if (it.configurationNumber < number) "behind" else "current") }
        .eachCount()
        .forEach { (labels, count) -> tell(count.toDouble(), labels) }
}

private fun watchUpstreams(
    registry: PrometheusRegistry,
    upstreams: () -> List<Announcement>,
) = MetricCatalog.upstreams.watchGauge(registry) {
    upstreams()
        .groupingBy { listOf(it.zone.value, if (it.leaving) "leaving" else "serving") }
        .eachCount()
        .forEach { (labels, count) -> tell(count.toDouble(), labels) }
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
        proposals.labelValues(labelOf(failure), execution.name).inc()
        proposalSeconds.observe(elapsedNanos.nanosToSeconds())
    }

    override fun heartbeat(role: NodeRole) = heartbeats.labelValues(role.name).inc()

    override fun changeEnded(failure: ErrorKind?) = changes.labelValues(labelOf(failure)).inc()
}
