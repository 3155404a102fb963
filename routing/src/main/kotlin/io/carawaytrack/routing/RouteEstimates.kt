/*
 * The plans of one route, computed from the estimates of its versions. Evaluating all plans costs far more than drawing
 * one, so the result is cached until there are enough new observations to change it. The classes are not thread-safe.
 */
package io.carawaytrack.routing

import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.PoolMember
import kotlin.random.Random

/** Identifies a cached choice by everything it depends on besides the estimates. */
internal data class PlanKey(
    val members: List<PoolMember>,
    val target: Double,
    val cascades: Boolean,
)

/**
 * Describes a possible plan.
 *
 * @property cost expected cost per request
 * @property quality expected rating of the final answer
 * @property proven whether the version of the last step has enough ratings to count as proven
 */
internal class EvaluatedPlan(
    val steps: List<PlanStep>,
    val cost: Double,
    val quality: Estimate,
    val proven: Boolean,
)

/**
 * Holds the best plan and the alternatives that are tried on a share of requests.
 *
 * @property peers when the best plan has a single step, the members that meet the target at the same cost, including
 * the one that the plan names
 * @property promising cheaper plan whose expected quality meets the target, whatever its confidence
 * @property newTrials plans that start with a version which is not proven yet
 * @property rechecks plans that start with a proven version which the best plan does not use
 */
internal class PlanChoice(
    private val best: List<PlanStep>,
    private val peers: List<PoolMember>,
    private val promising: List<PlanStep>?,
    private val newTrials: List<List<PlanStep>>,
    private val rechecks: List<List<PlanStep>>,
) {
    /** Returns the best plan; when it has peers, the version is drawn from them by weight. */
    private fun best(random: Random): List<PlanStep> =
        if (peers.size > 1) listOf(PlanStep(drawByWeight(peers, random).version)) else best

    fun draw(
        random: Random,
        settings: PlannerSettings,
    ): List<PlanStep> {
        if (newTrials.isNotEmpty() && random.nextDouble() < settings.newVersionRatio) return newTrials.random(random)
        if (rechecks.isNotEmpty() && random.nextDouble() < settings.recheckRatio) return rechecks.random(random)
        if (promising != null && random.nextDouble() < settings.promisingRatio) return promising
        return best(random)
    }
}

