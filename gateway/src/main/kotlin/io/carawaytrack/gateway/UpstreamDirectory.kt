/*
 * The upstreams known to one host and the selection among them. A request may be sent to the upstreams of its pool that
 * are neither leaving nor in an evacuated zone and that run the version which a roll-out assigns to its session.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.Catalog
import io.carawaytrack.fleet.CatalogPool
import io.carawaytrack.fleet.Deregistration
import io.carawaytrack.fleet.FleetRollout
import io.carawaytrack.fleet.FleetRolloutPhase
import io.carawaytrack.fleet.FleetView
import io.carawaytrack.fleet.HostFigures
import io.carawaytrack.fleet.KnownUpstream
import io.carawaytrack.gateway.placement.EnginePools
import io.carawaytrack.gateway.placement.ZoneCrossing
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.ZoneName
import io.carawaytrack.routing.load.PoolOutlook

/** Part of a pool's cold request rate that all hosts use together; the margin absorbs their uneven timing. */
private const val COLD_RATE_RATIO = 0.8

/** Number of rate-limited upstreams that are tried for a request before only those without a limit are considered. */
private const val MAX_RATE_LIMITED_CHOICES = 3

/** Time for which hosts that are no longer heard still count: longer than most partitions last. */
private const val HOST_COUNT_MEMORY_MILLIS = 10_000L

/** Queued requests that a service may have before it counts as full, relative to its slots. */
private const val SERVICE_QUEUE_RATIO = 0.5

/** Queued requests that an engine may have, relative to its slots; engines order their queue by urgency. */
private const val ENGINE_QUEUE_RATIO = 1.0

