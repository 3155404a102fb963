/*
 * The two decisions that an entry takes for each request: which versions may run it and in which order (the plan), and
 * which upstream gets the next attempt (the choice). Both are pure: time, randomness and events come in as arguments.
 */
package io.carawaytrack.routing

import com.github.michaelbull.result.Result
import io.carawaytrack.model.Announcement
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.Failure
import io.carawaytrack.model.Membership
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.Organisation
import io.carawaytrack.model.Route
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.UpstreamLoad

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

/** Describes the attempt for which an upstream is wanted; [excluded] have already refused or failed it. */
public data class ChoiceRequest(
    val version: ModelVersion,
    val estimatedTokens: Long = 0,
    val prefixHash: Long? = null,
    val allowed: List<UpstreamId> = emptyList(),
    val excluded: Set<UpstreamId> = emptySet(),
)

/** Chooses an upstream for each attempt, from announced load corrected by the entry's own attempts. */
public interface UpstreamChooser {
    /** Replaces or extends what is known of the announced upstreams; see [Membership.complete]. */
    public fun update(membership: Membership)

    /** Takes in a load that an agent sent along with an answer or a refusal. */
    public fun report(
        upstream: UpstreamId,
        load: UpstreamLoad,
    )

    /**
     * Returns the upstream to use. Fails with `NoHealthyUpstream` when none that serves the version is in service, and
     * with `PoolExhausted` and a retry hint when all of them are full.
     */
    public fun choose(
        configuration: Configuration,
        request: ChoiceRequest,
    ): Result<Announcement, Failure>

    /** Notes that an attempt of [tokens] estimated tokens was sent to [upstream]. */
    public fun started(
        upstream: UpstreamId,
        tokens: Long,
    )

    /** Notes that an attempt ended; [healthy] is false when the upstream itself failed. */
    public fun finished(
        upstream: UpstreamId,
        tokens: Long,
        healthy: Boolean,
    )
}