internal class RouteEstimates(
    private val settings: PlannerSettings,
) {
    private val versions = HashMap<ModelVersion, VersionEstimate>()
    private val choices = LinkedHashMap<PlanKey, PlanChoice>()
    private var observedSinceRefresh = 0

    fun of(version: ModelVersion): VersionEstimate =
        versions.getOrPut(version) { VersionEstimate(settings.decayRatings) }

    fun observe(
        version: ModelVersion,
        observation: Observation,
    ) {
        val estimate = of(version)
        when (observation) {
            is Observation.Rated -> estimate.rate(observation)
            is Observation.Completed -> estimate.tokens.add(observation.tokens)
            Observation.Failed -> estimate.rate(Observation.Rated(rating = 0.0))
        }
        observedSinceRefresh++
    }

    fun choice(key: PlanKey): PlanChoice {
        if (observedSinceRefresh >= OBSERVATIONS_PER_REFRESH || choices.size >= MAX_CACHED_CHOICES) {
            choices.clear()
            observedSinceRefresh = 0
        }
        return choices.getOrPut(key) { computeChoice(key) }
    }

    private fun VersionEstimate.rate(rated: Observation.Rated) {
        plannedSinceRating = 0
        if (rated.escalated) escalated.add(rated.rating) else direct.add(rated.rating)
    }

    private fun computeChoice(key: PlanKey): PlanChoice {
        val singles = key.members.map { single(it) }
        val cascades = if (key.cascades && settings.cascadesEnabled) cascades(key.members) else emptyList()
        val plans = singles + withSufficientSaving(cascades, singles, key.target)
        val sufficient = plans.filter { meets(it, key.target) }
        val candidates = sufficient.filter { it.proven }.ifEmpty { sufficient }
        val best = candidates.minByOrNull { it.cost } ?: singles.maxBy { it.quality.mean }
        val trials = trials(key, best)
        return PlanChoice(
            best = best.steps,
            peers = peers(best, candidates, key.members),
            promising = promising(plans, best, key.target)?.steps,
            newTrials = trials.filterNot { isProven(it.first().version) },
            rechecks = trials.filter { isProven(it.first().version) },
        )
    }

    private fun meets(
        plan: EvaluatedPlan,
        target: Double,
    ): Boolean = plan.quality.mean - settings.zScore * plan.quality.standardError >= target

    /** Returns the [cascades] that save enough over the cheapest sufficient single version to justify their latency. */
    private fun withSufficientSaving(
        cascades: List<EvaluatedPlan>,
        singles: List<EvaluatedPlan>,
        target: Double,
    ): List<EvaluatedPlan> {
        val single = singles.filter { meets(it, target) }.minOfOrNull { it.cost } ?: return cascades
        return cascades.filter { it.cost <= single * (1.0 - settings.minCascadeSavingRatio) }
    }

    private fun promising(
        plans: List<EvaluatedPlan>,
        best: EvaluatedPlan,
        target: Double,
    ): EvaluatedPlan? = plans
        .filter { it.cost < best.cost && it.quality.mean >= target }
        .filter { of(it.steps.first().version).plannedSinceRating < settings.maxUnratedRequests }
        .minByOrNull { it.cost }

    private fun peers(
        best: EvaluatedPlan,
        candidates: List<EvaluatedPlan>,
        members: List<PoolMember>,
    ): List<PoolMember> {
        val singleVersion = best.steps.singleOrNull()?.version ?: return emptyList()
        val costPerKiloToken = members.first { it.version == singleVersion }.costPerKiloToken
        val sufficient = candidates.mapNotNull { it.steps.singleOrNull()?.version }.toSet()
        return members.filter { it.costPerKiloToken == costPerKiloToken && it.version in sufficient }
    }

    private fun single(member: PoolMember): EvaluatedPlan = EvaluatedPlan(
        steps = listOf(PlanStep(member.version)),
        cost = cost(member),
        quality = directQuality(member),
        proven = isProven(member.version),
    )

    private fun cascades(members: List<PoolMember>): List<EvaluatedPlan> =
        members.filter { of(it.version).direct.total >= settings.provenAfterRatings }.flatMap { first ->
            members.filter { cost(it) > cost(first) }.flatMap { second -> cascades(first, second) }
        }

    private fun cascades(
        first: PoolMember,
        second: PoolMember,
    ): List<EvaluatedPlan> {
        val firstRatings = of(first.version).direct
        val secondQuality = escalatedQuality(second)
        return (1 until RATING_BIN_COUNT).map { bin ->
            EvaluatedPlan(
                steps = listOf(PlanStep(first.version, bin.toDouble() / RATING_BIN_COUNT), PlanStep(second.version)),
                cost = cost(first) + firstRatings.ratioBelow(bin) * cost(second),
                quality = firstRatings.meanWithReplacement(bin, secondQuality),
                proven = isProven(second.version),
            )
        }
    }

    /**
     * Returns trial plans for versions that cost less than [best] and are not part of it. Where cascades are possible,
     * the last step of [best] is the fallback when the trial's answer is rejected, so that every cheaper version may be
     * tried. Elsewhere only versions that may still meet the target are tried.
     */
    private fun trials(
        key: PlanKey,
        best: EvaluatedPlan,
    ): List<List<PlanStep>> {
        val used = best.steps.map { it.version }
        val cheaper =
            key.members.filter {
                it.version !in used &&
                    cost(it) < best.cost &&
                    of(it.version).plannedSinceRating < settings.maxUnratedRequests
            }
        if (key.cascades && settings.cascadesEnabled) {
            return cheaper.map { listOf(PlanStep(it.version, key.target), best.steps.last()) }
        }
        return cheaper.filter { mayStillMeet(it, key.target) }.map { listOf(PlanStep(it.version)) }
    }

    private fun mayStillMeet(
        member: PoolMember,
        target: Double,
    ): Boolean {
        val quality = directQuality(member)
        return quality.mean + settings.zScore * quality.standardError >= target
    }

    private fun directQuality(member: PoolMember): Estimate =
        of(member.version).direct.shrunkTo(member.expectedQuality, settings.priorRatings)

    private fun escalatedQuality(member: PoolMember): Estimate {
        val direct = directQuality(member)
        val escalated = of(member.version).escalated
        val estimate = escalated.shrunkTo(direct.mean, settings.priorRatings)
        val priorError = settings.priorRatings / (settings.priorRatings + escalated.total) * direct.standardError
        return Estimate(estimate.mean, estimate.standardError + priorError)
    }

    private fun isProven(version: ModelVersion): Boolean = of(version).ratings >= settings.provenAfterRatings

    private fun cost(member: PoolMember): Double {
        val knownMeans = versions.values.mapNotNull { it.tokens.mean }
        val defaultTokens = if (knownMeans.isEmpty()) 1.0 else knownMeans.average()
        return member.costPerKiloToken * (of(member.version).tokens.mean ?: defaultTokens)
    }

    private companion object {
        const val OBSERVATIONS_PER_REFRESH = 16
        const val MAX_CACHED_CHOICES = 64
    }
}
