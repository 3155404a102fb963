/*
 * The plans of one route, worked out from the estimates of its versions. Working them all out costs far more than
 * taking one, so the outcome is kept until enough has been observed to change it. Not thread-safe by itself.
 */
package io.carawaytrack.routing

import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.PoolMember
import kotlin.random.Random

/** Names what the choice of a plan depends on beside the estimates. */
internal data class PlanKey(
    val members: List<PoolMember>,
    val target: Double,
    val cascades: Boolean,
)

/** Holds one possible plan with its expected cost per request and its expected quality. */
internal class EvaluatedPlan(
    val steps: List<PlanStep>,
    val cost: Double,
    val quality: Estimate,
    val proven: Boolean,
)

/**
 * Holds the best plan and those that are worth a trial.
 *
 * @property peers members that are as good as the best plan's only step at the same price, itself among them
 * @property promising cheaper plan whose expected quality meets the target, though not yet with confidence
 */
internal class PlanChoice(
    private val best: List<PlanStep>,
    private val peers: List<PoolMember>,
    private val promising: List<PlanStep>?,
    private val newTrials: List<List<PlanStep>>,
    private val rechecks: List<List<PlanStep>>,
) {
    /** Returns the best plan, drawn among its peers by their weights. */
    private fun best(random: Random): List<PlanStep> =
        if (peers.size > 1) listOf(PlanStep(byWeight(peers, random).version)) else best

    fun draw(
        random: Random,
        settings: PlannerSettings,
    ): List<PlanStep> {
        if (newTrials.isNotEmpty() && random.nextDouble() < settings.newVersionShare) return newTrials.random(random)
        if (rechecks.isNotEmpty() && random.nextDouble() < settings.recheckShare) return rechecks.random(random)
        if (promising != null && random.nextDouble() < settings.promisingShare) return promising
        return best(random)
    }
}

internal class RouteEstimates(
    private val settings: PlannerSettings,
) {
    private val versions = HashMap<ModelVersion, VersionEstimate>()
    private val choices = LinkedHashMap<PlanKey, PlanChoice>()
    private var observedSinceChoice = 0

    fun of(version: ModelVersion): VersionEstimate =
        versions.getOrPut(version) { VersionEstimate(settings.memoryRatings) }

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
        observedSinceChoice++
    }

    fun choice(key: PlanKey): PlanChoice {
        if (observedSinceChoice >= OBSERVATIONS_PER_CHOICE || choices.size >= CHOICES_KEPT) {
            choices.clear()
            observedSinceChoice = 0
        }
        return choices.getOrPut(key) { choose(key) }
    }

    private fun VersionEstimate.rate(rated: Observation.Rated) {
        unrated = 0
        if (rated.escalated) escalated.add(rated.rating) else direct.add(rated.rating)
    }

    private fun choose(key: PlanKey): PlanChoice {
        val singles = key.members.map { single(it) }
        val cascades = if (key.cascades && settings.cascadesEnabled) cascades(key.members) else emptyList()
        val plans = singles + worthwhile(cascades, singles, key.target)
        val good = plans.filter { meets(it, key.target) }
        val candidates = good.filter { it.proven }.ifEmpty { good }
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

    /** Drops the [cascades] that save too little against a good single version to be worth their delay. */
    private fun worthwhile(
        cascades: List<EvaluatedPlan>,
        singles: List<EvaluatedPlan>,
        target: Double,
    ): List<EvaluatedPlan> {
        val single = singles.filter { meets(it, target) }.minOfOrNull { it.cost } ?: return cascades
        return cascades.filter { it.cost <= single * (1.0 - settings.leastCascadeSaving) }
    }

    private fun promising(
        plans: List<EvaluatedPlan>,
        best: EvaluatedPlan,
        target: Double,
    ): EvaluatedPlan? = plans
        .filter { it.cost < best.cost && it.quality.mean >= target }
        .filter { of(it.steps.first().version).unrated < settings.unratedLimit }
        .minByOrNull { it.cost }

    private fun peers(
        best: EvaluatedPlan,
        candidates: List<EvaluatedPlan>,
        members: List<PoolMember>,
    ): List<PoolMember> {
        val only = best.steps.singleOrNull()?.version ?: return emptyList()
        val price = members.first { it.version == only }.costPerKiloToken
        val good = candidates.mapNotNull { it.steps.singleOrNull()?.version }.toSet()
        return members.filter { it.costPerKiloToken == price && it.version in good }
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
        val ratings = of(first.version).direct
        val other = escalatedQuality(second)
        return (1 until RATING_BINS).map { bin ->
            EvaluatedPlan(
                steps = listOf(PlanStep(first.version, bin.toDouble() / RATING_BINS), PlanStep(second.version)),
                cost = cost(first) + ratings.shareBelow(bin) * cost(second),
                quality = ratings.meanWithReplacement(bin, other),
                proven = isProven(second.version),
            )
        }
    }

    /**
     * Returns trials of versions that cost less than [best] and are not in it. Where a cascade is possible, a good
     * answer is certain all the same; elsewhere only versions that may yet turn out to meet the target are tried.
     */
    private fun trials(
        key: PlanKey,
        best: EvaluatedPlan,
    ): List<List<PlanStep>> {
        val used = best.steps.map { it.version }
        val cheaper =
            key.members.filter {
                it.version !in used && cost(it) < best.cost && of(it.version).unrated < settings.unratedLimit
            }
        if (key.cascades && settings.cascadesEnabled) {
            return cheaper.map { listOf(PlanStep(it.version, key.target), best.steps.last()) }
        }
        return cheaper.filter { mayMeet(it, key.target) }.map { listOf(PlanStep(it.version)) }
    }

    private fun mayMeet(
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
        val own = escalated.shrunkTo(direct.mean, settings.priorRatings)
        val fromDirect = settings.priorRatings / (settings.priorRatings + escalated.total) * direct.standardError
        return Estimate(own.mean, own.standardError + fromDirect)
    }

    private fun isProven(version: ModelVersion): Boolean = of(version).ratings >= settings.provenAfterRatings

    private fun cost(member: PoolMember): Double {
        val known = versions.values.mapNotNull { it.tokens.mean }
        val usual = if (known.isEmpty()) 1.0 else known.average()
        return member.costPerKiloToken * (of(member.version).tokens.mean ?: usual)
    }

    private companion object {
        const val OBSERVATIONS_PER_CHOICE = 16
        const val CHOICES_KEPT = 64
    }
}