internal class UpstreamDirectory(
    private val zone: ZoneName,
    private val rollouts: RolloutTracker,
    private val connections: UpstreamConnections,
    crossingCostMillis: Double,
    private val nowMillis: () -> Long,
) {
    private val states = LinkedHashMap<UpstreamId, UpstreamState>()
    private val promptCaches = HashMap<UpstreamId, PromptCacheEstimate>()
    private var view = FleetView()

    private val hostCounts = RecentMaximum(HOST_COUNT_MEMORY_MILLIS, nowMillis)

    /** Pools in which requests are placed by expected time. */
    val enginePools = EnginePools(nowMillis)

    /** Load and limits that the upstreams report. */
    val reports = UpstreamReports(states, enginePools, nowMillis)

    /** Which requests may leave the zone. */
    val zones = ZoneCrossing(zone, crossingCostMillis, enginePools, { states.values.filter(::isInService) }, nowMillis)

    /**
     * Number of hosts that share an upstream's limits. Hosts that are no longer heard still count for a while: they may
     * be cut off from this one only and send on.
     */
    val hosts: Int get() = maxOf(1, hostCounts.value)

    /** Records that this host knows [count] hosts that share the limits, including itself. */
    fun updateHosts(count: Int) = hostCounts.record(count)

    /** Applies the [catalog]; engines of routes with a target below [timeCriticalTargetMillis] are placed by time. */
    fun apply(
        catalog: Catalog,
        timeCriticalTargetMillis: Long,
    ) = enginePools.apply(catalog.pools, catalog.timeCriticalPools(timeCriticalTargetMillis), states.values)

    /** Applies roll-outs and evacuated zones; [coldStartMillis] returns the duration of a pool's cold start. */
    fun apply(
        next: FleetView,
        coldStartMillis: (PoolName) -> Long,
    ) {
        val returnedZones = view.zonesOut - next.zonesOut
        view = next
        rollouts.update(next.rollouts)
        // Upstreams of a zone that returns to service may have become cold without having announced it yet.
        states.values
            .filter { it.upstream.zone in returnedZones }
            .forEach { it.assumeCold(coldStartMillis(it.upstream.pool)) }
    }

    fun rolloutOf(pool: PoolName): FleetRollout? = view.rolloutOf(pool)

    fun update(known: KnownUpstream) {
        val upstream = known.upstream
        val state = states[upstream.id]
        if (state != null &&
            state.upstream.startedAtMillis == upstream.startedAtMillis
        ) {
            return state.applyAnnouncement(known)
        }
        states.values.filter { it.upstream.address == upstream.address || it.upstream.id == upstream.id }.forEach(
            ::drop,
        )
        states[upstream.id] = UpstreamState(known, nowMillis).also(enginePools::add)
        promptCaches[upstream.id] = PromptCacheEstimate(nowMillis)
    }

    /** Removes a departed upstream; returns whether it was known. */
    fun remove(deregistration: Deregistration): Boolean {
        val state = states[deregistration.id] ?: return false
        val startedAtMillis = deregistration.startedAtMillis
        if (startedAtMillis != null && state.upstream.startedAtMillis > startedAtMillis) return false
        drop(state)
        return true
    }

    private fun drop(state: UpstreamState) {
        state.departed = true
        enginePools.remove(state)
        states -= state.upstream.id
        promptCaches -= state.upstream.id
        connections.closeIdle(state.upstream.address)
    }

    /** Returns this host's own figures, for the other hosts. */
    fun takeFigures(): HostFigures = HostFigures(unreadTokens = enginePools.unreadTokens())

    /** Applies the sum of the other hosts' figures. */
    fun applyFigures(others: HostFigures) = enginePools.applyFigures(others.unreadTokens)

    /** Updates the time of the last announcement of each upstream. */
    fun refresh(announcements: Collection<KnownUpstream>) = announcements.forEach { known ->
        states[known.upstream.id]?.takeIf { it.announcedAtMillis < known.announcedAtMillis }?.applyAnnouncement(known)
    }

    fun serves(
        pool: PoolName,
        version: String,
    ): Boolean = states.values.any {
        it.upstream.pool == pool && it.upstream.version == version && !it.upstream.draining && !it.isPaused
    }

    /** Returns whether no upstream can accept the request, now or once it has free capacity. */
    fun hasNoUpstream(
        pool: PoolName,
        affinity: RequestAffinity,
    ): Boolean = eligible(pool, affinity).none { !it.isPaused }

    /** Returns what is expected of the engines of [pool] now; null unless the pool is time-critical. */
    fun outlook(pool: PoolName): PoolOutlook? = enginePools.outlook(pool)

    /** Returns the upstream to which the request is to be sent now, or null while none has free capacity. */
    fun choose(criteria: SelectionCriteria): ChosenUpstream? {
        val available = eligible(criteria.pool.name, criteria.affinity).filter { hasCapacity(it, criteria.pool) }
        val preferred = available.filter { it.upstream.id !in criteria.excluded }
        val timeCritical = outlook(criteria.pool.name) != null
        val usable =
            preferred
                .filter {
                    !it.isSuspect(timeCritical)
                }.ifEmpty { preferred }
                .ifEmpty { if (criteria.allowExcluded) available else preferred }
        return (chooseWithinRate(usable, criteria) ?: cheapest(usable.filter { !it.isRateLimited }, criteria))
            ?.let { place(it, criteria) }
    }

    /** Returns the cheapest of the [usable] upstreams whose rate allows a request, or null after a few were tried. */
    private fun chooseWithinRate(
        usable: List<UpstreamState>,
        criteria: SelectionCriteria,
    ): UpstreamState? {
        var remaining = usable
        repeat(MAX_RATE_LIMITED_CHOICES) {
            val chosen = cheapest(remaining, criteria) ?: return null
            if (isWithinRate(chosen, criteria.pool)) return chosen
            remaining = remaining - chosen
        }
        return null
    }

    private fun isWithinRate(
        state: UpstreamState,
        pool: CatalogPool,
    ): Boolean {
        val coldRate = pool.coldRequestsPerSecond
        val cold = state.isCold && coldRate > 0
        if (cold && !state.tryColdStart(coldRate * COLD_RATE_RATIO / hosts)) return false
        return state.tryLimited(hosts)
    }

    private fun place(
        state: UpstreamState,
        criteria: SelectionCriteria,
    ): ChosenUpstream {
        val work = enginePools.place(state, criteria)
        promptCaches[state.upstream.id]?.recordRead(criteria.demand, criteria.model)
        return ChosenUpstream(state, work)
    }

    private fun cheapest(
        usable: List<UpstreamState>,
        criteria: SelectionCriteria,
    ): UpstreamState? {
        val considered = zones.considered(usable, criteria)
        return if (enginePools.isTimeCritical(criteria.pool.name)) {
            enginePools.cheapest(usable, criteria, promptCaches, considered, ::penaltyOf)
        } else {
            selectCandidate(considered.map { candidate(it, criteria) }, criteria.demand)?.let { states[it.id] }
        }
    }

    private fun penaltyOf(state: UpstreamState): Double = zones.costMillis(state) +
        penaltyMillis(state.upstream.zone == zone, state.failureRatio, nowMillis() - state.announcedAtMillis)

    private fun candidate(
        state: UpstreamState,
        criteria: SelectionCriteria,
    ) = Candidate(
        id = state.upstream.id,
        sameZone = state.upstream.zone == zone,
        load = state.estimatedLoad(),
        slots = state.upstream.slots,
        engine = criteria.pool.engine != null,
        cachedParts = promptCaches[state.upstream.id]?.cachedPartsOf(criteria.demand, criteria.model).orEmpty(),
        failureRatio = state.failureRatio,
        sinceAnnouncementMillis = nowMillis() - state.announcedAtMillis,
        pace = if (criteria.pool.engine == null) state.pace.ratioAt(nowMillis()) else 1.0,
        crossingCostMillis = zones.costMillis(state),
    )

    private fun hasCapacity(
        state: UpstreamState,
        pool: CatalogPool,
    ): Boolean {
        if (state.isPaused || state.isFull) return false
        val queueRatio = if (pool.engine == null) SERVICE_QUEUE_RATIO else ENGINE_QUEUE_RATIO
        return state.estimatedLoad() < state.upstream.slots * (1 + queueRatio)
    }

    /** Returns the upstreams that may execute a request with [affinity]. */
    private fun eligible(
        pool: PoolName,
        affinity: RequestAffinity,
    ): List<UpstreamState> {
        val inService = states.values.filter { it.upstream.pool == pool && isInService(it) }
        val rollout = view.rolloutOf(pool) ?: return inService
        val (new, old) = inService.partition { it.upstream.version == rollout.target }
        return when (rollout.phase) {
            FleetRolloutPhase.Completed -> new.ifEmpty { old }
            FleetRolloutPhase.RolledBack -> old
            FleetRolloutPhase.Running ->
                if (rollouts.usesNewVersion(rollout, affinity) &&
                    new.any { !it.isPaused }
                ) {
                    new
                } else {
                    old
                }
        }
    }

    private fun isInService(state: UpstreamState) = !state.isLeaving && state.upstream.zone !in view.zonesOut
}
