/*
 * Load balancing, the second decision of an entry: which upstream receives the next attempt. The load that agents
 * report is always out of date, so it is corrected by the attempts that this entry has started and finished since. The
 * state is sharded by upstream, with one lock for each shard.
 */
package io.carawaytrack.routing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.carawaytrack.model.Announcement
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.Membership
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.model.ZoneName
import io.carawaytrack.model.notRun
import kotlin.random.Random

/**
 * Describes an attempt for which an upstream is to be chosen.
 *
 * @property allowed upstreams to choose from; empty for all
 * @property excluded upstreams that have already refused or failed the request
 */
public data class ChoiceRequest(
    val version: ModelVersion,
    val estimatedTokens: Long = 0,
    val prefixHash: Long? = null,
    val allowed: List<UpstreamId> = emptyList(),
    val excluded: Set<UpstreamId> = emptySet(),
)

/** Chooses an upstream for each attempt, based on the announced load corrected by the entry's own attempts. */
public interface UpstreamChooser {
    /** Replaces the announced upstreams, or adds to them when [membership] is not [complete][Membership.complete]. */
    public fun update(membership: Membership)

    /**
     * Updates the load of [upstream] from what its agent sent with an answer or a refusal. The load no longer includes
     * the attempt that ended with it, so [finished] must be called first.
     */
    public fun report(
        upstream: UpstreamId,
        load: UpstreamLoad,
    )

    /**
     * Returns the upstream to use. Fails with `NoHealthyUpstream` when no upstream that serves the version is in
     * service, and with `PoolExhausted` and a retry hint when all of them are full or excluded.
     */
    public fun choose(
        configuration: Configuration,
        request: ChoiceRequest,
    ): Result<Announcement, Failure>

    /** Records that an attempt of [tokens] estimated tokens was sent to [upstream]. */
    public fun started(
        upstream: UpstreamId,
        tokens: Long,
    )

    /** Records that an attempt ended; [healthy] is false when the upstream itself failed. */
    public fun finished(
        upstream: UpstreamId,
        tokens: Long,
        healthy: Boolean,
    )
}

/**
 * Configures the choice of upstreams.
 *
 * @property crossZonePenaltyTokensPerPermit outstanding tokens for each permit that are added to the load of an
 * upstream in another zone, so that it is preferred to a local one only when it is less loaded by more than that
 * @property retryAfterMillis retry hint when every upstream of a version is full
 */
public data class ChooserSettings(
    val crossZonePenaltyTokensPerPermit: Double = 30.0,
    val retryAfterMillis: Long = 1_000,
)

/** Creates a chooser for an entry in [zone]. */
public fun UpstreamChooser(
    zone: ZoneName,
    nowMillis: () -> Long,
    random: Random,
    settings: ChooserSettings = ChooserSettings(),
): UpstreamChooser = LeastOutstandingChooser(zone, LockedRandom(random), settings, UpstreamTable(nowMillis))

private class LeastOutstandingChooser(
    private val zone: ZoneName,
    private val random: Random,
    private val settings: ChooserSettings,
    private val table: UpstreamTable,
) : UpstreamChooser {
    override fun update(membership: Membership) = table.update(membership)

    override fun report(
        upstream: UpstreamId,
        load: UpstreamLoad,
    ) = table.report(upstream, load)

    override fun choose(
        configuration: Configuration,
        request: ChoiceRequest,
    ): Result<Announcement, Failure> {
        val serving =
            table.candidates(
                inService = { configuration.inService(it.upstream, it.zone) },
                accepts = { serves(request, it) },
            )
        if (serving.isEmpty()) return Err(ErrorKind.NoHealthyUpstream.notRun(noneInServiceDetail(request.version)))
        val available = serving.filter { it.hasCapacity && it.announcement.upstream !in request.excluded }
        if (available.isEmpty()) return Err(exhausted(request.version, serving.size))
        return Ok(leastOutstanding(available.filter { it.healthy }.ifEmpty { available }).announcement)
    }

    override fun started(
        upstream: UpstreamId,
        tokens: Long,
    ) = table.started(upstream, tokens)

    override fun finished(
        upstream: UpstreamId,
        tokens: Long,
        healthy: Boolean,
    ) = table.finished(upstream, tokens, healthy)

    private fun serves(
        request: ChoiceRequest,
        announcement: Announcement,
    ): Boolean {
        if (announcement.leaving || request.version !in announcement.versions) return false
        return request.allowed.isEmpty() || announcement.upstream in request.allowed
    }

    private fun leastOutstanding(candidates: List<UpstreamView>): UpstreamView {
        val least = candidates.minOf(::loadScore)
        val ties = candidates.filter { loadScore(it) == least }
        return ties[random.nextInt(ties.size)]
    }

    private fun loadScore(candidate: UpstreamView): Double {
        val isLocal = candidate.announcement.zone == zone
        return candidate.tokensPerPermit + if (isLocal) 0.0 else settings.crossZonePenaltyTokensPerPermit
    }

    private fun noneInServiceDetail(version: ModelVersion) =
        "expected an upstream in service that serves $version, got none among ${table.size} announced upstreams"

    private fun exhausted(
        version: ModelVersion,
        serving: Int,
    ): Failure = ErrorKind.PoolExhausted.notRun(
        detail = "expected free capacity on an upstream that serves $version, all $serving are full or have refused",
        retryAfterMillis = settings.retryAfterMillis,
    )
}
