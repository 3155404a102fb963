/*
 * Dissemination of upstream announcements to all hosts. A host with a disk sends announcements to all its peers; a host
 * without one sends them to hosts with a disk, which forward them. Changes are sent at once, refreshes in batches.
 */
package io.carawaytrack.mesh

import io.carawaytrack.fleet.CrashReport
import io.carawaytrack.fleet.Deregistration
import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.KnownUpstream
import io.carawaytrack.fleet.RegistryUpdate
import io.carawaytrack.fleet.UpstreamRegistry
import io.carawaytrack.model.UpstreamId

/** Maximum time for which refreshed announcements are batched. */
private const val REFRESH_INTERVAL_MILLIS = 400L

/** Number of hosts with a disk that forward a change; the second one covers the loss of the first. */
private const val CHANGE_FANOUT = 2

/** Number of hosts with a disk that forward refreshed announcements; one suffices, since they are sent repeatedly. */
private const val REFRESH_FANOUT = 1

internal class UpstreamDissemination(
    private val core: Boolean,
    private val upstreams: UpstreamRegistry,
    private val peerLinks: () -> Collection<MeshLink>,
    private val coreLinks: () -> List<MeshLink>,
    private val events: MeshEvents,
    private val nowMillis: () -> Long,
) {
    private val refreshed = LinkedHashMap<UpstreamId, KnownUpstream>()
    private var lastRefreshAtMillis = 0L

    fun announce(upstream: FleetUpstream) {
        when (upstreams.record(upstream)) {
            RegistryUpdate.Ignored -> return
            RegistryUpdate.Refreshed -> refreshed[upstream.id] = KnownUpstream(upstream, nowMillis())
            RegistryUpdate.Changed -> {
                send(MeshMessage.Upstreams(listOf(RelayedUpstream(upstream, 0)), relay = !core), CHANGE_FANOUT)
                notifyChanged(upstream)
            }
        }
    }

    /** Restores an upstream that was known before this host restarted. */
    fun restore(upstream: FleetUpstream) {
        // An announcement with the same sequence number may still arrive and must not be taken for a duplicate.
        val restored = upstream.copy(sequence = upstream.sequence - 1)
        if (upstreams.record(restored, RESTORED_AGE_MILLIS) == RegistryUpdate.Changed) notifyChanged(restored)
    }

    fun deregister(deregistration: Deregistration) {
        val known = upstreams.find(deregistration.id)?.upstream
        val resolved = deregistration.copy(startedAtMillis = deregistration.startedAtMillis ?: known?.startedAtMillis)
        if (!upstreams.deregister(resolved)) return
        send(MeshMessage.Upstreams(emptyList(), listOf(resolved), relay = !core), CHANGE_FANOUT)
        events.upstreamRemoved(resolved)
    }

    fun receive(
        link: MeshLink,
        message: MeshMessage.Disseminated,
    ) = when (message) {
        is MeshMessage.Upstreams -> receive(link, message)
        is MeshMessage.Crashes -> receive(link, message)
    }

    private fun receive(
        link: MeshLink,
        message: MeshMessage.Upstreams,
    ) {
        message.upstreams.forEach { (upstream, ageMillis) ->
            if (upstreams.record(upstream, ageMillis) == RegistryUpdate.Changed) notifyChanged(upstream)
        }
        message.deregistrations.filter(upstreams::deregister).forEach(events.upstreamRemoved)
        if (message.relay && core) forward(link, MeshMessage.Upstreams(message.upstreams, message.deregistrations))
    }

    /** Sends to all peers except the one at the other end of [origin]. */
    private fun forward(
        origin: MeshLink,
        message: MeshMessage,
    ) {
        val encoded = message.encode()
        peerLinks().filter { it.peer?.address != origin.peer?.address }.forEach { it.send(encoded) }
    }

    fun reportCrashes(report: CrashReport) = send(MeshMessage.Crashes(report, relay = !core), CHANGE_FANOUT)

    private fun receive(
        link: MeshLink,
        message: MeshMessage.Crashes,
    ) {
        events.crashesReported(message.report)
        if (message.relay && core) forward(link, MeshMessage.Crashes(message.report))
    }

    /** Sends all known upstreams and crashes to a new peer. */
    fun sendAll(link: MeshLink) {
        val all = upstreams.upstreams.map(::relayed)
        if (all.isNotEmpty()) link.send(MeshMessage.Upstreams(all))
        events.knownCrashes().takeUnless { it.isEmpty }?.let { link.send(MeshMessage.Crashes(it)) }
    }

    /** Sends refreshed announcements at the batch interval and evicts expired upstreams. */
    fun tick() {
        upstreams.evictExpired().forEach {
            events.upstreamRemoved(Deregistration(it.upstream.id, it.upstream.startedAtMillis))
        }
        if (nowMillis() - lastRefreshAtMillis < REFRESH_INTERVAL_MILLIS) return
        lastRefreshAtMillis = nowMillis()
        if (refreshed.isEmpty()) return
        send(MeshMessage.Upstreams(refreshed.values.map(::relayed), relay = !core), REFRESH_FANOUT)
        refreshed.clear()
    }

    private fun relayed(known: KnownUpstream) = RelayedUpstream(known.upstream, nowMillis() - known.announcedAtMillis)

    /** Sends to all peers if this host has a disk, otherwise to [fanout] hosts with a disk. */
    private fun send(
        message: MeshMessage,
        fanout: Int,
    ) {
        val encoded = message.encode()
        val targets = if (core) peerLinks() else coreLinks().take(fanout)
        targets.forEach { it.send(encoded) }
    }

    private fun notifyChanged(upstream: FleetUpstream) {
        upstreams.find(upstream.id)?.let(events.upstreamChanged)
    }
}
