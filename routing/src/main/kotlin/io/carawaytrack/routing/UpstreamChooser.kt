/*
 * The second decision that an entry takes: which upstream gets the next attempt. What agents report of an upstream's
 * load is always late, so the reports are corrected by the attempts that this entry started and ended since. State is
 * kept in shards by upstream, each under its own lock.
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

    /**
     * Takes in a load that an agent sent along with an answer or a refusal; the attempt that it ended is no longer in
     * it, so [finished] goes first.
     */
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

/**
 * Tunes the choice of upstreams.
 *
 * @property retryAfterMillis hint given when every upstream of a version is full
 * @property crossZonePenaltyTokensPerPermit outstanding tokens for each permit by which an upstream in another zone must be less
 * busy to be taken before a local one
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
        if (serving.isEmpty()) return Err(ErrorKind.NoHealthyUpstream.notRun(noneDetail(request.version)))
        val free = serving.filter { it.hasRoom && it.announcement.upstream !in request.excluded }
        if (free.isEmpty()) return Err(exhausted(request.version, serving.size))
        return Ok(leastOutstanding(free.filter { it.healthy }.ifEmpty { free }).announcement)
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
        val least = candidates.minOf(::burden)
        val ties = candidates.filter { burden(it) == least }
        return ties[random.nextInt(ties.size)]
    }

    private fun burden(candidate: UpstreamView): Double {
        val isLocal = candidate.announcement.zone == zone
        return candidate.tokensPerPermit + if (isLocal) 0.0 else settings.crossZonePenaltyTokensPerPermit
    }

    private fun noneDetail(version: ModelVersion) =
        "expected an upstream in service that serves $version, known are ${table.size}, none fits"

    private fun exhausted(
        version: ModelVersion,
        serving: Int,
    ): Failure = ErrorKind.PoolExhausted.notRun(
        detail = "expected room on an upstream that serves $version, all $serving are full or have refused",
        retryAfterMillis = settings.retryAfterMillis,
    )
}
