/*
 * The upstreams as one host sees them, and which of them may take a request: those of its pool that are neither leaving
 * nor in a zone that is out, of the version that a roll-out gives to its session.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CatalogPool
import io.carawaytrack.fleet.Deregistration
import io.carawaytrack.fleet.FleetRollout
import io.carawaytrack.fleet.FleetRolloutPhase
import io.carawaytrack.fleet.FleetView
import io.carawaytrack.fleet.KnownUpstream
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.ZoneName

/** Part of the cold rate that the hosts use together, so that their uneven moments stay within what is borne. */
private const val COLD_RATE_PART = 0.8

/** Requests beyond its slots that a service may have before it counts as taken, as a part of the slots. */
private const val QUEUED_PART = 0.5

/** Requests beyond its slots that an engine, which orders them by urgency, may have, as a part of the slots. */
private const val ENGINE_QUEUED_PART = 1.0

/** Describes what a request needs of an upstream. */
internal class UpstreamNeed(
    val pool: CatalogPool,
    val session: String,
    val demand: PromptDemand,
    val model: String,
    val avoided: Set<UpstreamId>,
    val mayReturn: Boolean,
)

internal class UpstreamDirectory(
    private val zone: ZoneName,
    private val rollouts: RolloutWatch,
    private val connections: UpstreamConnections,
    private val nowMillis: () -> Long,
) {
    private val states = LinkedHashMap<UpstreamId, UpstreamState>()
    private val prompts = HashMap<UpstreamId, PromptMemory>()
    private var view = FleetView()

    /** Hosts among which an upstream's limits are divided. */
    var hosts = 1

    /** Takes in roll-outs and zones that are out; [coldStartMillis] tells a pool's cold start. */
    fun apply(
        next: FleetView,
        coldStartMillis: (PoolName) -> Long,
    ) {
        val returned = view.zonesOut - next.zonesOut
        view = next
        rollouts.update(next.rollouts)
        // What comes back may have become cold meanwhile without having said so yet.
        states.values
            .filter { it.upstream.zone in returned }
            .forEach { it.doubtWarmth(coldStartMillis(it.upstream.pool)) }
    }

    fun rolloutOf(pool: PoolName): FleetRollout? = view.rolloutOf(pool)

    fun changed(known: KnownUpstream) {
        val upstream = known.upstream
        val state = states[upstream.id]
        if (state != null && state.upstream.startedAtMillis == upstream.startedAtMillis) return state.announced(known)
        states.values.filter { it.upstream.address == upstream.address || it.upstream.id == upstream.id }.forEach(
            ::drop,
        )
        states[upstream.id] = UpstreamState(known, nowMillis)
        prompts[upstream.id] = PromptMemory(nowMillis)
    }

    /** Returns whether the departure was of an upstream that was known here. */
    fun gone(departure: Deregistration): Boolean {
        val state = states[departure.id] ?: return false
        val startedAtMillis = departure.startedAtMillis
        if (startedAtMillis != null && state.upstream.startedAtMillis > startedAtMillis) return false
        drop(state)
        return true
    }

    private fun drop(state: UpstreamState) {
        state.gone = true
        states -= state.upstream.id
        prompts -= state.upstream.id
        connections.forget(state.upstream.address)
    }

    /** Takes in when each upstream was heard last. */
    fun refresh(heard: Collection<KnownUpstream>) = heard.forEach { known ->
        states[known.upstream.id]?.takeIf { it.heardAtMillis < known.announcedAtMillis }?.announced(known)
    }

    fun serves(
        pool: PoolName,
        version: String,
    ): Boolean = states.values.any {
        it.upstream.pool == pool && it.upstream.version == version && !it.upstream.draining && !it.isPaused
    }

    /** Returns whether no upstream may take the request, now or as soon as it has room. */
    fun hasNobodyFor(
        pool: PoolName,
        session: String,
    ): Boolean = allowed(pool, session).none { !it.isPaused }

    /** Returns the upstream that is to take the request now, or null while none has room. */
    fun choose(need: UpstreamNeed): UpstreamState? {
        val free = allowed(need.pool.name, need.session).filter { isFree(it, need.pool) }
        val untried = free.filter { it.upstream.id !in need.avoided }
        val usable =
            untried
                .filter {
                    !it.isSuspect
                }.ifEmpty { untried }
                .ifEmpty { if (need.mayReturn) free else untried }
        val chosen = cheapest(usable, need) ?: return null
        if (!chosen.isCold || takeColdStart(chosen, need.pool)) return noteRead(chosen, need)
        return cheapest(usable.filter { !it.isCold }, need)?.let { noteRead(it, need) }
    }

    private fun takeColdStart(
        state: UpstreamState,
        pool: CatalogPool,
    ): Boolean {
        if (pool.coldRequestsPerSecond <= 0) return true
        return state.takeColdStart(pool.coldRequestsPerSecond * COLD_RATE_PART / hosts)
    }

    private fun noteRead(
        state: UpstreamState,
        need: UpstreamNeed,
    ): UpstreamState {
        prompts[state.upstream.id]?.noteRead(need.demand, need.model)
        return state
    }

    private fun cheapest(
        usable: List<UpstreamState>,
        need: UpstreamNeed,
    ): UpstreamState? = place(usable.map { candidate(it, need) }, need.demand)?.let { states[it.id] }

    private fun candidate(
        state: UpstreamState,
        need: UpstreamNeed,
    ) = Candidate(
        id = state.upstream.id,
        sameZone = state.upstream.zone == zone,
        load = state.estimatedLoad(),
        slots = state.upstream.slots,
        engine = need.pool.engine != null,
        heldParts = prompts[state.upstream.id]?.heldOf(need.demand, need.model).orEmpty(),
        failureShare = state.failureShare,
        silentMillis = nowMillis() - state.heardAtMillis,
    )

    private fun isFree(
        state: UpstreamState,
        pool: CatalogPool,
    ): Boolean {
        if (state.isPaused || state.isFull) return false
        val queuedPart = if (pool.engine == null) QUEUED_PART else ENGINE_QUEUED_PART
        return state.estimatedLoad() < state.upstream.slots * (1 + queuedPart)
    }

    /** Returns the upstreams on which a request of [session] may run at all. */
    private fun allowed(
        pool: PoolName,
        session: String,
    ): List<UpstreamState> {
        val serving = states.values.filter { it.upstream.pool == pool && isInService(it) }
        val rollout = view.rolloutOf(pool) ?: return serving
        val (new, old) = serving.partition { it.upstream.version == rollout.target }
        return when (rollout.phase) {
            FleetRolloutPhase.Completed -> new.ifEmpty { old }
            FleetRolloutPhase.RolledBack -> old
            FleetRolloutPhase.Running ->
                if (rollouts.takesNew(rollout, session) &&
                    new.any { !it.isPaused }
                ) {
                    new
                } else {
                    old
                }
        }
    }

    private fun isInService(state: UpstreamState) =
        !state.gone && !state.upstream.draining && state.upstream.zone !in view.zonesOut
}
