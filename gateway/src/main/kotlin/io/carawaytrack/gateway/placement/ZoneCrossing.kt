/*
 * Which requests of this host may leave its zone. This is decided for time-critical pools of engines and for services
 * whose upstreams state their momentary slowness; the requests to all other pools may go anywhere.
 *
 * The share of the requests that may leave concerns the wait for an upstream. An engine elsewhere that has parts of the
 * prompt cached is considered in any case, because reading them again at home takes time from all requests there.
 */
package io.carawaytrack.gateway.placement

import io.carawaytrack.gateway.SelectionCriteria
import io.carawaytrack.gateway.UpstreamState
import io.carawaytrack.gateway.logEvent
import io.carawaytrack.gateway.penaltyMillis
import io.carawaytrack.gateway.serviceCallMillis
import io.carawaytrack.gateway.unitHash
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.ZoneName
import io.carawaytrack.routing.zones.CROSSING_INTERVAL_MILLIS
import io.carawaytrack.routing.zones.CrossingShare
import io.carawaytrack.routing.zones.ZoneLoad
import io.carawaytrack.routing.zones.representativeMillis
import kotlin.math.abs

/** Latency that a request sees which leaves the zone, until it is measured. */
private const val DEFAULT_CROSSING_MILLIS = 1.0

/** Change of the share that is logged. */
private const val LOGGED_CHANGE = 0.1

private const val LOG_PRECISION = 100.0

/** Decides for the upstreams that are [inService]. */
internal class ZoneCrossing(
    private val zone: ZoneName,
    private val costMillis: Double,
    private val enginePools: EnginePools,
    private val inService: () -> Collection<UpstreamState>,
    private val nowMillis: () -> Long,
) {
    private class Pool {
        val crossing = CrossingShare()
        var loggedShare = 0.0
    }

    private val pools = HashMap<PoolName, Pool>()
    private var updatedAtMillis = Long.MIN_VALUE / 2

    /** Measured latency that a request sees which leaves the zone; null while it is unknown. */
    var crossingMillis: Double? = null

    /** Share of the requests that may leave, by pool. */
    val shares: Map<PoolName, Double> get() = pools.mapValues { it.value.crossing.share }

    /** Returns the operator's price of a request to [state]. */
    fun costMillis(state: UpstreamState): Double =
        if (costMillis > 0 && !isHome(state) && state.upstream.pool in pools) costMillis else 0.0

    /**
     * Returns those of the [usable] upstreams that a request may wait for. A session keeps its side as long as the
     * share does not pass its hash.
     */
    fun considered(
        usable: List<UpstreamState>,
        criteria: SelectionCriteria,
    ): List<UpstreamState> {
        val pool = pools[criteria.pool.name] ?: return usable
        if (pool.crossing.mayLeave(unitHash("zone/${criteria.affinity.key}"))) return usable
        return usable.filter(::isHome).ifEmpty { usable }
    }

    /** Adapts the shares to the load of the upstreams; to be called several times a second. */
    fun update() {
        if (nowMillis() - updatedAtMillis < CROSSING_INTERVAL_MILLIS) return
        updatedAtMillis = nowMillis()
        val deciding =
            inService().groupBy { it.upstream.pool }.filter { (pool, states) ->
                enginePools.isTimeCritical(pool) || states.any { it.pace.isStated }
            }
        pools.keys.retainAll(deciding.keys)
        deciding.forEach { (name, states) -> update(name, states) }
    }

    private fun update(
        name: PoolName,
        states: List<UpstreamState>,
    ) {
        val (home, away) =
            states.filter { !it.isPaused && !it.isFull && !it.isSuspectedUnhealthy }.partition(::isHome)
        val load =
            ZoneLoad(
                homeMillis = representativeMillis(home.map(::expectedMillis)),
                awayMillis = representativeMillis(away.map(::expectedMillis)),
                crossingMillis = crossingMillis ?: DEFAULT_CROSSING_MILLIS,
                costMillis = costMillis,
            )
        val pool = pools.getOrPut(name) { Pool() }
        pool.crossing.update(load, nowMillis())
        logIfChanged(name, pool, load)
    }

    private fun logIfChanged(
        name: PoolName,
        pool: Pool,
        load: ZoneLoad,
    ) {
        val share = pool.crossing.share
        if (abs(share - pool.loggedShare) <= LOGGED_CHANGE) return
        pool.loggedShare = share
        logEvent(
            "zone_crossing",
            mapOf(
                "pool" to name.value,
                "share" to Math.round(share * LOG_PRECISION) / LOG_PRECISION,
                "reason" to pool.crossing.reason.name,
                "homeMillis" to load.homeMillis.toLoggedMillis(),
                "awayMillis" to load.awayMillis.toLoggedMillis(),
                "crossingMillis" to load.crossingMillis,
                "costMillis" to load.costMillis,
            ),
        )
    }

    private fun expectedMillis(state: UpstreamState): Double {
        val now = nowMillis()
        val workMillis =
            enginePools.typicalMillis(state)
                ?: serviceCallMillis(state.estimatedLoad(), state.upstream.slots, state.pace.ratioAt(now))
        // Announcements of a zone that is cut off are overdue.
        return workMillis + penaltyMillis(sameZone = true, state.failureRatio, now - state.announcedAtMillis)
    }

    private fun isHome(state: UpstreamState) = state.upstream.zone == zone
}

/** Returns the time in whole milliseconds; null if there is no usable upstream. */
private fun Double.toLoggedMillis(): Long? = if (isFinite()) Math.round(this) else null
