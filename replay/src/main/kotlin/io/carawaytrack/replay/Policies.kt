/*
 * The policies that a replay compares: the decision code as it stands, its first version, and the usual simple rules.
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

/** Makes the decision code of one entry. */
internal data class Policy(
    val name: String,
    val planner: (Random) -> Planner,
    val chooser: (ZoneName, () -> Long, Random) -> UpstreamChooser,
    val rolloutRule: RolloutRule = sequentialRule,
)

private val currentPlanner = { random: Random -> Planner(random) }
private val currentChooser =
    { zone: ZoneName, nowMillis: () -> Long, random: Random -> UpstreamChooser(zone, nowMillis, random) }

/** Takes the operator's expected qualities as they are, so that nothing is learned and no cascade is planned. */
private val thinSettings =
    PlannerSettings(
        priorRatings = 1e12,
        provenAfterRatings = 0,
        newVersionShare = 0.0,
        recheckShare = 0.0,
        promisingShare = 0.0,
        cascadesEnabled = false,
    )

/** Leaves the entry's own zone only when nothing there has room, as the chooser first did. */
private val localFirstSettings = ChooserSettings(crossZonePenaltyTokensPerPermit = 1e12)

internal val currentPolicy = Policy("current", currentPlanner, currentChooser)

internal val policies: List<Policy> =
    listOf(
        currentPolicy,
        Policy("fixed-window", currentPlanner, currentChooser, fixedWindowRule),
        Policy("thin", { thinPlanner(it) }, currentChooser),
        Policy("strongest", { thinPlanner(it, UNREACHABLE_TARGET) }, currentChooser),
        Policy("cheapest", { thinPlanner(it, target = 0.0) }, currentChooser),
        Policy(
            name = "local-first",
            planner = currentPlanner,
            chooser = { zone, nowMillis, random -> UpstreamChooser(zone, nowMillis, random, localFirstSettings) },
        ),
        Policy(
            name = "round-robin",
            planner = currentPlanner,
            chooser = { _, _, _ -> ReportedLoadChooser { candidates, turn -> candidates[turn % candidates.size] } },
        ),
        Policy(
            name = "least-outstanding",
            planner = currentPlanner,
            chooser = { _, _, _ -> ReportedLoadChooser { candidates, _ -> candidates.minBy { it.load.queuedTokens } } },
        ),
    )

private const val UNREACHABLE_TARGET = 2.0

/** Creates a planner that learns nothing, sees no full version and aims at [target], or the route's when it is null. */
private fun thinPlanner(
    random: Random,
    target: Double? = null,
): Planner {
    val planner = Planner(random, thinSettings)
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

/** Chooses by what agents have reported and nothing else; [pick] gets the candidates and the number of the turn. */
private class ReportedLoadChooser(
    private val pick: (List<Announcement>, Int) -> Announcement,
) : UpstreamChooser {
    private var known: Map<UpstreamId, Announcement> = emptyMap()
    private var turn = 0

    override fun update(membership: Membership) {
        known = membership.upstreams.associateBy { it.upstream }
    }

    override fun report(
        upstream: UpstreamId,
        load: UpstreamLoad,
    ) {
        known[upstream]?.let { known = known + (upstream to it.copy(load = load)) }
    }

    override fun choose(
        configuration: Configuration,
        request: ChoiceRequest,
    ): Result<Announcement, Failure> {
        val serving =
            known.values.filter { request.version in it.versions && configuration.inService(it.upstream, it.zone) }
        if (serving.isEmpty()) return Err(ErrorKind.NoHealthyUpstream.notRun())
        val free = serving.filter { it.upstream !in request.excluded }
        return if (free.isEmpty()) Err(ErrorKind.PoolExhausted.notRun()) else Ok(pick(free, turn++))
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
