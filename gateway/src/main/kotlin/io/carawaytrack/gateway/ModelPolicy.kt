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
private const val CONFIDENT = 70

/** Opinion from which an answer is taken where another one is dear. */
private const val CONFIDENT_WHERE_DEAR = 35

/** Priced tokens for each generated one from which a second answer is dear: a long prompt for a short answer. */
private const val DEAR_TOKENS_PER_ANSWER_TOKEN = 12.0

/** Share of the price of a generated token that a prompt token has. */
private const val PROMPT_TOKEN_PRICE = 0.25

/** Weight of the newest answer in what is learned of a route: the last fifty or so count. */
private const val NEWEST_WEIGHT = 0.02

/** Share of a route's latency target that must be left to ask another model. */
private const val LEAST_TIME_SHARE = 0.25

/** Weight of the newest answer in the time that a route's largest model takes: the last few count. */
private const val NEWEST_WAIT_WEIGHT = 0.2

/** Time without an answer in which what was learned of that time loses half of its weight, in milliseconds. */
private const val WAIT_HALF_LIFE_MILLIS = 2_000.0

/** What has been seen of a route's answers. */
private class RouteOpinion {
    var acceptedShare = 0.5
    var answerTokens = 0.0
    var largestWaitMillis = 0.0
    var largestSeenAtMillis = 0L
}

internal class ModelPolicy(
    private val nowMillis: () -> Long,
) {
    private val opinions = HashMap<String, RouteOpinion>()

    /** Returns the position of the model to ask first. */
    fun first(
        route: CatalogRoute,
        pool: CatalogPool,
    ): Int {
        val small = priceOf(route, pool, 0)
        val large = priceOf(route, pool, route.models.lastIndex)
        return if (small < opinionOf(route).acceptedShare * large) 0 else route.models.lastIndex
    }

    /** Takes in the opinion that the model at [index] has of its answer. */
    fun learn(
        route: CatalogRoute,
        index: Int,
        demand: PromptDemand,
        confidence: Int,
    ) {
        if (index != 0) return
        val opinion = opinionOf(route)
        val accepted = if (confidence >= leastConfidence(route, demand)) 1.0 else 0.0
        opinion.acceptedShare += (accepted - opinion.acceptedShare) * NEWEST_WEIGHT
    }

    /** Takes in how many tokens an answer of [route] had. */
    fun learnLength(
        route: CatalogRoute,
        answerTokens: Int,
    ) {
        val opinion = opinionOf(route)
        val known = opinion.answerTokens
        opinion.answerTokens =
            if (known == 0.0) answerTokens.toDouble() else known + (answerTokens - known) * NEWEST_WEIGHT
    }

    /** Takes in that the largest model began its answer after [waitMillis], or had not begun it by then. */
    fun learnWait(
        route: CatalogRoute,
        waitMillis: Long,
    ) {
        val opinion = opinionOf(route)
        val known = expectedWaitMillis(opinion)
        opinion.largestWaitMillis = known + (waitMillis - known) * NEWEST_WAIT_WEIGHT
        opinion.largestSeenAtMillis = nowMillis()
    }

    private fun expectedWaitMillis(opinion: RouteOpinion): Double {
        val unseenMillis = nowMillis() - opinion.largestSeenAtMillis
        return opinion.largestWaitMillis * HALF.pow(unseenMillis / WAIT_HALF_LIFE_MILLIS)
    }

    /** Returns the position of the model whose answer is to replace the one by the model at [index], or null. */
    fun larger(
        route: CatalogRoute,
        index: Int,
        demand: PromptDemand,
        confidence: Int,
        onTimeLeftMillis: Long,
    ): Int? {
        val last = route.models.lastIndex
        val neededMillis = maxOf(route.latencyTargetMillis * LEAST_TIME_SHARE, expectedWaitMillis(opinionOf(route)))
        val tooLate = onTimeLeftMillis < neededMillis
        return last.takeIf { index < last && !tooLate && confidence < leastConfidence(route, demand) }
    }

    private fun leastConfidence(
        route: CatalogRoute,
        demand: PromptDemand,
    ): Int {
        val answerTokens = opinionOf(route).answerTokens
        if (answerTokens == 0.0) return CONFIDENT
        val priced = demand.promptTokens * PROMPT_TOKEN_PRICE + answerTokens
        return if (priced / answerTokens >= DEAR_TOKENS_PER_ANSWER_TOKEN) CONFIDENT_WHERE_DEAR else CONFIDENT
    }

    private fun opinionOf(route: CatalogRoute) = opinions.getOrPut(route.name, ::RouteOpinion)

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
