/*
 * Selection of the model for requests that leave the choice to the gateway. The expected models differ in price by a
 * factor of ten or more; the smallest one answers about six in ten requests well, the largest one nearly all. The head
 * of a response carries the model's rough confidence before the caller has received anything.
 *
 * The smallest model is tried first as long as discarding its low-confidence responses is cheaper than using the
 * largest model at once. A response is replaced by one of the largest model when its confidence is too low for the cost
 * of a second response.
 *
 * Where answers cannot be replaced, the largest model is used at once unless it is late, since the smallest one would
 * leave four in ten callers with a poor answer.
 *
 * When the engines are overloaded, responses of the largest model are late whatever their quality, and each further
 * request to it delays the others. In that case the response of the smallest model is used as it is. In time-critical
 * pools, a replacement that these rules allow must also be worth the delay that it causes to the others.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CatalogPool
import io.carawaytrack.fleet.CatalogRoute
import io.carawaytrack.routing.load.AnswerCalibration
import io.carawaytrack.routing.load.ModelOption
import io.carawaytrack.routing.load.ModelTradeoff
import io.carawaytrack.routing.load.PoolOutlook
import io.carawaytrack.routing.load.PromptWork
import kotlin.math.pow

/** Minimum confidence, 0 to 100, for a response to be used as it is. */
private const val MIN_CONFIDENCE = 70

/** Minimum confidence when a second response is expensive. */
private const val MIN_CONFIDENCE_WHEN_EXPENSIVE = 35

/**
 * The same in time-critical pools. The largest model, whose answers are nearly always adequate, is rarely less
 * confident than 50, and the smallest one is hardly ever mistaken above it, so replacing such answers delays others.
 */
private const val MIN_CONFIDENCE_TIME_CRITICAL = 50
private const val MIN_CONFIDENCE_WHEN_EXPENSIVE_TIME_CRITICAL = 45

/** Priced tokens per generated token at which a second response is expensive: a long prompt with a short output. */
private const val EXPENSIVE_TOKENS_PER_OUTPUT_TOKEN = 12.0

/** Price of a prompt token relative to that of a generated token. */
private const val PROMPT_TOKEN_PRICE_RATIO = 0.25

/** Weight of the newest response in a route's moving averages, which cover about the last fifty responses. */
private const val NEWEST_WEIGHT = 0.02

/** Share of a route's latency target that must remain for an escalation to another model. */
private const val MIN_TIME_RATIO = 0.25

/** Weight of the newest wait for a route's largest model in its moving average, which covers the last few responses. */
private const val NEWEST_WAIT_WEIGHT = 0.2

/** Time without a response after which the average wait for the largest model is halved. */
private const val WAIT_HALF_LIFE_MILLIS = 2_000.0

/** Moving averages over a route's responses. */
private class RouteStatistics {
    var acceptedRatio = 0.5
    var outputTokens = 0.0
    var largestModelWaitMillis = 0.0
    var largestModelSeenAtMillis = 0L
    val calibration = AnswerCalibration()

    /** Part of a prompt that the largest model has to read, since the rest is cached for it. */
    var largestModelUnreadRatio = 1.0
}

/** Outlook of a time-critical pool for one request; [workOf] returns the work that the model at an index causes. */
internal class ModelLoad(
    val outlook: PoolOutlook,
    val targetMillis: Long,
    val rank: Int,
    val workOf: (Int) -> PromptWork,
)

