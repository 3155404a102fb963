/*
 * Metrics of a host's queues of pools whose callers compete: which organisation gets how much, and which one waits.
 */
package io.carawaytrack.telemetry

import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.PoolName
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.util.concurrent.TimeUnit

private const val PLACED = "placed"

/** Definitions of the metrics of queues. */
internal object HostQueueDefinitions {
    /** Finer near the limits of short calls, whose deadline is 0.645 s. */
    private val waitBoundsSeconds = listOf(0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 1.0, 2.0, 5.0)

    val waitSeconds =
        histogram(
            "caraway_host_queue_wait_seconds",
            "Time that requests waited in the queue of a pool whose callers compete, until sent or refused.",
            waitBoundsSeconds,
            "pool",
        )
    val exits =
        counter(
            "caraway_host_queue_exits_total",
            "Requests that left the queue of a pool whose callers compete: placed, or the reason of the refusal.",
            "pool",
            ORGANISATION_LABEL,
            "outcome",
        )
    val admittedWork =
        counter(
            "caraway_host_admitted_work_total",
            "Work sent to a pool whose callers compete: prompt tokens weighed by model, or calls.",
            "pool",
            ORGANISATION_LABEL,
        )
}

/** Records what happens to requests in the queues of a host. */
public class HostQueueMetrics(
    registry: PrometheusRegistry,
) {
    private val group = MetricGroup(registry)
    private val waitSeconds = group.histogram(HostQueueDefinitions.waitSeconds)
    private val exits = group.counter(HostQueueDefinitions.exits)
    private val admittedWork = group.counter(HostQueueDefinitions.admittedWork)

    /** Counts a request that was sent to an upstream with this amount of [work], or refused because of [refusal]. */
    public fun queueLeft(
        pool: PoolName,
        organisation: OrganisationName?,
        refusal: String?,
        work: Double,
        waitedMillis: Long,
    ) {
        val name = organisation?.value ?: UNKNOWN_LABEL_VALUE
        waitSeconds.of(pool.value).observe(waitedMillis.toDouble() / TimeUnit.SECONDS.toMillis(1))
        exits.of(pool.value, name, refusal ?: PLACED).inc()
        if (refusal == null) admittedWork.of(pool.value, name).inc(work)
    }
}
