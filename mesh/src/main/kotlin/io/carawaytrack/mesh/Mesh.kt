/*
 * How the hosts of a fleet find each other and share what they know. Every host keeps links to all hosts with a disk
 * that it knows of, and learns of them from its seeds. An upstream's announcement is passed on by the host that got it
 * through the hosts with a disk; the agreed state spreads by pulses that name its log index, so that a host which
 * missed a change notices within one interval.
 */
package io.carawaytrack.mesh

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.carawaytrack.fleet.Deregistration
import io.carawaytrack.fleet.FleetCommand
import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.FleetView
import io.carawaytrack.fleet.KnownUpstream
import io.carawaytrack.fleet.RolloutTally
import io.carawaytrack.fleet.UpstreamRegistry
import io.carawaytrack.fleet.encode
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.notRun
import io.carawaytrack.telemetry.event
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.netty.channel.Channel
import io.netty.channel.EventLoopGroup
import java.nio.file.Path

private val logger = KotlinLogging.logger {}

/** Interval of pulses, in milliseconds: a missed change is noticed well within the time to apply it. */
private const val PULSE_MILLIS = 400L

/** Silence after which a link is closed, in milliseconds: three missed pulses. */
private const val LINK_SILENCE_MILLIS = 1_300L

/** Interval of dialling, joining and maintenance, in milliseconds: half a pulse. */
public const val MESH_TICK_MILLIS: Long = 200

/** Pause before an unanswered request for a view is repeated, in milliseconds. */
private const val VIEW_REPEAT_MILLIS = 300L

/**
 * Sets up this host's part of the mesh.
 *
 * @property seeds mesh addresses of hosts to ask first
 * @property folder data folder of a host with a disk; null on the others
 * @property bootstrap whether the whole fleet starts for the first time
 * @property requiredVoters members of the core without which no change is accepted
 */
public data class MeshSettings(
    val self: PeerInfo,
    val seeds: List<HostPort>,
    val folder: Path?,
    val bootstrap: Boolean,
    val requiredVoters: Int,
)

/**
 * Tells what happens; all calls come on the event loop.
 *
 * @property viewChanged a newer agreed state is known
 * @property upstreamChanged something that decides where requests go was announced
 * @property upstreamRemoved an upstream has signed off or was forgotten
 */
public class MeshEvents(
    public val viewChanged: (FleetView) -> Unit,
    public val upstreamChanged: (KnownUpstream) -> Unit,
    public val upstreamRemoved: (Deregistration) -> Unit,
)

/** Joins this host to its fleet; to be used on the event loop only. */
public interface Mesh : AutoCloseable {
    /** The newest agreed state that this host knows. */
    public val view: FleetView

    /** What the upstreams have announced. */
    public val upstreams: UpstreamRegistry

    /** Hosts that serve requests, as far as known; at least 1. */
    public val hostCount: Int

    /** Mesh address of the leading host, or null while none is known. */
    public val leader: HostPort?

    /** Whether this host leads. */
    public val leading: Boolean

    /** Takes in an announcement that reached this host and passes it on. */
    public fun announce(upstream: FleetUpstream)

    /** Takes in that an upstream signs off and passes it on. */
    public fun deregister(departure: Deregistration)

    /**
     * Commits [command]; [done] is called on the event loop. Fails with `NotLeader` on a host that doesn't lead, and as
     * the log says.
     */
    public fun propose(
        command: FleetCommand,
        done: (Result<Unit, Failure>) -> Unit,
    )

    /** Confirms that this host leads and that [view] holds all that was committed; fails like [propose]. */
    public fun confirmLeadership(done: (Result<Unit, Failure>) -> Unit)

    /** Tells the leader what this host has seen of roll-outs since each one's order. */
    public fun report(tallies: List<RolloutTally>)

    /** Returns the sum of what all hosts have told this one of the roll-out [rolloutId]. */
    public fun tallyOf(rolloutId: Long): RolloutTally

    /** Sends what is due and looks after links and members; to be called about every [MESH_TICK_MILLIS]. */
    public fun tick()

    /** Uses other seeds from now on. */
    public fun updateSeeds(seeds: List<HostPort>)
}

/** Starts this host's part of the mesh on the one event loop of [group]. */
public fun Mesh(
    settings: MeshSettings,
    group: EventLoopGroup,
    events: MeshEvents,
    nowMillis: () -> Long,
): Mesh = LinkedMesh(settings, group, events, nowMillis).also { it.start() }