internal class ModelPolicy(
    private val nowMillis: () -> Long,
) {
    private val statisticsByRoute = HashMap<String, RouteStatistics>()

    /** Returns the index of the model to try first under [load], which is null unless the pool is time-critical. */
    fun firstModel(
        route: CatalogRoute,
        pool: CatalogPool,
        load: ModelLoad?,
    ): Int {
        val cheapest = firstModel(route, pool)
        val tradeoff = load?.let(::tradeoff)?.takeUnless { it.isIdle } ?: return cheapest
        if (cheapest == 0) return 0
        return tradeoff.first(route.models.indices.map { option(route, it, load) }, route.models.size)?.index
            ?: cheapest
    }

    /**
     * Returns the index of the model of a request whose first answer cannot be replaced: the largest one, unless its
     * answer would be late or, under [load], is not worth the delay that it causes to the others.
     */
    fun onlyModel(
        route: CatalogRoute,
        load: ModelLoad?,
    ): Int {
        if (load == null) {
            val late = expectedWaitMillis(statisticsOf(route)) > route.latencyTargetMillis
            return if (late) 0 else route.models.lastIndex
        }
        val timely =
            route.models.indices
                .map { option(route, it, load) }
                .filter { (it.firstEventMillis ?: 0.0) <= load.targetMillis }
        // If all are late, the smallest model is the least late and delays the others least.
        return tradeoff(load).first(timely, route.models.size)?.index ?: 0
    }

    /** Returns the index of the model to try first by price. */
    fun firstModel(
        route: CatalogRoute,
        pool: CatalogPool,
    ): Int {
        val smallestPrice = priceOf(route, pool, 0)
        val largestPrice = priceOf(route, pool, route.models.lastIndex)
        return if (smallestPrice < statisticsOf(route).acceptedRatio * largestPrice) 0 else route.models.lastIndex
    }

    /** Records the confidence that the model at [index] reports for its response. */
    fun recordConfidence(
        route: CatalogRoute,
        index: Int,
        demand: PromptDemand,
        confidence: Int,
        timeCritical: Boolean = false,
    ) {
        if (index != 0) return
        val statistics = statisticsOf(route)
        val accepted = if (confidence >= requiredConfidence(route, demand, timeCritical)) 1.0 else 0.0
        statistics.acceptedRatio += (accepted - statistics.acceptedRatio) * NEWEST_WEIGHT
    }

    /** Records the number of tokens in a response of [route]. */
    fun recordOutputLength(
        route: CatalogRoute,
        outputTokens: Int,
    ) {
        val statistics = statisticsOf(route)
        val previous = statistics.outputTokens
        statistics.outputTokens =
            if (previous == 0.0) outputTokens.toDouble() else previous + (outputTokens - previous) * NEWEST_WEIGHT
    }

    /** Records that a larger model had [largerConfidence] in its answer after one of [confidence] was replaced. */
    fun recordReplacement(
        route: CatalogRoute,
        confidence: Int,
        largerConfidence: Int,
    ) = statisticsOf(route).calibration.record(confidence, largerConfidence)

    /** Records that the largest model had to read [ratio] of a prompt. */
    fun recordUnread(
        route: CatalogRoute,
        ratio: Double,
    ) {
        val statistics = statisticsOf(route)
        statistics.largestModelUnreadRatio += (ratio - statistics.largestModelUnreadRatio) * NEWEST_WAIT_WEIGHT
    }

    /** Records that the largest model started its response after [waitMillis], or had not started it by then. */
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

    /** Returns the index of the model whose response is to replace that of the model at [index], or null to keep it. */
    fun escalationTarget(
        route: CatalogRoute,
        index: Int,
        demand: PromptDemand,
        confidence: Int,
        onTimeRemainingMillis: Long,
        timeCritical: Boolean = false,
    ): Int? {
        val largest = route.models.lastIndex
        val neededMillis = maxOf(route.latencyTargetMillis * MIN_TIME_RATIO, expectedWaitMillis(statisticsOf(route)))
        val tooLate = onTimeRemainingMillis < neededMillis
        val doubtful = confidence < requiredConfidence(route, demand, timeCritical)
        return largest.takeIf { index < largest && !tooLate && doubtful }
    }

    /**
     * Returns the index of the model whose response is worth the delay that it causes to others, for a response that is
     * to be replaced on idle engines; null to keep it.
     */
    fun underLoad(
        route: CatalogRoute,
        index: Int,
        confidence: Int,
        onTimeRemainingMillis: Long,
        load: ModelLoad,
    ): Int? {
        val tradeoff = tradeoff(load)
        if (tradeoff.isIdle) return route.models.lastIndex
        val replacement =
            tradeoff.replacement(
                larger = (index + 1..route.models.lastIndex).map { option(route, it, load) },
                index = index,
                count = route.models.size,
                poorProbability = statisticsOf(route).calibration.poorProbability(confidence),
                remainingMillis = onTimeRemainingMillis,
            )
        return replacement?.index
    }

    private fun tradeoff(load: ModelLoad) = ModelTradeoff(load.outlook.busyRatio, load.targetMillis, load.rank)

    private fun option(
        route: CatalogRoute,
        index: Int,
        load: ModelLoad,
    ): ModelOption {
        val whole = load.workOf(index)
        val ratio = if (index == route.models.lastIndex) statisticsOf(route).largestModelUnreadRatio else 1.0
        val work = whole.copy(unreadTokens = (whole.unreadTokens * ratio).toInt())
        return ModelOption(index, load.outlook.readMillis(work), load.outlook.firstEventMillis(work))
    }

    private fun requiredConfidence(
        route: CatalogRoute,
        demand: PromptDemand,
        timeCritical: Boolean,
    ): Int {
        val outputTokens = statisticsOf(route).outputTokens
        val pricedTokens = demand.promptTokens * PROMPT_TOKEN_PRICE_RATIO + outputTokens
        val expensive = outputTokens > 0.0 && pricedTokens / outputTokens >= EXPENSIVE_TOKENS_PER_OUTPUT_TOKEN
        return when {
            timeCritical && expensive -> MIN_CONFIDENCE_WHEN_EXPENSIVE_TIME_CRITICAL
            timeCritical -> MIN_CONFIDENCE_TIME_CRITICAL
            expensive -> MIN_CONFIDENCE_WHEN_EXPENSIVE
            else -> MIN_CONFIDENCE
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
