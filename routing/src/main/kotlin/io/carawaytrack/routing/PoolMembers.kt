/*
 * Selection of the pool members that may run a request: members of the pool and of the pools it includes, allowed for
 * the organisation, in a state that accepts the request, and not reserved for a roll-out that has not reached them.
 */
package io.carawaytrack.routing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.PoolMember
import io.carawaytrack.model.Rollout
import io.carawaytrack.model.RolloutPhase
import io.carawaytrack.model.VersionState
import io.carawaytrack.model.membersOf
import io.carawaytrack.model.notRun
import kotlin.random.Random

private const val ALL_PERCENT = 100

/** Holds the members that may run one request, and the roll-outs between them. */
internal class EligibleMembers(
    val members: List<PoolMember>,
    private val replacements: Map<ModelVersion, Replacement>,
    private val evaluated: Set<ModelVersion>,
) {
    /** Returns [plan] with the version of each step replaced for the percentage of requests set by its roll-out. */
    fun withRollouts(
        plan: Plan,
        random: Random,
    ): Plan = withRatingRequests(Plan(plan.steps.map { it.copy(version = replacementFor(it.version, random)) }))

    /** Returns [plan] with ratings requested for every step whose version is the target of an active roll-out. */
    fun withRatingRequests(plan: Plan): Plan = Plan(plan.steps.map { it.copy(rateAnswer = it.version in evaluated) })

    private fun replacementFor(
        version: ModelVersion,
        random: Random,
    ): ModelVersion {
        val replacement = replacements[version] ?: return version
        return if (random.nextInt(ALL_PERCENT) < replacement.percent) replacement.version else version
    }
}

/** Describes the version that receives [percent] of the new requests planned for another version. */
internal class Replacement(
    val version: ModelVersion,
    val percent: Int,
)

/** Returns the members that may run [request]; when the request is pinned, only the pinned version. */
internal fun eligibleMembers(
    configuration: Configuration,
    request: PlanRequest,
): Result<EligibleMembers, Failure> {
    val members = configuration.tables.membersOf(request.route.pool)
    if (request.pinned != null) return pinnedMember(configuration, request, request.pinned, members)
    val allowed = members.filter { request.organisation.allows(it.version) }
    if (allowed.isEmpty()) return Err(notAllowed(request))
    val serving = allowed.filter { configuration.stateOf(it.version) == VersionState.Serving }
    if (serving.isEmpty()) return Err(noneServing(request, allowed))
    val rollouts = configuration.rollouts.filter { it.pool == request.route.pool }
    return Ok(applyRollouts(rollouts, serving, request.fullVersions))
}

/** Draws one of [members] in proportion to their weights. */
internal fun drawByWeight(
    members: List<PoolMember>,
    random: Random,
): PoolMember {
    if (members.size == 1) return members.first()
    val total = members.sumOf { it.weight.coerceAtLeast(0) }
    if (total == 0) return members.first()
    var remaining = random.nextInt(total)
    return members.first { member ->
        remaining -= member.weight.coerceAtLeast(0)
        remaining < 0
    }
}

private fun pinnedMember(
    configuration: Configuration,
    request: PlanRequest,
    pinned: ModelVersion,
    members: List<PoolMember>,
): Result<EligibleMembers, Failure> {
    if (!request.organisation.allows(pinned)) return Err(notAllowed(request))
    val member = members.firstOrNull { it.version == pinned }
    if (member == null || configuration.stateOf(pinned) == VersionState.Withdrawn) {
        return Err(ErrorKind.SessionVersionWithdrawn.notRun("the session runs on $pinned, which is withdrawn"))
    }
    return Ok(EligibleMembers(listOf(member), emptyMap(), evaluated(configuration.rollouts)))
}

private fun applyRollouts(
    rollouts: List<Rollout>,
    serving: List<PoolMember>,
    fullVersions: Set<ModelVersion>,
): EligibleMembers {
    val versions = serving.map { it.version }.toSet()
    val replacements = LinkedHashMap<ModelVersion, Replacement>()
    for (rollout in rollouts) {
        if (rollout.to in versions && rollout.from in versions) {
            replacements[rollout.from] = Replacement(rollout.to, shareOf(rollout))
        }
    }
    val targets = replacements.values.map { it.version }.toSet()
    val direct = serving.filter { it.version !in targets }.ifEmpty { serving }
    val available = direct.filter { it.version !in fullVersions }
    return EligibleMembers(
        available.ifEmpty { direct },
        replacements.filterValues { it.version !in fullVersions },
        evaluated(rollouts),
    )
}

private fun evaluated(rollouts: List<Rollout>): Set<ModelVersion> =
    rollouts.filter { it.phase == RolloutPhase.Running || it.phase == RolloutPhase.Paused }.map { it.to }.toSet()

private fun shareOf(rollout: Rollout): Int = when (rollout.phase) {
    RolloutPhase.Running, RolloutPhase.Paused -> rollout.percent
    RolloutPhase.Completed -> ALL_PERCENT
    RolloutPhase.RolledBack -> 0
}

private fun notAllowed(request: PlanRequest): Failure = ErrorKind.NotAllowed.notRun(
    "organisation ${request.organisation.name} is not allowed any version of pool ${request.route.pool}",
)

private fun noneServing(
    request: PlanRequest,
    allowed: List<PoolMember>,
): Failure = ErrorKind.NoHealthyUpstream.notRun(
    "pool ${request.route.pool} has ${allowed.size} allowed versions, none of them accepts new requests",
)
