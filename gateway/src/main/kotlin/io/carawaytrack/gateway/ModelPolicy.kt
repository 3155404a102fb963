/*
 * Which of a route's models answers a request that leaves the choice to the gateway. The load it answers: models whose
 * prices lie a factor of ten and more apart, of which the smallest answers some six in ten requests well and the
 * largest nearly all; an answer's head carries the model's rough opinion of it before the caller has received anything.
 *
 * Under more load than the engines can take, an answer by the largest model comes late whatever it says, and each one
 * asked for delays the others: there the smallest model's answer is taken as it is.
 *
 * The smallest model is asked first while dropping its doubtful answers is cheaper than asking the largest at once. An
 * answer is dropped for the largest model's when the opinion is too low for what another answer costs.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CatalogPool
import io.carawaytrack.fleet.CatalogRoute
import kotlin.math.pow

/** Opinion, 0 to 100, from which an answer is taken as it is. */
private const val MIN_CONFIDENCE = 70

/** Opinion from which an answer is taken where another one is dear. */
private const val MIN_CONFIDENCE_WHEN_EXPENSIVE = 35

/** Priced tokens for each generated one from which a second answer is dear: a long prompt for a short answer. */
private const val EXPENSIVE_TOKENS_PER_OUTPUT_TOKEN = 12.0

/** Share of the price of a generated token that a prompt token has. */
private const val PROMPT_TOKEN_PRICE_RATIO = 0.25

/** Weight of the newest answer in what is learned of a route: the last fifty or so count. */
private const val NEWEST_WEIGHT = 0.02

/** Share of a route's latency target that must be left to ask another model. */
private const val MIN_TIME_RATIO = 0.25

/** Weight of the newest answer in the time that a route's largest model takes: the last few count. */
private const val NEWEST_WAIT_WEIGHT = 0.2

/** Time without an answer in which what was learned of that time loses half of its weight, in milliseconds. */
private const val WAIT_HALF_LIFE_MILLIS = 2_000.0

/** What has been seen of a route's answers. */
private class RouteStatistics {
    var acceptedRatio = 0.5
    var outputTokens = 0.0
    var largestModelWaitMillis = 0.0
    var largestModelSeenAtMillis = 0L
}

internal class ModelPolicy(
    private val nowMillis: () -> Long,
) {
    private val statisticsByRoute = HashMap<String, RouteStatistics>()

    /** Returns the position of the model to ask first. */
    fun firstModel(
        route: CatalogRoute,
        pool: CatalogPool,
    ): Int {
        val smallestPrice = priceOf(route, pool, 0)
        val largestPrice = priceOf(route, pool, route.models.lastIndex)
        return if (smallestPrice < statisticsOf(route).acceptedRatio * largestPrice) 0 else route.models.lastIndex
    }

    /** Takes in the opinion that the model at [index] has of its answer. */
    fun recordConfidence(
        route: CatalogRoute,
        index: Int,
        demand: PromptDemand,
        confidence: Int,
    ) {
        if (index != 0) return
        val statistics = statisticsOf(route)
        val accepted = if (confidence >= requiredConfidence(route, demand)) 1.0 else 0.0
        statistics.acceptedRatio += (accepted - statistics.acceptedRatio) * NEWEST_WEIGHT
    }

    /** Takes in how many tokens an answer of [route] had. */
    fun recordOutputLength(
        route: CatalogRoute,
        outputTokens: Int,
    ) {
        val statistics = statisticsOf(route)
        val previous = statistics.outputTokens
        statistics.outputTokens =
            if (previous == 0.0) outputTokens.toDouble() else previous + (outputTokens - previous) * NEWEST_WEIGHT
    }

    /** Takes in that the largest model began its answer after [waitMillis], or had not begun it by then. */
    fun recordWait(
        route: CatalogRoute,
        waitMillis: Long,
    ) {
        val statistics = statisticsOf(route)
        val previous = expectedWaitMillis(statistics)
        statistics.largestModelWaitMillis = previous + (waitMillis - previous) * NEWEST_WAIT_WEIGHT
        statistics.largestModelSeenAtMillis = nowMillis()
    }

    private fun expectedWaitMillis(statistics: RouteStatistics): Double {
        val sinceSeenMillis = nowMillis() - statistics.largestModelSeenAtMillis
        return statistics.largestModelWaitMillis * HALF.pow(sinceSeenMillis / WAIT_HALF_LIFE_MILLIS)
    }

    /** Returns the position of the model whose answer is to replace the one by the model at [index], or null. */
    fun escalationTarget(
        route: CatalogRoute,
        index: Int,
        demand: PromptDemand,
        confidence: Int,
        onTimeRemainingMillis: Long,
    ): Int? {
        val largest = route.models.lastIndex
        val neededMillis = maxOf(route.latencyTargetMillis * MIN_TIME_RATIO, expectedWaitMillis(statisticsOf(route)))
        val tooLate = onTimeRemainingMillis < neededMillis
        return largest.takeIf { index < largest && !tooLate && confidence < requiredConfidence(route, demand) }
    }

    private fun requiredConfidence(
        route: CatalogRoute,
        demand: PromptDemand,
    ): Int {
        val outputTokens = statisticsOf(route).outputTokens
        if (outputTokens == 0.0) return MIN_CONFIDENCE
        val pricedTokens = demand.promptTokens * PROMPT_TOKEN_PRICE_RATIO + outputTokens
        return if (pricedTokens / outputTokens >=
            EXPENSIVE_TOKENS_PER_OUTPUT_TOKEN
        ) {
            MIN_CONFIDENCE_WHEN_EXPENSIVE
        } else {
            MIN_CONFIDENCE
        }
    }

    private fun statisticsOf(route: CatalogRoute) = statisticsByRoute.getOrPut(route.name, ::RouteStatistics)

    private fun priceOf(
        route: CatalogRoute,
        pool: CatalogPool,
        index: Int,
    ): Double = pool.engine
        ?.models
        ?.firstOrNull { it.model == route.models[index] }
        ?.costPerKiloToken ?: 0.0

    private companion object {
        const val HALF = 0.5
    }
}
