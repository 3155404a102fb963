/*
 * Metrics of an agent: admission to its upstream, and the outcome and latency of admitted attempts.
 */
package io.carawaytrack.telemetry

import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.UpstreamLoad
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Describes an ended attempt that the upstream received; [failure] is null for a complete answer. */
public data class UpstreamAttemptEnd(
    val version: ModelVersion,
    val failure: ErrorKind?,
    val execution: Execution,
    val elapsedNanos: Long,
)

/** Records the events of an agent. */
public interface AgentMetrics {
    /** Updates the metrics to [configuration], which is now in force, and removes the series of versions it lacks. */
    public fun inForce(configuration: Configuration)

    /** Counts an attempt that was refused before it reached the upstream. */
    public fun refused(kind: ErrorKind)

    /** Records the time to the first byte of the upstream's answer. */
    public fun firstByte(
        version: ModelVersion,
        elapsedNanos: Long,
    )

    /** Counts an ended attempt and records its latency. */
    public fun attemptEnded(end: UpstreamAttemptEnd)

    /** Counts a slow start after a crash of the upstream. */
    public fun slowStarted()

    /** Counts a request that was refused because it is quarantined. */
    public fun quarantined()
}

/** Registers the metrics of an agent; calls [load] at each scrape. */
public fun AgentMetrics(
    registry: PrometheusRegistry,
    load: () -> UpstreamLoad,
): AgentMetrics {
    MetricCatalog.permits.callbackGauge(registry) { call(load().permits.toDouble()) }
    MetricCatalog.running.callbackGauge(registry) { call(load().running.toDouble()) }
    MetricCatalog.queuedTokens.callbackGauge(registry) { call(load().queuedTokens.toDouble()) }
    return RegisteredAgentMetrics(registry)
}

private class RegisteredAgentMetrics(
    registry: PrometheusRegistry,
) : AgentMetrics {
    private val configurationMetrics = ConfigurationMetrics(registry)
    private val group = MetricGroup(registry)
    private val refusals = group.counter(MetricCatalog.refusals)
    private val attempts = group.counter(MetricCatalog.agentAttempts)
    private val attemptSeconds = group.histogram(MetricCatalog.agentAttemptSeconds)
    private val firstByteSeconds = group.histogram(MetricCatalog.agentFirstByteSeconds)
    private val slowStarts = MetricCatalog.slowStarts.counter(registry)
    private val quarantines = MetricCatalog.quarantines.counter(registry)

    override fun inForce(configuration: Configuration) {
        configurationMetrics.inForce(configuration)
        group.removeStale(VERSION_LABEL, versionsOf(configuration))
    }

    override fun refused(kind: ErrorKind) = refusals.of(kind.name).inc()

    override fun firstByte(
        version: ModelVersion,
        elapsedNanos: Long,
    ) = firstByteSeconds.of(version.toString()).observe(elapsedNanos.nanosToSeconds())

    override fun attemptEnded(end: UpstreamAttemptEnd) {
        val version = end.version.toString()
        attempts.of(version, kindLabelValue(end.failure), end.execution.name).inc()
        attemptSeconds.of(version).observe(end.elapsedNanos.nanosToSeconds())
    }

    override fun slowStarted() = slowStarts.inc()

    override fun quarantined() = quarantines.inc()
}
