/*
 * Measures of a run, computed from the outcomes of its requests.
 */
package io.carawaytrack.replay

import io.carawaytrack.model.ServiceKind
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** Median and 99th percentile of a distribution, in milliseconds. */
@Serializable
public data class Quantiles(
    val p50Millis: Long,
    val p99Millis: Long,
)

/**
 * Measures of the answered requests of one route.
 *
 * @property meanQuality mean true quality of the answers, of which ratings are only noisy estimates
 */
@Serializable
public data class RouteMeasures(
    val route: String,
    val requests: Int,
    val targetQuality: Double,
    val meanQuality: Double,
    val meanCost: Double,
)

/**
 * Measures of one run.
 *
 * @property cost mean cost of an answered model request
 * @property smallOrganisationsUnserved model requests of small organisations that were refused or failed
 * @property fastReaders latency of answered model requests whose callers read the answer without delay
 * @property fastReadersUnserved model requests of such callers that were refused or failed
 * @property exposed requests that completed on a degraded version
 * @property rejectedByAgents requests that agents rejected because no permit was free
 * @property coldOverloads times that a cold engine exceeded its stream limit
 * @property peakUtilization highest utilization of an upstream: processed tokens relative to its maximum throughput,
 *   over the complete run
 */
@Serializable
public data class Measures(
    val policy: String,
    val requests: Int,
    val refused: Int,
    val failed: Int,
    val cost: Double,
    val latency: Quantiles,
    val firstToken: Quantiles,
    val smallOrganisations: Quantiles,
    val smallOrganisationsUnserved: Int,
    val fastReaders: Quantiles,
    val fastReadersUnserved: Int,
    val exposed: Int,
    @SerialName("refusedAtGate") val rejectedByAgents: Int,
    @SerialName("tippedOver") val coldOverloads: Int,
    @SerialName("busyShare") val peakUtilization: Double,
    val routes: List<RouteMeasures>,
) {
    /** Whether the mean true quality of every route reaches its target. */
    val qualityMet: Boolean get() = routes.all { it.meanQuality >= it.targetQuality }
}

internal fun measure(run: RunResult): Measures {
    val spec = specOf(run.trace.header.deployment)
    val models = spec.traffic.map { it.route }.filter { it.kind == ServiceKind.Model }
    val modelNames = models.map { it.name }.toSet()
    val outcomes = run.outcomes.filter { it.request.route in modelNames }
    val answered = outcomes.filter { it.status == OutcomeStatus.Answered }
    return Measures(
        policy = run.policy,
        requests = run.outcomes.size,
        refused = run.outcomes.count { it.status == OutcomeStatus.Refused },
        failed = run.outcomes.count { it.status == OutcomeStatus.Failed },
        cost = answered.meanOf { it.cost },
        latency = quantiles(answered) { it.latencyMillis },
        firstToken = quantiles(answered) { it.firstTokenMillis },
        smallOrganisations = quantiles(answered.filter { isSmall(it.request.organisation) }) { it.latencyMillis },
        smallOrganisationsUnserved = outcomes.unserved { isSmall(it.organisation) },
        fastReadersUnserved = outcomes.unserved { it.readMillis == 0L },
        fastReaders = quantiles(answered.filter { it.request.readMillis == 0L }) { it.latencyMillis },
        exposed = run.outcomes.count { it.exposed },
        rejectedByAgents = run.rejectedByAgents,
        coldOverloads = run.coldOverloads,
        peakUtilization = peakUtilization(run, spec),
        routes =
            models.map { route ->
                val routeOutcomes = answered.filter { it.request.route == route.name }
                RouteMeasures(
                    route.name,
                    routeOutcomes.size,
                    route.qualityTarget,
                    routeOutcomes.meanOf { it.quality },
                    routeOutcomes.meanOf { it.cost },
                )
            },
    )
}

internal fun quantiles(
    outcomes: List<Outcome>,
    millis: (Outcome) -> Double,
): Quantiles {
    val histogram = Histogram(SIGNIFICANT_DIGITS)
    outcomes.forEach { histogram.recordValue(millis(it).toLong().coerceAtLeast(0)) }
    return Quantiles(histogram.getValueAtPercentile(MEDIAN_PERCENTILE), histogram.getValueAtPercentile(TAIL_PERCENTILE))
}

private fun peakUtilization(
    run: RunResult,
    spec: DeploymentSpec,
): Double = spec.upstreams.maxOf { upstream ->
    val maxThroughput = EngineModel(upstream.engine, EventQueue()).throughput(upstream.permits)
    run.processedTokens.getValue(upstream.upstream) / (maxThroughput * run.trace.header.endMillis / MILLIS_PER_SECOND)
}

private fun List<Outcome>.unserved(predicate: (TraceRequest) -> Boolean): Int =
    count { it.status != OutcomeStatus.Answered && predicate(it.request) }

private fun List<Outcome>.meanOf(value: (Outcome) -> Double): Double = if (isEmpty()) 0.0 else sumOf(value) / size

private const val SIGNIFICANT_DIGITS = 3
private const val MEDIAN_PERCENTILE = 50.0
private const val TAIL_PERCENTILE = 99.0
