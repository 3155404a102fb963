/*
 * The policies that a replay compares: the current decision code, its first version, and common baseline policies.
 */
package io.carawaytrack.replay

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.carawaytrack.model.Announcement
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.Membership
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.model.ZoneName
import io.carawaytrack.model.notRun
import io.carawaytrack.routing.ChoiceRequest
import io.carawaytrack.routing.ChooserSettings
import io.carawaytrack.routing.Plan
import io.carawaytrack.routing.PlanRequest
import io.carawaytrack.routing.Planner
import io.carawaytrack.routing.PlannerSettings
import io.carawaytrack.routing.UpstreamChooser
import kotlin.random.Random

/** Creates the planner and the chooser of each entry; [rolloutRule] decides on rollouts. */
internal data class Policy(
    val name: String,
    val planner: (Random) -> Planner,
    val chooser: (ZoneName, () -> Long, Random) -> UpstreamChooser,
    val rolloutRule: RolloutRule = sequentialRule,
)

private val currentPlanner = { random: Random -> Planner(random) }
private val currentChooser =
    { zone: ZoneName, nowMillis: () -> Long, random: Random -> UpstreamChooser(zone, nowMillis, random) }

/** Keeps the operator's expected qualities unchanged: disables learning from ratings, exploration and cascades. */
private val staticSettings =
    PlannerSettings(
        priorRatings = 1e12,
        provenAfterRatings = 0,
        newVersionRatio = 0.0,
        recheckRatio = 0.0,
        promisingRatio = 0.0,
        cascadesEnabled = false,
    )

/** Leaves the entry's zone only when no upstream there has free capacity, as the first version of the chooser did. */
private val localFirstSettings = ChooserSettings(crossZonePenaltyTokensPerPermit = 1e12)

internal val currentPolicy = Policy("current", currentPlanner, currentChooser)

internal val policies: List<Policy> =
    listOf(
        currentPolicy,
        Policy("fixed-window", currentPlanner, currentChooser, fixedWindowRule),
        Policy("thin", { staticPlanner(it) }, currentChooser),
        Policy("strongest", { staticPlanner(it, UNREACHABLE_TARGET) }, currentChooser),
        Policy("cheapest", { staticPlanner(it, target = 0.0) }, currentChooser),
        Policy(
            name = "local-first",
            planner = currentPlanner,
            chooser = { zone, nowMillis, random -> UpstreamChooser(zone, nowMillis, random, localFirstSettings) },
        ),
        Policy(
            name = "round-robin",
            planner = currentPlanner,
            chooser = { _, _, _ -> ReportedLoadChooser { candidates, choice -> candidates[choice % candidates.size] } },
        ),
        Policy(
            name = "least-outstanding",
            planner = currentPlanner,
            chooser = { _, _, _ -> ReportedLoadChooser { candidates, _ -> candidates.minBy { it.load.queuedTokens } } },
        ),
    )

private const val UNREACHABLE_TARGET = 2.0

/** Creates a non-learning planner that ignores full versions and aims at [target], or the route's if it is null. */
private fun staticPlanner(
    random: Random,
    target: Double? = null,
): Planner {
    val planner = Planner(random, staticSettings)
    return object : Planner by planner {
        override fun plan(
            configuration: Configuration,
            request: PlanRequest,
        ): Result<Plan, Failure> {
            val route = request.route.copy(qualityTarget = target ?: request.route.qualityTarget)
            return planner.plan(configuration, request.copy(route = route, fullVersions = emptySet()))
        }
    }
}

/** Chooses by the reported load only; [select] receives the candidates and the number of previous choices. */
private class ReportedLoadChooser(
    private val select: (List<Announcement>, Int) -> Announcement,
) : UpstreamChooser {
    private var announcements: Map<UpstreamId, Announcement> = emptyMap()
    private var choiceNumber = 0

    override fun update(membership: Membership) {
        announcements = membership.upstreams.associateBy { it.upstream }
    }

    override fun report(
        upstream: UpstreamId,
        load: UpstreamLoad,
    ) {
        announcements[upstream]?.let { announcements = announcements + (upstream to it.copy(load = load)) }
    }

    override fun choose(
        configuration: Configuration,
        request: ChoiceRequest,
    ): Result<Announcement, Failure> {
        val serving =
            announcements.values.filter {
                request.version in it.versions && configuration.inService(it.upstream, it.zone)
            }
        if (serving.isEmpty()) return Err(ErrorKind.NoHealthyUpstream.notRun())
        val available = serving.filter { it.upstream !in request.excluded }
        return if (available.isEmpty()) Err(ErrorKind.PoolExhausted.notRun()) else Ok(select(available, choiceNumber++))
    }

    override fun started(
        upstream: UpstreamId,
        tokens: Long,
    ) = Unit

    override fun finished(
        upstream: UpstreamId,
        tokens: Long,
        healthy: Boolean,
    ) = Unit
}
