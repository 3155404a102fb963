/*
 * The pools of engines in which requests are placed by the expected time to their first event. A pool is one of them
 * while it serves a streaming route with a short latency target, and from when one of its engines states its momentary
 * slowness.
 */
package io.carawaytrack.gateway.placement

import com.dynatrace.hash4j.hashing.Hashing
import io.carawaytrack.fleet.CatalogPool
import io.carawaytrack.gateway.EnginePoolLoad
import io.carawaytrack.gateway.PromptCacheEstimate
import io.carawaytrack.gateway.SelectionCriteria
import io.carawaytrack.gateway.UpstreamState
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.routing.load.PlacedWork
import io.carawaytrack.routing.load.PlacementRound
import io.carawaytrack.routing.load.PoolForecast
import io.carawaytrack.routing.load.PoolOutlook
import io.carawaytrack.routing.load.PromptWork

/** Prompt tokens of a request that states none. */
private const val DEFAULT_PROMPT_TOKENS = 500

internal class EnginePools(
    private val nowMillis: () -> Long,
) {
    private class Pool(
        val forecast: PoolForecast,
    ) {
        val round = PlacementRound(forecast.rates)
    }

    private val pools = HashMap<PoolName, Pool>()
    private var catalogPools = emptyMap<PoolName, CatalogPool>()
    private var urgentPools = emptySet<PoolName>()
    private val statingPools = HashSet<PoolName>()

    /** Load of the engines by pool. */
    val loads: Map<PoolName, EnginePoolLoad>
        get() = pools.mapValues { (_, pool) -> EnginePoolLoad(pool.forecast.unreadTokens, pool.forecast.meanPace) }

    fun outlook(pool: PoolName): PoolOutlook? = pools[pool]?.forecast

    fun isTimeCritical(pool: PoolName): Boolean = pool in pools

    /** Returns whether an upstream of [pool], also of a pool of services, has stated its momentary slowness. */
    fun statesPace(pool: PoolName): Boolean = pool in statingPools

    /** Applies the [catalog] of pools, of which the [urgent] ones serve a route with a short latency target. */
    fun apply(
        catalog: Map<PoolName, CatalogPool>,
        urgent: Set<PoolName>,
        states: Collection<UpstreamState>,
    ) {
        catalogPools = catalog
        urgentPools = urgent
        update(states)
    }

    /** Records that [state] stated its momentary slowness. */
    fun paceStated(
        state: UpstreamState,
        states: Collection<UpstreamState>,
    ) {
        if (statingPools.add(state.upstream.pool)) update(states)
    }

    private fun update(states: Collection<UpstreamState>) {
        val wanted = (urgentPools + statingPools).filterTo(HashSet()) { catalogPools[it]?.engine != null }
        pools.keys.retainAll(wanted)
        (wanted - pools.keys).forEach { name ->
            val prices =
                catalogPools[name]
                    ?.engine
                    ?.models
                    .orEmpty()
                    .associate { it.model to it.costPerKiloToken }
            pools[name] = Pool(PoolForecast(prices, nowMillis))
            states.filter { it.upstream.pool == name }.forEach(::add)
        }
        states.filter { it.upstream.pool !in pools }.forEach { it.engine = null }
    }

    /** Tracks the work of [state], which is new or has restarted. */
    fun add(state: UpstreamState) {
        val upstream = state.upstream
        val forecast = pools[upstream.pool]?.forecast ?: return
        state.engine = forecast.add(upstream.id, upstream.slots, state.pace) { acceptedLoad(state) }
    }

    private fun acceptedLoad(state: UpstreamState): Int {
        val accepts = !state.upstream.draining && !state.isPaused && !state.isFull && !state.isSuspectedUnhealthy
        return if (accepts) state.estimatedLoad() else -1
    }

    fun remove(state: UpstreamState) {
        state.engine = null
        pools[state.upstream.pool]?.forecast?.remove(state.upstream.id)
    }

    /** Returns the cheapest of the [usable] upstreams; [penaltyMillis] returns the cost apart from the work. */
    fun cheapest(
        usable: List<UpstreamState>,
        criteria: SelectionCriteria,
        caches: Map<UpstreamId, PromptCacheEstimate>,
        penaltyMillis: (UpstreamState) -> Double,
    ): UpstreamState? {
        val round = pools[criteria.pool.name]?.round ?: return null
        val demand = criteria.demand
        val shared = demand.sharedParts
        val keys = shared.map { PromptCacheEstimate.keyOf(it, criteria.model) }
        val sharedTokens = shared.sumOf { it.tokens }
        round.clear()
        val added = ArrayList<UpstreamState>(usable.size)
        for (state in usable) {
            val engine = state.engine ?: continue
            val cached = caches[state.upstream.id]?.cachedTokens(shared, keys) ?: 0
            round.add(engine, state.estimatedLoad(), cached, penaltyMillis(state))
            added += state
        }
        val prefixHash = demand.sharedPrefixId?.let { Hashing.komihash5_0().hashCharsToLong(it) } ?: 0L
        val prompt = if (demand.promptTokens > 0) demand.promptTokens else maxOf(DEFAULT_PROMPT_TOKENS, sharedTokens)
        val index =
            round.choose(
                PromptWork(prompt, demand.outputTokens, criteria.model, criteria.urgency),
                sharedTokens,
                prefixHash,
                nowMillis(),
            )
        return added.getOrNull(index)
    }

    /** Records that the request is sent to [state], which [cheapest] returned last; null unless time-critical. */
    fun place(
        state: UpstreamState,
        criteria: SelectionCriteria,
    ): PlacedWork? {
        val pool = pools[criteria.pool.name] ?: return null
        val engine = state.engine ?: return null
        val unread = pool.round.chosenUnreadTokens
        val work = PromptWork(unread, criteria.demand.outputTokens, criteria.model, criteria.urgency)
        return pool.forecast.place(engine, work, state.estimatedLoad())
    }

    /** Updates the averages of the pools. */
    fun tick() = pools.values.forEach { it.forecast.update() }

    /** Returns this host's own unread tokens by engine. */
    fun unreadTokens(): Map<UpstreamId, Long> {
        val unread = HashMap<UpstreamId, Long>()
        pools.values.forEach { it.forecast.collectUnread(unread) }
        return unread
    }

    /** Applies the unread tokens that the other hosts have on the engines. */
    fun applyFigures(unreadTokens: Map<UpstreamId, Long>) =
        pools.values.forEach { it.forecast.applyFigures(unreadTokens) }
}
