/*
 * Discovery and state dissemination between the hosts of a fleet. Every host keeps links to all known hosts with a disk
 * and discovers them through its seeds. The host that receives an upstream's announcement disseminates it through the
 * hosts with a disk. Heartbeats carry the log index of the replicated state, so that a host which missed a change
 * detects it within one interval.
 */
package io.carawaytrack.mesh

import com.github.michaelbull.result.Result
import io.carawaytrack.fleet.CrashReport
import io.carawaytrack.fleet.Deregistration
import io.carawaytrack.fleet.FleetCommand
import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.FleetView
import io.carawaytrack.fleet.RolloutTally
import io.carawaytrack.fleet.UpstreamRegistry
import io.carawaytrack.model.Failure
import io.carawaytrack.model.HostPort
import io.netty.channel.EventLoopGroup

/** Interval of dialling, joining and maintenance: half a heartbeat interval. */
public const val MESH_TICK_MILLIS: Long = 200

/** Number of the core's voters that reply to the leader, and of those that do not. */
public data class VoterCounts(
    val responsive: Int,
    val unresponsive: Int,
)

/** Connects this host to its fleet; must only be used on the event loop. */
public interface Mesh :
    MeshDuties,
    AutoCloseable {
    /** Newest replicated state that this host knows. */
    public val view: FleetView

    /** Registry of the announced upstreams. */
    public val upstreams: UpstreamRegistry

    /** Time since each roll-out began. */
    public val rolloutClock: RolloutClock

    /** Exchange of load reports with the other hosts. */
    public val loads: LoadExchange

    /** Number of known hosts that serve requests; at least 1. */
    public val hostCount: Int

    /** Mesh address of the leader, or null while none is known. */
    public val leader: HostPort?

    /** Whether this host leads. */
    public val leading: Boolean

    /** Voters of the core by whether they reply to this host; null unless it leads. */
    public val voters: VoterCounts?

    /** Records an announcement received by this host and disseminates it. */
    public fun announce(upstream: FleetUpstream)

    /** Deregisters an upstream and disseminates the deregistration. */
    public fun deregister(deregistration: Deregistration)

    /** Tells the other hosts of crashed upstreams. */
    public val reportCrashes: (CrashReport) -> Unit

    /**
     * Commits [command]; [done] is called on the event loop. Fails with `NotLeader` on a host that does not lead, and
     * with the failures of the replicated log.
     */
    public fun propose(
        command: FleetCommand,
        done: (Result<Unit, Failure>) -> Unit,
    )

    /** Confirms that this host leads and that [view] includes all committed entries; fails like [propose]. */
    public fun confirmLeadership(done: (Result<Unit, Failure>) -> Unit)

    /** Reports this host's tallies of the roll-outs, counted since each one began, to the leader. */
    public fun report(tallies: List<RolloutTally>)

    /** Returns the sum of the tallies that all hosts have reported to this one for the roll-out [rolloutId]. */
    public fun tallyOf(rolloutId: Long): RolloutTally

    /** Sends heartbeats and batched updates, and maintains links and members; called about every [MESH_TICK_MILLIS]. */
    public fun tick()

    /** Replaces the seeds. */
    public fun updateSeeds(seeds: List<HostPort>)
}

/** Starts this host's part of the mesh on the one event loop of [group]. */
public fun Mesh(
    settings: MeshSettings,
    group: EventLoopGroup,
    events: MeshEvents,
    nowMillis: () -> Long,
): Mesh = LinkedMesh(settings, group, events, nowMillis).also { it.start() }
