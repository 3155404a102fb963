/*
 * The part of the mesh that one host runs: its links, the state that it knows, and its replica of the log if it has a
 * disk.
 */
package io.carawaytrack.mesh

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.carawaytrack.fleet.CrashReport
import io.carawaytrack.fleet.Deregistration
import io.carawaytrack.fleet.FleetCommand
import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.FleetView
import io.carawaytrack.fleet.RolloutTally
import io.carawaytrack.fleet.UpstreamRegistry
import io.carawaytrack.fleet.encode
import io.carawaytrack.model.Failure
import io.carawaytrack.model.HostPort
import io.carawaytrack.telemetry.event
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.netty.channel.Channel
import io.netty.channel.EventLoopGroup
import java.nio.file.Path

private val logger = KotlinLogging.logger {}

/** Heartbeat interval: a missed change is detected well within the time to apply it. */
private const val HEARTBEAT_INTERVAL_MILLIS = 400L

/** Time without a message after which a link is closed: three missed heartbeats. */
internal const val LINK_TIMEOUT_MILLIS: Long = 1_300

/** Delay before an unanswered request for a view is retried. */
private const val VIEW_RETRY_MILLIS = 300L

internal class LinkedMesh(
    private val settings: MeshSettings,
    private val group: EventLoopGroup,
    private val events: MeshEvents,
    private val nowMillis: () -> Long,
    private val duties: LinkedMeshDuties = LinkedMeshDuties(settings, nowMillis),
) : Mesh,
    MeshDuties by duties {
    private val self = settings.self
    private val loop = group.next()
    private val links =
        Links(
            group,
            LinkEvents(
                ::handleOpened,
                ::handleMessage,
                ::handleClosed,
                { logger.debug { "could not connect to $it" } },
            ),
            nowMillis,
        )
    private val open = LinkedHashSet<MeshLink>()
    private val peers = Peers(self, settings.seeds, nowMillis)
    private val tallies = ReportedTallies()
    private val formation = GroupFormation(settings, peers, nowMillis)
    private val recentStateSaver = RecentStateSaver()
    private var listenChannel: Channel? = null
    private var viewRequestedAtMillis = 0L
    private var lastHeartbeatAtMillis = 0L
    private var core: CoreMember? = null

    override val rolloutClock: RolloutClock = RolloutClock(nowMillis, System::currentTimeMillis)

    override val upstreams: UpstreamRegistry = UpstreamRegistry(nowMillis)
    private val dissemination = UpstreamDissemination(self.core, upstreams, ::peerLinks, ::coreLinks, events, nowMillis)

    override val reportCrashes: (CrashReport) -> Unit = dissemination::reportCrashes

    private val loadExchange =
        MergingLoadExchange(
            core = self.core,
            sendToPeers = { message -> message.encode().let { encoded -> peerLinks().forEach { it.send(encoded) } } },
            sendToCore = { message -> coreLinks().firstOrNull()?.send(message) },
            loadReported = events.loadReported,
            nowMillis = nowMillis,
        )

    override val loads: LoadExchange get() = loadExchange

    override var view: FleetView = FleetView()
        private set

    override val hostCount: Int
        get() {
            val linked = open.mapNotNull { it.peer?.address }.toSet().size + 1
            return maxOf(linked, open.maxOfOrNull { it.heartbeat?.hostCount ?: 1 } ?: 1)
        }

    override val leading: Boolean get() = core?.status?.leading == true

    override val voters: VoterCounts? get() = core?.voters

    override val leader: HostPort?
        get() {
            val own = core?.status
            val reported = open.mapNotNull { it.heartbeat }.filter { it.leader != null }.maxByOrNull { it.term }
            val newest = if (own?.leader != null && own.term >= (reported?.term ?: 0)) own.leader else reported?.leader
            return newest?.let(::addressOf)
        }

    fun start() {
        listenChannel = links.listen(self.address)
        settings.folder?.let { folder ->
            readRecentState(folder)?.let { recent -> loop.execute { restore(recent) } }
            core = CoreMember(setup(folder)).also { it.open() }
        }
    }

    /** Restores the state that was known before a restart. */
    private fun restore(recent: RecentState) {
        adopt(recent.view)
        recent.upstreams.forEach { dissemination.restore(it) }
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

    override fun announce(upstream: FleetUpstream) = dissemination.announce(upstream)

    override fun deregister(deregistration: Deregistration) = dissemination.deregister(deregistration)

    override fun propose(
        command: FleetCommand,
        done: (Result<Unit, Failure>) -> Unit,
    ) {
        val member = core ?: return done(Err(noReplica))
        member.propose(command.encode()) { result -> loop.execute { done(result.toUnit()) } }
    }

    override fun confirmLeadership(done: (Result<Unit, Failure>) -> Unit) {
        val member = core ?: return done(Err(noReplica))
        member.confirmLeadership { result -> loop.execute { done(result) } }
    }

    override fun report(tallies: List<RolloutTally>) {
        this.tallies.record(self, tallies)
        if (!leading) leader?.let(::linkTo)?.send(MeshMessage.Tallies(tallies))
    }

    override fun tallyOf(rolloutId: Long): RolloutTally = tallies.sumOf(rolloutId)

    override fun updateSeeds(seeds: List<HostPort>) = peers.updateSeeds(seeds)

    override fun tick() {
        val now = nowMillis()
        open.filter { now - it.lastReceivedAtMillis > LINK_TIMEOUT_MILLIS }.forEach { link ->
            val fields = mapOf("peer" to link.peer?.address?.toString(), "dialled" to link.dialled?.toString())
            logger.event("link_silent", fields, Level.WARN)
            link.close()
        }
        if (now - lastHeartbeatAtMillis >= HEARTBEAT_INTERVAL_MILLIS) sendHeartbeats()
        dissemination.tick()
        loadExchange.tick()
        duties.tick(::coreLinks)
        peers.hostsToDial(coreLinks().mapNotNull { it.peer?.address }.toSet()).forEach(links::dial)
        core?.let { member ->
            formation.maintain(member, open, coreLinks(), groupExists = leader != null || view.index > 0)
            recentStateSaver.saveIfChanged(member, view, upstreams.upstreams)
        }
    }

    private fun sendHeartbeats() {
        lastHeartbeatAtMillis = nowMillis()
        val heartbeat = currentHeartbeat().encode()
        open.forEach { it.send(heartbeat) }
    }

    private fun currentHeartbeat(): MeshMessage.Heartbeat {
        val status = core?.status
        val lowest = if (view.index == 0L) peers.lowestCore() else null
        val clock = duties.reading
        return MeshMessage.Heartbeat(
            viewIndex = view.index,
            leader = status?.leader,
            term = status?.term ?: 0,
            hostCount = hostCount,
            lowestCore = lowest,
            wallMillis = clock?.wallMillis,
            agreedMillis = clock?.agreedMillis,
        )
    }

    private fun handleOpened(link: MeshLink) {
        open += link
        link.send(MeshMessage.Hello(self, peers.cores()))
    }

    private fun handleClosed(link: MeshLink) {
        open -= link
        link.peer?.let { peer ->
            if (linkTo(peer.address) == null) logger.event("peer_lost", fieldsOf(peer))
        }
    }

    private fun handleMessage(
        link: MeshLink,
        message: MeshMessage,
    ) {
        when (message) {
            is MeshMessage.Hello -> handleHello(link, message)
            is MeshMessage.Heartbeat -> handleHeartbeat(link, message)
            is MeshMessage.Cores -> addCores(message.cores)
            is MeshMessage.Disseminated -> dissemination.receive(link, message)
            is MeshMessage.Loads -> loadExchange.receive(message)
            is MeshMessage.ViewRequest ->
                if (view.index > message.haveIndex) {
                    link.send(MeshMessage.View(view, rolloutClock.elapsedMillis()))
                }
            is MeshMessage.View -> adopt(message.view, message.rolloutElapsedMillis)
            is MeshMessage.Replication -> core?.receive(message)
            is MeshMessage.Join -> core?.handleJoin(message) { link.send(it) }
            is MeshMessage.Removed -> core?.handleRemoval(message.node)
            is MeshMessage.Usage -> duties.receive(link, message)
            is MeshMessage.Tallies -> tallies.record(link.peer, message.tallies)
        }
    }

    private fun handleHello(
        link: MeshLink,
        hello: MeshMessage.Hello,
    ) {
        if (hello.self.address == self.address) return link.close()
        val known = linkTo(hello.self.address) != null
        link.peer = hello.self
        peers.recordContact(hello.self)
        if (!known) logger.event("peer_linked", fieldsOf(hello.self))
        addCores(hello.cores + hello.self)
        dissemination.sendAll(link)
        // Sent at once, so that a host that has just started detects without delay that it lacks the replicated state.
        link.send(currentHeartbeat())
    }

    private fun addCores(cores: List<PeerInfo>) {
        val added = peers.addCores(cores)
        if (added.isNotEmpty()) MeshMessage.Cores(added).encode().let { encoded -> open.forEach { it.send(encoded) } }
    }

    private fun handleHeartbeat(
        link: MeshLink,
        heartbeat: MeshMessage.Heartbeat,
    ) {
        link.heartbeat = heartbeat
        duties.receive(link, heartbeat)
        val now = nowMillis()
        if (heartbeat.viewIndex <= view.index || now - viewRequestedAtMillis < VIEW_RETRY_MILLIS) return
        viewRequestedAtMillis = now
        link.send(MeshMessage.ViewRequest(view.index))
    }

    private fun adopt(
        newer: FleetView,
        rolloutElapsedMillis: Map<Long, Long> = emptyMap(),
    ) {
        if (newer.index <= view.index) return
        view = newer
        rolloutClock.update(newer, rolloutElapsedMillis)
        duties.windowsFixed(newer.usageFixedThrough)
        viewRequestedAtMillis = 0
        events.viewChanged(newer)
        if (self.core) sendHeartbeats()
    }

    /** Returns the newest open link to the host at [address]. */
    private fun linkTo(address: HostPort): MeshLink? = open.lastOrNull { it.isOpen && it.peer?.address == address }

    /** Returns one open link for each peer. */
    private fun peerLinks(): Collection<MeshLink> =
        open.filter { it.isOpen && it.peer != null }.associateBy { it.peer?.address }.values

    /** Returns one open link for each host with a disk, those in this host's zone first. */
    private fun coreLinks(): List<MeshLink> =
        peerLinks().filter { it.peer?.core == true }.sortedBy { it.peer?.zone != self.zone }

    override fun close() {
        listenChannel?.close()
        open.toList().forEach { it.close() }
        core?.close()
    }
}

private fun fieldsOf(peer: PeerInfo): Map<String, Any?> = mapOf("peer" to peer.address.toString(), "core" to peer.core)
