/*
 * Dissemination of upstream announcements and deregistrations to all hosts. A host with a disk sends them to all its
 * peers; a host without one sends them to hosts with a disk, which forward them. Changes are sent at once, refreshes in
 * batches. A message may be lost with its link, so a new peer is sent all that is known. A deregistration, which its
 * upstream does not repeat, is sent again with the following batches.
 */
package io.carawaytrack.mesh

import io.carawaytrack.fleet.CrashReport
import io.carawaytrack.fleet.Deregistration
import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.KnownUpstream
import io.carawaytrack.fleet.RegistryUpdate
import io.carawaytrack.fleet.UpstreamRegistry
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.telemetry.event
import io.github.oshai.kotlinlogging.KotlinLogging

private val logger = KotlinLogging.logger {}

/** Maximum time for which refreshed announcements are batched. */
private const val REFRESH_INTERVAL_MILLIS = 400L

/** Time for which a deregistration is repeated: longer than a dead link can remain open. */
private const val DEREGISTRATION_REPEAT_MILLIS = 2_000L

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
    private val repeated = LinkedHashMap<Deregistration, Long>()
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
        // Without a start, a repetition might remove the upstream's next start under the same identifier.
        if (resolved.startedAtMillis != null) repeated[resolved] = nowMillis() + DEREGISTRATION_REPEAT_MILLIS
        send(MeshMessage.Upstreams(emptyList(), listOf(resolved), relay = !core), CHANGE_FANOUT)
        remove(resolved, origin = "upstream")
    }

    private fun remove(
        deregistration: Deregistration,
        origin: String,
    ) {
        logger.event("upstream_deregistered", mapOf("upstream" to deregistration.id.value, "origin" to origin))
        events.upstreamRemoved(deregistration)
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
        message.deregistrations.filter(upstreams::deregister).forEach { remove(it, "${link.peer?.address}") }
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

    /** Sends all known upstreams, deregistrations and crashes to a new peer. */
    fun sendAll(link: MeshLink) {
        val known = MeshMessage.Upstreams(upstreams.upstreams.map(::relayed), upstreams.deregistrations)
        if (!known.isEmpty) link.send(known)
        events.knownCrashes().takeUnless { it.isEmpty }?.let { link.send(MeshMessage.Crashes(it)) }
    }

    /** Sends refreshed announcements and recent deregistrations at the batch interval and evicts expired upstreams. */
    fun tick() {
        upstreams.evictExpired().forEach {
            events.upstreamRemoved(Deregistration(it.upstream.id, it.upstream.startedAtMillis))
        }
        if (nowMillis() - lastRefreshAtMillis < REFRESH_INTERVAL_MILLIS) return
        lastRefreshAtMillis = nowMillis()
        repeated.values.removeIf { it < nowMillis() }
        val batch = MeshMessage.Upstreams(refreshed.values.map(::relayed), repeated.keys.toList(), relay = !core)
        if (!batch.isEmpty) send(batch, REFRESH_FANOUT)
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
