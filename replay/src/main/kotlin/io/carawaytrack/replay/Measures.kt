/*
 * What a run is measured by.
 */
package io.carawaytrack.replay

import io.carawaytrack.model.ServiceKind
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** States two points of a distribution in milliseconds. */
@Serializable
public data class Quantiles(
    val p50Millis: Long,
    val p99Millis: Long,
)

/**
 * Measures the requests of one route.
 *
 * @property meanQuality mean true quality of the answers, which ratings only approach
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
 * Measures one run.
 *
 * @property cost mean price of a model request
 * @property smallOrganisationsUnserved requests of small organisations that were refused or failed
 * @property fastReadersUnserved requests of callers who read at once that were refused or failed
 * @property exposed requests that ran on a version after it had turned bad
 * @property busyShare highest share of an upstream's best throughput that it was used for, over the whole run
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
    val refusedAtGate: Int,
    val tippedOver: Int,
    val busyShare: Double,
    val routes: List<RouteMeasures>,
) {
    /** Tells whether the mean true quality of every route reaches its target. */
    val qualityMet: Boolean get() = routes.all { it.meanQuality >= it.targetQuality }
}

internal fun measure(run: RunResult): Measures {
    val spec = specOf(run.trace.header.deployment)
    val models = spec.traffic.map { it.route }.filter { it.kind == ServiceKind.Model }
    val modelNames = models.map { it.name }.toSet()
    val outcomes = run.outcomes.filter { it.request.route in modelNames }
    val answered = outcomes.filter { it.ending == Ending.Answered }
    return Measures(
        policy = run.policy,
        requests = run.outcomes.size,
        refused = run.outcomes.count { it.ending == Ending.Refused },
        failed = run.outcomes.count { it.ending == Ending.Failed },
        cost = answered.meanOf { it.cost },
        latency = quantiles(answered) { it.latencyMillis },
        firstToken = quantiles(answered) { it.firstTokenMillis },
        smallOrganisations = quantiles(answered.filter { isSmall(it.request.organisation) }) { it.latencyMillis },
        smallOrganisationsUnserved = outcomes.unserved { isSmall(it.organisation) },
        fastReadersUnserved = outcomes.unserved { it.readMillis == 0L },
        fastReaders = quantiles(answered.filter { it.request.readMillis == 0L }) { it.latencyMillis },
        exposed = run.outcomes.count { it.exposed },
        refusedAtGate = run.refusedAtGate,
        tippedOver = run.tippedOver,
        busyShare = busyShare(run, spec),
        routes =
            models.map { route ->
                val own = answered.filter { it.request.route == route.name }
                RouteMeasures(
                    route.name,
                    own.size,
                    route.qualityTarget,
                    own.meanOf { it.quality },
                    own.meanOf { it.cost },
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
    return Quantiles(histogram.getValueAtPercentile(MEDIAN), histogram.getValueAtPercentile(HIGH_PERCENTILE))
}

private fun busyShare(
    run: RunResult,
    spec: DeploymentSpec,
): Double = spec.upstreams.maxOf { upstream ->
    val best = EngineModel(upstream.engine, EventQueue()).throughput(upstream.permits)
    run.doneTokens.getValue(upstream.upstream) / (best * run.trace.header.endMillis / MILLIS_PER_SECOND)
}

private fun List<Outcome>.unserved(counts: (TraceRequest) -> Boolean): Int =
    count { it.ending != Ending.Answered && counts(it.request) }

private fun List<Outcome>.meanOf(value: (Outcome) -> Double): Double = if (isEmpty()) 0.0 else sumOf(value) / size

private const val SIGNIFICANT_DIGITS = 3
private const val MEDIAN = 50.0
private const val HIGH_PERCENTILE = 99.0