private class LinkedMesh(
    private val settings: MeshSettings,
    private val group: EventLoopGroup,
    private val events: MeshEvents,
    private val nowMillis: () -> Long,
) : Mesh {
    private val self = settings.self
    private val loop = group.next()
    private val links =
        Links(group, LinkEvents(::opened, ::received, ::closed, { logger.debug { "$it can't be reached" } }), nowMillis)
    private val open = LinkedHashSet<MeshLink>()
    private val peers = Peers(self, settings.seeds, nowMillis)
    private val tallies = HashMap<HostPort, List<RolloutTally>>()
    private val formation = Formation(settings, peers, nowMillis)
    private val recentKeeper = RecentKeeper()
    private var listening: Channel? = null
    private var viewAskedAtMillis = 0L
    private var lastPulseMillis = 0L
    private var core: CoreMember? = null

    override val upstreams: UpstreamRegistry = UpstreamRegistry(nowMillis)
    private val spread = UpstreamSpread(self.core, upstreams, ::peerLinks, ::coreLinks, events, nowMillis)

    override var view: FleetView = FleetView()
        private set

    override val hostCount: Int
        get() {
            val linked = open.mapNotNull { it.peer?.address }.toSet().size + 1
            return maxOf(linked, open.maxOfOrNull { it.pulse?.hosts ?: 1 } ?: 1)
        }

    override val leading: Boolean get() = core?.status?.leading == true

    override val leader: HostPort?
        get() {
            val own = core?.status
            val told = open.mapNotNull { it.pulse }.filter { it.leader != null }.maxByOrNull { it.term }
            val newest = if (own?.leader != null && own.term >= (told?.term ?: 0)) own.leader else told?.leader
            return newest?.let(::addressOf)
        }

    fun start() {
        listening = links.listen(self.address)
        settings.folder?.let { folder ->
            readRecent(folder)?.let { recent -> loop.execute { recall(recent) } }
            core = CoreMember(setup(folder)).also { it.open() }
        }
    }

    /** Takes up what was known before a restart. */
    private fun recall(recent: Recent) {
        adopt(recent.view)
        recent.upstreams.forEach { spread.recall(it) }
        val fields = mapOf("index" to recent.view.index, "upstreams" to recent.upstreams.size)
        logger.event("recent_state_recalled", fields)
    }

    private fun setup(folder: Path) = CoreSetup(
        folder = folder,
        address = self.address,
        requiredVoters = settings.requiredVoters,
        send = { from, to, payload ->
            val encoded = MeshMessage.Replication(from, to, payload).encode()
            loop.execute { addressOf(to)?.let(::linkTo)?.send(encoded) }
        },
        publish = { published -> loop.execute { adopt(published) } },
        nowMillis = nowMillis,
        onLoop = { loop.execute(it) },
    )

    override fun announce(upstream: FleetUpstream) = spread.announce(upstream)

    override fun deregister(departure: Deregistration) = spread.deregister(departure)

    override fun propose(
        command: FleetCommand,
        done: (Result<Unit, Failure>) -> Unit,
    ) {
        val member = core ?: return done(Err(noCopy))
        member.propose(command.encode()) { result -> loop.execute { done(result.toUnit()) } }
    }

    override fun confirmLeadership(done: (Result<Unit, Failure>) -> Unit) {
        val member = core ?: return done(Err(noCopy))
        member.confirm { result -> loop.execute { done(result) } }
    }

    override fun report(tallies: List<RolloutTally>) {
        this.tallies[self.address] = tallies
        if (!leading) leader?.let(::linkTo)?.send(MeshMessage.Tallies(tallies))
    }

    override fun tallyOf(rolloutId: Long): RolloutTally = tallies.values
        .flatten()
        .filter { it.rolloutId == rolloutId }
        .fold(RolloutTally(rolloutId), RolloutTally::plus)

    override fun updateSeeds(seeds: List<HostPort>) = peers.updateSeeds(seeds)

    override fun tick() {
        val now = nowMillis()
        open.filter { now - it.heardAtMillis > LINK_SILENCE_MILLIS }.forEach { link ->
            val fields = mapOf("peer" to link.peer?.address?.toString(), "dialled" to link.dialled?.toString())
            logger.event("link_silent", fields, Level.WARN)
            link.close()
        }
        if (now - lastPulseMillis >= PULSE_MILLIS) pulse()
        spread.tick()
        peers.due(coreLinks().mapNotNull { it.peer?.address }.toSet()).forEach(links::dial)
        core?.let { member ->
            formation.tend(member, open, coreLinks(), groupExists = leader != null || view.index > 0)
            recentKeeper.keep(member, view, upstreams.upstreams)
        }
    }

    private fun pulse() {
        lastPulseMillis = nowMillis()
        val pulse = currentPulse().encode()
        open.forEach { it.send(pulse) }
    }

    private fun currentPulse(): MeshMessage.Pulse {
        val status = core?.status
        val lowest = if (view.index == 0L) peers.lowestCore() else null
        return MeshMessage.Pulse(view.index, status?.leader, status?.term ?: 0, hostCount, lowest)
    }

    private fun opened(link: MeshLink) {
        open += link
        link.send(MeshMessage.Hello(self, peers.cores()))
    }

    private fun closed(link: MeshLink) {
        open -= link
        link.peer?.let { peer ->
            if (linkTo(peer.address) == null) logger.event("peer_lost", fieldsOf(peer))
        }
    }

    private fun received(
        link: MeshLink,
        message: MeshMessage,
    ) {
        when (message) {
            is MeshMessage.Hello -> greeted(link, message)
            is MeshMessage.Pulse -> pulsed(link, message)
            is MeshMessage.Cores -> learn(message.cores)
            is MeshMessage.Upstreams -> spread.received(link, message)
            is MeshMessage.ViewRequest -> if (view.index > message.haveIndex) link.send(MeshMessage.View(view))
            is MeshMessage.View -> adopt(message.view)
            is MeshMessage.Replication -> core?.receive(message)
            is MeshMessage.Join -> core?.joinRequested(message) { link.send(it) }
            is MeshMessage.Removed -> core?.removed(message.node)
            is MeshMessage.Tallies -> link.peer?.let { tallies[it.address] = message.tallies }
        }
    }

    private fun greeted(
        link: MeshLink,
        hello: MeshMessage.Hello,
    ) {
        if (hello.self.address == self.address) return link.close()
        val known = linkTo(hello.self.address) != null
        link.peer = hello.self
        peers.met(hello.self)
        if (!known) logger.event("peer_linked", fieldsOf(hello.self))
        learn(hello.cores + hello.self)
        spread.tellAll(link)
        // A host that has just started need not wait for the next interval to learn that it lacks the agreed state.
        link.send(currentPulse())
    }

    private fun learn(cores: List<PeerInfo>) {
        val news = peers.learn(cores)
        if (news.isNotEmpty()) MeshMessage.Cores(news).encode().let { encoded -> open.forEach { it.send(encoded) } }
    }

    private fun pulsed(
        link: MeshLink,
        pulse: MeshMessage.Pulse,
    ) {
        link.pulse = pulse
        val now = nowMillis()
        if (pulse.viewIndex <= view.index || now - viewAskedAtMillis < VIEW_REPEAT_MILLIS) return
        viewAskedAtMillis = now
        link.send(MeshMessage.ViewRequest(view.index))
    }

    private fun adopt(newer: FleetView) {
        if (newer.index <= view.index) return
        view = newer
        viewAskedAtMillis = 0
        events.viewChanged(newer)
        if (self.core) pulse()
    }

    /** Returns the newest open link to the host at [address]. */
    private fun linkTo(address: HostPort): MeshLink? = open.lastOrNull { it.isOpen && it.peer?.address == address }

    /** Returns one link for each peer. */
    private fun peerLinks(): Collection<MeshLink> =
        open.filter { it.isOpen && it.peer != null }.associateBy { it.peer?.address }.values

    /** Returns one link for each host with a disk, those in this host's zone first. */
    private fun coreLinks(): List<MeshLink> =
        peerLinks().filter { it.peer?.core == true }.sortedBy { it.peer?.zone != self.zone }

    override fun close() {
        listening?.close()
        open.toList().forEach { it.close() }
        core?.close()
    }
}

private val noCopy = ErrorKind.NotLeader.notRun("this host keeps no copy of the agreed state")

private fun Result<ByteArray, Failure>.toUnit(): Result<Unit, Failure> = map { }

private fun fieldsOf(peer: PeerInfo): Map<String, Any?> = mapOf("peer" to peer.address.toString(), "core" to peer.core)
