/*
 * Work that organisations were admitted recently, on this host and on the others. It addresses an organisation that
 * sends several times its usual load through all hosts of a fleet: each host sees only a small part of its work, so the
 * hosts add up what they admitted. Work is comparable only within one pool and rank, its scope.
 */
package io.carawaytrack.limits

import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.PoolName
import kotlin.math.roundToLong

/** Time over which admitted work counts. */
public const val ADMITTED_WORK_MILLIS: Long = 2_000

/** Age at which the figures of other hosts no longer count: three intervals of the exchange. */
private const val FIGURES_VALID_MILLIS = 1_200L

/** Maximum number of figures that a host shares; the largest ones are kept. */
private const val MAX_SHARED_FIGURES = 256

/** Separates the parts of a shared key; names do not contain control characters. */
private const val KEY_SEPARATOR = '\u001f'

private const val KEY_PARTS = 3

/** Requests that are compared with each other: those of one [rank] to one [pool]. */
public data class ShareScope(
    val pool: PoolName,
    val rank: Int,
)

/** Admitted work by scope and organisation. Not thread-safe. */
public class AdmittedWork(
    private val nowMillis: () -> Long,
) {
    private val ownByScope = HashMap<ShareScope, RecentSums<OrganisationName>>()
    private var othersByScope: Map<ShareScope, Map<OrganisationName, Double>> = emptyMap()
    private var othersAtMillis = 0L

    /** Records that a request of [organisation] with this amount of [work] was sent to an upstream. */
    public fun record(
        scope: ShareScope,
        organisation: OrganisationName,
        work: Double,
    ): Unit = ownByScope
        .getOrPut(scope) { RecentSums(ADMITTED_WORK_MILLIS, nowMillis) }
        .record(organisation, work)

    /** Returns the recent work of this host alone in [scope] by organisation. */
    public fun ownOf(scope: ShareScope): Map<OrganisationName, Double> = ownByScope[scope]?.all().orEmpty()

    /** Returns the recent work in [scope] by organisation, over all hosts as far as their figures are fresh. */
    public fun of(scope: ShareScope): Map<OrganisationName, Double> {
        val own = ownOf(scope)
        val others = othersByScope.takeIf { nowMillis() - othersAtMillis < FIGURES_VALID_MILLIS }?.get(scope)
        if (others == null) return own
        return others + own.mapValues { (organisation, work) -> work + (others[organisation] ?: 0.0) }
    }

    /**
     * Returns the work that this host admitted, in the form in which hosts share it. The keys name pool, rank and
     * organisation, since the sum of an organisation's prompt tokens and calls means nothing.
     */
    public fun shared(): Map<OrganisationName, Long> = ownByScope
        .flatMap { (scope, sums) ->
            sums.all().map { (organisation, work) -> sharedKey(scope, organisation) to work.roundToLong() }
        }.filter { it.second > 0 }
        .sortedByDescending { it.second }
        .take(MAX_SHARED_FIGURES)
        .toMap()

    /** Replaces the work that the other hosts admitted; figures in another form than [shared] returns do not count. */
    public fun applyOthers(others: Map<OrganisationName, Long>) {
        val parsed = HashMap<ShareScope, HashMap<OrganisationName, Double>>()
        others.forEach { (key, work) ->
            val parts = key.value.split(KEY_SEPARATOR)
            val rank = parts.getOrNull(1)?.toIntOrNull()
            if (parts.size == KEY_PARTS && rank != null && work > 0) {
                parsed
                    .getOrPut(ShareScope(PoolName(parts.first()), rank), ::HashMap)
                    .merge(OrganisationName(parts.last()), work.toDouble(), Double::plus)
            }
        }
        othersByScope = parsed
        othersAtMillis = nowMillis()
    }

    private fun sharedKey(
        scope: ShareScope,
        organisation: OrganisationName,
    ) = OrganisationName("${scope.pool}$KEY_SEPARATOR${scope.rank}$KEY_SEPARATOR$organisation")
}
