/*
 * Request planning, the first decision of an entry for each request: which versions may run it and in which order. The
 * planner changes only its own estimates; the source of randomness and the observations are passed in.
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
 * Describes a request to the planner.
 *
 * @property pinned version that the request's session is pinned to, if any
 * @property estimatedTokens estimated tokens of the prompt and the answer together
 * @property singleVersion whether a cascade is ruled out, because later requests will be pinned to the version that
 * answers this one, or because the answer is streamed and cannot wait for a rating
 * @property fullVersions versions whose upstreams have no free capacity; planned only when no other version is allowed
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
 * @property minAcceptedRating lowest rating at which the answer is accepted; null for the last step, whose answer is
 * always accepted
 * @property rateAnswer whether to request a rating for the evaluation of a roll-out, though the plan does not need one
 */
public data class PlanStep(
    val version: ModelVersion,
    val minAcceptedRating: Double? = null,
    val rateAnswer: Boolean = false,
)

/** Lists the versions to try, cheapest first; a plan with more than one step is a cascade. */
public data class Plan(
    val steps: List<PlanStep>,
)

/** Describes the outcome of an attempt, as input to the estimates of its version. */
public sealed interface Observation {
    /**
     * The rating service rated an answer.
     *
     * @property rating rating from 0 to 1
     * @property escalated whether a cheaper version's answer to the same request had been rejected before
     */
    public data class Rated(
        val rating: Double,
        val escalated: Boolean = false,
    ) : Observation

    /** The version completed the answer. */
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
     * Returns the plan for [request] under [configuration]. Fails with `NotAllowed` when the organisation may use no
     * version of the pool, with `SessionVersionWithdrawn` when the pinned version is withdrawn or not in the pool, and
     * with `NoHealthyUpstream` when every allowed version is draining or withdrawn.
     */
    public fun plan(
        configuration: Configuration,
        request: PlanRequest,
    ): Result<Plan, Failure>

    /** Updates the estimates of [version] on the route named [route]. */
    public fun observe(
        route: String,
        version: ModelVersion,
        observation: Observation,
    )
}

/**
 * Configures the planner.
 *
 * @property zScore standard errors by which a plan's quality must exceed the target; 1.645 is a confidence of 95 %
 * @property priorRatings weight of the operator's expected quality, as an equivalent number of ratings
 * @property provenAfterRatings ratings from which a version counts as proven on a route
 * @property decayRatings ratings after which the weight of an observation has fallen to about 37 %
 * @property newVersionRatio fraction of requests, 0 to 1, that try cheaper versions which are not proven yet
 * @property recheckRatio fraction of requests, 0 to 1, that try cheaper proven versions which the best plan does not
 * use
 * @property promisingRatio fraction of requests, 0 to 1, that use a cheaper plan whose expected quality meets the
 * target, whatever its confidence
 * @property maxUnratedRequests requests planned for a version on trial without a new rating, after which trials stop
 * @property cascadesEnabled whether a plan may have two steps
 * @property minCascadeSavingRatio fraction of a single version's cost, 0 to 1, that a cascade must save to justify its
 * additional latency
 */
public data class PlannerSettings(
    val zScore: Double = 1.645,
    val priorRatings: Double = 10.0,
    val provenAfterRatings: Int = 30,
    val decayRatings: Int = 500,
    val newVersionRatio: Double = 0.3,
    val recheckRatio: Double = 0.02,
    val promisingRatio: Double = 0.5,
    val maxUnratedRequests: Int = 60,
    val cascadesEnabled: Boolean = true,
    val minCascadeSavingRatio: Double = 0.1,
)

/** Creates a thread-safe planner that uses [random] for roll-out shares, choices by weight, and trials. */
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
            eligible.withRollouts(shardOf(request.route.name).plan(request, eligible.members), random)
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
        steps.forEach { estimates.of(it.version).plannedSinceRating++ }
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
