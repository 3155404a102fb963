/*
 * How announcements of upstreams reach every host. A host with a disk sends what it gets to all its peers; another one
 * hands it to hosts with a disk, which pass it on. Changes go at once, repetitions together at intervals.
 */
package io.carawaytrack.mesh

import io.carawaytrack.fleet.Deregistration
import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.KnownUpstream
import io.carawaytrack.fleet.RegistryUpdate
import io.carawaytrack.fleet.UpstreamRegistry
import io.carawaytrack.model.UpstreamId

/** Longest time for which refreshed announcements wait to be passed on together, in milliseconds. */
private const val REFRESH_BATCH_MILLIS = 400L

/** Hosts with a disk that pass a change on; a second one covers the loss of the first. */
private const val CHANGE_COPIES = 2

/** Hosts with a disk that pass refreshed announcements on; they are repeated anyway. */
private const val REFRESH_COPIES = 1

internal class UpstreamSpread(
    private val core: Boolean,
    private val upstreams: UpstreamRegistry,
    private val peerLinks: () -> Collection<MeshLink>,
    private val coreLinks: () -> List<MeshLink>,
    private val events: MeshEvents,
    private val nowMillis: () -> Long,
) {
    private val refreshed = LinkedHashMap<UpstreamId, KnownUpstream>()
    private var lastRefreshMillis = 0L

    fun announce(upstream: FleetUpstream) {
        when (upstreams.record(upstream)) {
            RegistryUpdate.Ignored -> return
            RegistryUpdate.Refreshed -> refreshed[upstream.id] = KnownUpstream(upstream, nowMillis())
            RegistryUpdate.Changed -> {
                send(MeshMessage.Upstreams(listOf(RelayedUpstream(upstream, 0)), relay = !core), CHANGE_COPIES)
                tellChanged(upstream)
            }
        }
    }

    /** Takes up an upstream that was known before a restart of this host. */
    fun recall(upstream: FleetUpstream) {
        // One with the same sequence number may be announced any moment and then is news.
        val before = upstream.copy(sequence = upstream.sequence - 1)
        if (upstreams.record(before, RECENT_AGE_MILLIS) == RegistryUpdate.Changed) tellChanged(before)
    }

    fun deregister(departure: Deregistration) {
        val known = upstreams.find(departure.id)?.upstream
        val exact = departure.copy(startedAtMillis = departure.startedAtMillis ?: known?.startedAtMillis)
        if (!upstreams.deregister(exact)) return
        send(MeshMessage.Upstreams(emptyList(), listOf(exact), relay = !core), CHANGE_COPIES)
        events.upstreamRemoved(exact)
    }

    fun received(
        link: MeshLink,
        message: MeshMessage.Upstreams,
    ) {
        message.upstreams.forEach { (upstream, ageMillis) ->
            if (upstreams.record(upstream, ageMillis) == RegistryUpdate.Changed) tellChanged(upstream)
        }
        message.departures.filter(upstreams::deregister).forEach(events.upstreamRemoved)
        if (!message.relay || !core) return
        val onward = MeshMessage.Upstreams(message.upstreams, message.departures).encode()
        peerLinks().filter { it.peer?.address != link.peer?.address }.forEach { it.send(onward) }
    }

    /** Tells a new peer of all upstreams that are known here. */
    fun tellAll(link: MeshLink) {
        val all = upstreams.upstreams.map(::relayed)
        if (all.isNotEmpty()) link.send(MeshMessage.Upstreams(all))
    }

    /** Passes refreshed announcements on when it is time, and forgets upstreams that have been silent for long. */
    fun tick() {
        upstreams.evictExpired().forEach {
            events.upstreamRemoved(
                Deregistration(it.upstream.id, it.upstream.startedAtMillis),
            )
        }
        if (nowMillis() - lastRefreshMillis < REFRESH_BATCH_MILLIS) return
        lastRefreshMillis = nowMillis()
        if (refreshed.isEmpty()) return
        send(MeshMessage.Upstreams(refreshed.values.map(::relayed), relay = !core), REFRESH_COPIES)
        refreshed.clear()
    }

    private fun relayed(known: KnownUpstream) = RelayedUpstream(known.upstream, nowMillis() - known.announcedAtMillis)

    /** Sends to all peers from a host with a disk, and through [copies] of those from another host. */
    private fun send(
        message: MeshMessage.Upstreams,
        copies: Int,
    ) {
        val encoded = message.encode()
        val targets = if (core) peerLinks() else coreLinks().take(copies)
        targets.forEach { it.send(encoded) }
    }

    private fun tellChanged(upstream: FleetUpstream) {
        upstreams.find(upstream.id)?.let(events.upstreamChanged)
    }
}
