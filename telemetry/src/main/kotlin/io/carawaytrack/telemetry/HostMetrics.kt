/*
 * What a host on the platform reports: its requests and attempts as they end, and at each scrape what it believes of
 * its fleet.
 */
package io.carawaytrack.telemetry

import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.PoolName
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit

/**
 * Describes what a host believes at a moment.
 *
 * @property lastContactAgeMillis longest time since an upstream of the pool was heard
 */
public data class HostStatus(
    val configurationVersion: Long,
    val viewIndex: Long,
    val upstreams: Map<PoolName, Int>,
    val lastContactAgeMillis: Map<PoolName, Long>,
    val peers: Int,
    val leading: Boolean,
    val unfinished: Int,
    val waiting: Int,
)

/** Records what a host does; [text] reads [HostStatus] and renders all metrics. */
public interface HostMetrics {
    /** Counts an ended request; [failure] is null for a complete answer, [firstByteMillis] where none came. */
    public fun requestEnded(
        organisation: OrganisationName?,
        route: String,
        failure: ErrorKind?,
        execution: Execution,
        elapsedMillis: Long,
        firstByteMillis: Long?,
    )

    /** Counts an ended attempt on an upstream of [pool] that runs [version]. */
    public fun attemptEnded(
        pool: PoolName,
        version: String,
        succeeded: Boolean,
    )

    /** Renders all metrics in Prometheus' text format. */
    public fun text(): ByteArray
}

/** Registers the metrics of a host, which asks [beliefs] at each scrape. */
public fun HostMetrics(
    registry: PrometheusRegistry,
    beliefs: () -> HostStatus,
): HostMetrics = RegisteredHostMetrics(registry, beliefs)

private val writer = PrometheusTextFormatWriter.create()

private class RegisteredHostMetrics(
    private val registry: PrometheusRegistry,
    private val beliefs: () -> HostStatus,
) : HostMetrics {
    private val group = MetricGroup(registry)
    private val requests = group.counter(MetricCatalog.hostRequests)
    private val requestSeconds = group.histogram(MetricCatalog.hostRequestSeconds)
    private val firstByteSeconds = group.histogram(MetricCatalog.hostFirstByteSeconds)
    private val attempts = group.counter(MetricCatalog.hostAttempts)

    init {
        MetricCatalog.hostConfiguration.watchGauge(registry) { call(beliefs().configurationVersion.toDouble()) }
        MetricCatalog.hostViewIndex.watchGauge(registry) { call(beliefs().viewIndex.toDouble()) }
        MetricCatalog.hostUpstreams.watchGauge(registry) {
            beliefs().upstreams.forEach { (pool, count) -> call(count.toDouble(), pool.value) }
        }
        MetricCatalog.hostSilence.watchGauge(registry) {
            beliefs().lastContactAgeMillis.forEach { (pool, millis) -> call(seconds(millis), pool.value) }
        }
        MetricCatalog.hostPeers.watchGauge(registry) { call(beliefs().peers.toDouble()) }
        MetricCatalog.hostLeading.watchGauge(registry) { call(if (beliefs().leading) 1.0 else 0.0) }
        MetricCatalog.hostUnfinished.watchGauge(registry) { call(beliefs().unfinished.toDouble()) }
        MetricCatalog.hostWaiting.watchGauge(registry) { call(beliefs().waiting.toDouble()) }
    }

    override fun requestEnded(
        organisation: OrganisationName?,
        route: String,
        failure: ErrorKind?,
        execution: Execution,
        elapsedMillis: Long,
        firstByteMillis: Long?,
    ) {
        requests.of(organisation?.value ?: UNKNOWN_LABEL_VALUE, route, labelOf(failure), execution.name).inc()
        requestSeconds.of(route).observe(seconds(elapsedMillis))
        firstByteMillis?.let { firstByteSeconds.of(route).observe(seconds(it)) }
    }

    override fun attemptEnded(
        pool: PoolName,
        version: String,
        succeeded: Boolean,
    ) = attempts.of(pool.value, version, if (succeeded) "good" else "failed").inc()

    override fun text(): ByteArray = ByteArrayOutputStream().also { writer.write(it, registry.scrape()) }.toByteArray()
}

private fun seconds(millis: Long): Double = millis.toDouble() / TimeUnit.SECONDS.toMillis(1)
