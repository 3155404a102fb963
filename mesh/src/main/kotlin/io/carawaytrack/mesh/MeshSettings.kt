/*
 * What a host tells its part of the mesh at the start: its settings, and the callbacks for events.
 */
package io.carawaytrack.mesh

import io.carawaytrack.fleet.CrashReport
import io.carawaytrack.fleet.Deregistration
import io.carawaytrack.fleet.FleetView
import io.carawaytrack.fleet.KnownUpstream
import io.carawaytrack.fleet.UpstreamLoad
import io.carawaytrack.model.HostPort
import java.nio.file.Path

/**
 * Settings of this host's part of the mesh.
 *
 * @property seeds mesh addresses of the hosts to contact first
 * @property folder data folder; null on a host without a disk
 * @property bootstrap whether the whole fleet starts for the first time
 * @property requiredVoters voters of the core below which no change is accepted
 * @property dutyIncarnation start of this process on its wall clock, if duties are on; null turns the agreed clock and
 * the exchange of usage counts off
 */
public data class MeshSettings(
    val self: PeerInfo,
    val seeds: List<HostPort>,
    val folder: Path?,
    val bootstrap: Boolean,
    val requiredVoters: Int,
    val dutyIncarnation: Long? = null,
)

/**
 * Callbacks for mesh events; all are called on the event loop.
 *
 * @property viewChanged a newer replicated state is known
 * @property upstreamChanged an upstream announced a change that affects routing
 * @property upstreamRemoved an upstream has deregistered or expired
 * @property loadReported another host has received a load report from an upstream
 * @property crashesReported another host reports crashed upstreams
 * @property knownCrashes returns what this host knows about crashed upstreams, for a new peer
 */
public class MeshEvents(
    public val viewChanged: (FleetView) -> Unit,
    public val upstreamChanged: (KnownUpstream) -> Unit,
    public val upstreamRemoved: (Deregistration) -> Unit,
    public val loadReported: (UpstreamLoad) -> Unit = {},
    public val crashesReported: (CrashReport) -> Unit = {},
    public val knownCrashes: () -> CrashReport = { CrashReport(emptyList(), emptyList()) },
)
