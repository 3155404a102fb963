/*
 * Metrics of a host on the platform: counts and latencies of ended requests and attempts, and gauges that read the
 * host's view of upstreams and peers at each scrape.
 */
package io.carawaytrack.telemetry

import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.ZoneName
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit

/**
 * Describes a host's current view of its configuration, upstreams and peers, and its load. Other hosts may have a
 * different view.
 *
 * @property unreadTokens prompt tokens that engines have not read yet, by time-critical pool
 * @property enginePace mean momentary slowness of the engines, 1 means as usual, by time-critical pool
 * @property crossingShares share of the requests that may leave the zone, by pool that decides it
 * @property lastContactAgeMillis longest time, by pool, since an upstream last reported directly or through other hosts
 * @property responsiveVoters voters of the core that reply to this host; null unless it leads
 * @property unresponsiveVoters voters of the core that do not reply to this host; null unless it leads
 * @property duties null on a host without duties towards the platform
 */
public data class HostStatus(
    val configurationVersion: Long,
    val viewIndex: Long,
    val upstreams: Map<PoolName, Int>,
    val limitedUpstreams: Map<PoolName, Int>,
    val crossingShares: Map<PoolName, Double>,
    val lastContactAgeMillis: Map<PoolName, Long>,
    val peers: Int,
    val leading: Boolean,
    val responsiveVoters: Int?,
    val unresponsiveVoters: Int?,
    val unfinished: Int,
    val waiting: Int,
    val duties: HostDutyStatus? = null,
    val unreadTokens: Map<PoolName, Double> = emptyMap(),
    val enginePace: Map<PoolName, Double> = emptyMap(),
)

/**
 * Describes what a host with duties towards the platform does for them.
 *
 * @property token token of the grant; null unless the host holds the duties
 * @property unreportedUsageAgeMillis time since the end of the oldest unreported usage window; zero if there is none
 * @property orderedReplicas newest orders that the platform has accepted from this host
 */
public data class HostDutyStatus(
    val token: Long?,
    val unreportedUsageAgeMillis: Long,
    val failedCalls: Long,
    val orderedReplicas: Map<Pair<PoolName, ZoneName>, Int> = emptyMap(),
)

/** Records the requests and attempts of a host; [text] reads the current [HostStatus] and renders all metrics. */
public interface HostMetrics {
    /** Counts an ended request; [failure] is null for a complete answer, [firstByteMillis] if no byte was sent. */
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

    /** Counts a retry to [pool] for [reason] that the budget granted or denied. */
    public fun retryDecided(
        pool: PoolName,
        reason: String,
        granted: Boolean,
    )

    /** Metrics of the queues of pools whose callers compete. */
    public val queues: HostQueueMetrics

    /** Counts an attempt that left an unresponsive upstream of [pool] for [reason]. */
    public fun upstreamAbandoned(
        pool: PoolName,
        reason: String,
    )

    /** Counts an attempt that ended with an invalid response of an upstream of [pool]. */
    public fun responseRejected(
        pool: PoolName,
        fault: String,
    )

    /** Counts an answer of [model] that was kept only because the engines of [pool] were busy. */
    public fun answerKept(
        pool: PoolName,
        model: String,
    )

    /** Renders all metrics in the Prometheus text format. */
    public fun text(): ByteArray
}

/** Registers the metrics of a host; calls [status] at each scrape. */
public fun HostMetrics(
    registry: PrometheusRegistry,
    status: () -> HostStatus,
): HostMetrics = RegisteredHostMetrics(registry, status)

private val writer = PrometheusTextFormatWriter.create()

