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
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random

/**
 * Describes what the planner must know of a request.
 *
 * @property pinned version of the request's session, when it has one
 * @property estimatedTokens prompt and expected answer together
 * @property singleVersion whether a cascade is out of the question: later requests will be pinned to the version that
 * answers this one, or the answer is streamed and cannot wait for a rating
 * @property fullVersions versions whose upstreams have no room; they are planned only when nothing else is allowed
 */
public data class PlanRequest(
    val organisation: Organisation,
    val route: Route,
    val pinned: ModelVersion? = null,
    val estimatedTokens: Long = 0,
    val singleVersion: Boolean = false,
    val fullVersions: Set<ModelVersion> = emptySet(),
)

/**
 * Describes one step of a plan.
 *
 * @property minAcceptedRating lowest rating at which the answer is taken; null for the last step, whose answer always is
 * @property rateAnswer whether the rating service is asked for a rating though nothing waits for it, because a
 * roll-out is being judged
 */
public data class PlanStep(
    val version: ModelVersion,
    val minAcceptedRating: Double? = null,
    val rateAnswer: Boolean = false,
)

/** Lists the versions to try, cheapest first; one step is a plain choice, more are a cascade. */
public data class Plan(
    val steps: List<PlanStep>,
)

/** Tells how an attempt ended, for the estimates of its version. */
public sealed interface Observation {
    /**
     * The rating service rated an answer, from 0 to 1.
     *
     * @property escalated whether the answer was to a request for which a cheaper version's answer was not taken
     */
    public data class Rated(
        val rating: Double,
        val escalated: Boolean = false,
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

/**
 * Tunes the plans.
 *
 * @property zScore standard errors by which a plan's quality must clear the target; 1.645 is a confidence of 95 %
 * @property priorRatings ratings for which an operator's expected quality counts
 * @property provenAfterRatings ratings from which a version counts as proven on a route
 * @property memoryRatings ratings after which an old one has lost most of its weight
 * @property newVersionShare share of requests, 0 to 1, that try versions which are not proven yet
 * @property recheckShare share of requests, 0 to 1, that try proven versions which the plan leaves out
 * @property promisingShare share of requests, 0 to 1, for a cheaper plan that meets the target in expectation alone
 * @property unratedLimit requests that a tried version may get before another rating has come in
 * @property cascadesEnabled whether a plan may have two steps
 * @property leastCascadeSaving share of a single version's cost, 0 to 1, that a cascade must save to be worth its delay
 */
public data class PlannerSettings(
    val zScore: Double = 1.645,
    val priorRatings: Double = 10.0,
    val provenAfterRatings: Int = 30,
    val memoryRatings: Int = 500,
    val newVersionShare: Double = 0.3,
    val recheckShare: Double = 0.02,
    val promisingShare: Double = 0.5,
    val unratedLimit: Int = 60,
    val cascadesEnabled: Boolean = true,
    val leastCascadeSaving: Double = 0.1,
)

/** Creates a planner that draws roll-out shares, weights and trials from [random]; it may be shared by threads. */
public fun Planner(
    random: Random,
    settings: PlannerSettings = PlannerSettings(),
): Planner = LearningPlanner(LockedRandom(random), settings)

private class LearningPlanner(
    private val random: Random,
    private val settings: PlannerSettings,
) : Planner {
    private val shards = List(SHARD_COUNT) { PlannerShard(settings, random) }

    override fun plan(
        configuration: Configuration,
        request: PlanRequest,
    ): Result<Plan, Failure> = eligibleMembers(configuration, request).map { eligible ->
        if (request.pinned != null) {
            Plan(listOf(PlanStep(request.pinned)))
        } else {
            eligible.afterRollouts(shardOf(request.route.name).plan(request, eligible.members), random)
        }
    }

    override fun observe(
        route: String,
        version: ModelVersion,
        observation: Observation,
    ) = shardOf(route).observe(route, version, observation)

    private fun shardOf(route: String) = shards[shardIndex(route, SHARD_COUNT)]
}

private class PlannerShard(
    private val settings: PlannerSettings,
    private val random: Random,
) {
    private val lock = ReentrantLock()
    private val routes = HashMap<String, RouteEstimates>()

    fun plan(
        request: PlanRequest,
        members: List<PoolMember>,
    ): Plan = lock.withLock {
        val estimates = estimatesOf(request.route.name)
        val choice = estimates.choice(PlanKey(members, request.route.qualityTarget, !request.singleVersion))
        val steps = choice.draw(random, settings)
        steps.forEach { estimates.of(it.version).unrated++ }
        Plan(steps)
    }

    fun observe(
        route: String,
        version: ModelVersion,
        observation: Observation,
    ) = lock.withLock { estimatesOf(route).observe(version, observation) }

    private fun estimatesOf(route: String) = routes.getOrPut(route) { RouteEstimates(settings) }
}

private const val SHARD_COUNT = 16
