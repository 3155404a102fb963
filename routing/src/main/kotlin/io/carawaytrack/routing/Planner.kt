/*
 * The first decision that an entry takes for each request: which versions may run it and in which order. It is pure:
 * randomness and observations come in as arguments.
 */
package io.carawaytrack.routing

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.Failure
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.Organisation
import io.carawaytrack.model.PoolMember
import io.carawaytrack.model.Route
import kotlin.random.Random

/**
 * Describes what the planner must know of a request.
 *
 * @property pinned version of the request's session, when it has one
 * @property estimatedTokens prompt and expected answer together
 */
public data class PlanRequest(
    val organisation: Organisation,
    val route: Route,
    val pinned: ModelVersion? = null,
    val estimatedTokens: Long = 0,
)

/**
 * Describes one step of a plan.
 *
 * @property acceptRating lowest rating at which the answer is taken; null for the last step, whose answer always is
 */
public data class PlanStep(
    val version: ModelVersion,
    val acceptRating: Double? = null,
)

/** Lists the versions to try, cheapest first; one step is a plain choice, more are a cascade. */
public data class Plan(
    val steps: List<PlanStep>,
)

/** Tells how an attempt ended, for the estimates of its version. */
public sealed interface Observation {
    /** The rating service rated an answer, from 0 to 1. */
    public data class Rated(
        val rating: Double,
    ) : Observation

    /** The answer was complete. */
    public data class Completed(
        val latencyMillis: Long,
        val tokens: Long,
    ) : Observation

    /** The version failed while running the request. */
    public data object Failed : Observation
}

/** Chooses the cheapest plan whose expected quality meets the route's target. */
public interface Planner {
    /**
     * Returns the plan for [request] under [configuration]. Fails with `NotAllowed` when the organisation allows no
     * version of the pool, with `SessionVersionWithdrawn` when the pinned version may not run any more, and with
     * `NoHealthyUpstream` when every allowed version is draining or withdrawn.
     */
    public fun plan(
        configuration: Configuration,
        request: PlanRequest,
    ): Result<Plan, Failure>

    /** Takes in what was seen of [version] on the route named [route]. */
    public fun observe(
        route: String,
        version: ModelVersion,
        observation: Observation,
    )
}

/** Creates a planner that draws roll-out shares and weights from [random]. */
public fun Planner(random: Random): Planner = CheapestPlanner(random)

private class CheapestPlanner(
    private val random: Random,
) : Planner {
    override fun plan(
        configuration: Configuration,
        request: PlanRequest,
    ): Result<Plan, Failure> = eligibleMembers(configuration, request).map { eligible ->
        val chosen = if (request.pinned != null) eligible.members.first() else choose(eligible, request.route)
        Plan(listOf(PlanStep(chosen.version)))
    }

    override fun observe(
        route: String,
        version: ModelVersion,
        observation: Observation,
    ) = Unit

    private fun choose(
        eligible: EligibleMembers,
        route: Route,
    ): PoolMember {
        val good = eligible.members.filter { it.expectedQuality >= route.qualityTarget }
        val cheapest = good.minOfOrNull { it.costPerKiloToken }
        val chosen =
            if (cheapest == null) {
                eligible.members.maxBy { it.expectedQuality }
            } else {
                byWeight(good.filter { it.costPerKiloToken == cheapest }, random)
            }
        return eligible.afterRollouts(chosen, random)
    }
}