private class RegisteredHostMetrics(
    private val registry: PrometheusRegistry,
    private val status: () -> HostStatus,
) : HostMetrics {
    private val group = MetricGroup(registry)
    private val requests = group.counter(MetricCatalog.hostRequests)
    private val requestSeconds = group.histogram(MetricCatalog.hostRequestSeconds)
    private val firstByteSeconds = group.histogram(MetricCatalog.hostFirstByteSeconds)
    private val attempts = group.counter(MetricCatalog.hostAttempts)
    private val retries = group.counter(MetricCatalog.hostRetries)
    override val queues = HostQueueMetrics(registry)
    private val abandonedUpstreams = group.counter(HostLoadDefinitions.abandonedUpstreams)
    private val invalidResponses = group.counter(HostLoadDefinitions.invalidResponses)
    private val keptAnswers = group.counter(HostLoadDefinitions.keptAnswers)

    init {
        MetricCatalog.hostConfiguration.callbackGauge(registry) { call(status().configurationVersion.toDouble()) }
        MetricCatalog.hostViewIndex.callbackGauge(registry) { call(status().viewIndex.toDouble()) }
        MetricCatalog.hostUpstreams.callbackGauge(registry) {
            status().upstreams.forEach { (pool, count) -> call(count.toDouble(), pool.value) }
        }
        HostLoadDefinitions.limitedUpstreams.callbackGauge(registry) {
            status().limitedUpstreams.forEach { (pool, count) -> call(count.toDouble(), pool.value) }
        }
        HostLoadDefinitions.unreadTokens.callbackGauge(registry) {
            status().unreadTokens.forEach { (pool, tokens) -> call(tokens, pool.value) }
        }
        HostLoadDefinitions.enginePace.callbackGauge(registry) {
            status().enginePace.forEach { (pool, pace) -> call(pace, pool.value) }
        }
        HostLoadDefinitions.crossingShare.callbackGauge(registry) {
            status().crossingShares.forEach { (pool, share) -> call(share, pool.value) }
        }
        MetricCatalog.hostLastContactAge.callbackGauge(registry) {
            status().lastContactAgeMillis.forEach { (pool, millis) -> call(millisToSeconds(millis), pool.value) }
        }
        MetricCatalog.hostPeers.callbackGauge(registry) { call(status().peers.toDouble()) }
        MetricCatalog.hostLeading.callbackGauge(registry) { call(if (status().leading) 1.0 else 0.0) }
        MetricCatalog.hostVoters.callbackGauge(registry) {
            val current = status()
            current.responsiveVoters?.let { call(it.toDouble(), "responsive") }
            current.unresponsiveVoters?.let { call(it.toDouble(), "unresponsive") }
        }
        HostLoadDefinitions.unfinished.callbackGauge(registry) { call(status().unfinished.toDouble()) }
        HostLoadDefinitions.waiting.callbackGauge(registry) { call(status().waiting.toDouble()) }
        registerDuties()
    }

    private fun registerDuties() {
        HostLoadDefinitions.dutyToken.callbackGauge(registry) { status().duties?.token?.let { call(it.toDouble()) } }
        HostLoadDefinitions.unreportedUsageAge.callbackGauge(registry) {
            val duties = status().duties
            if (duties?.token != null) call(millisToSeconds(duties.unreportedUsageAgeMillis))
        }
        HostLoadDefinitions.replicaOrders.callbackGauge(registry) {
            status().duties?.orderedReplicas.orEmpty().forEach { (target, count) ->
                call(count.toDouble(), target.first.value, target.second.value)
            }
        }
        HostLoadDefinitions.dutyFailures.callbackCounter(registry) {
            status().duties?.let { call(it.failedCalls.toDouble()) }
        }
    }

    override fun requestEnded(
        organisation: OrganisationName?,
        route: String,
        failure: ErrorKind?,
        execution: Execution,
        elapsedMillis: Long,
        firstByteMillis: Long?,
    ) {
        requests.of(organisation?.value ?: UNKNOWN_LABEL_VALUE, route, kindLabelValue(failure), execution.name).inc()
        requestSeconds.of(route).observe(millisToSeconds(elapsedMillis))
        firstByteMillis?.let { firstByteSeconds.of(route).observe(millisToSeconds(it)) }
    }

    override fun attemptEnded(
        pool: PoolName,
        version: String,
        succeeded: Boolean,
    ) = attempts.of(pool.value, version, if (succeeded) "good" else "failed").inc()

    override fun retryDecided(
        pool: PoolName,
        reason: String,
        granted: Boolean,
    ) = retries.of(pool.value, reason, if (granted) "granted" else "denied").inc()

    override fun upstreamAbandoned(
        pool: PoolName,
        reason: String,
    ) = abandonedUpstreams.of(pool.value, reason).inc()

    override fun responseRejected(
        pool: PoolName,
        fault: String,
    ) = invalidResponses.of(pool.value, fault).inc()

    override fun answerKept(
        pool: PoolName,
        model: String,
    ) = keptAnswers.of(pool.value, model).inc()

    override fun text(): ByteArray = ByteArrayOutputStream().also { writer.write(it, registry.scrape()) }.toByteArray()
}

private fun millisToSeconds(millis: Long): Double = millis.toDouble() / TimeUnit.SECONDS.toMillis(1)
