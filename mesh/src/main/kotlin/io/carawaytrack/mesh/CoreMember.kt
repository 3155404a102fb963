/*
 * This host's copy of the replicated state: its data folder, its replica of the log, and the membership changes that it
 * makes as the leader. A group forms and repairs itself without an operator: a host with an empty disk requests to join
 * under a new identity, and the leader replaces members that lost their disk or are unresponsive by such replicas.
 */
package io.carawaytrack.mesh

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.carawaytrack.consensus.GroupReplica
import io.carawaytrack.consensus.MemberChange
import io.carawaytrack.consensus.ReplicaGroup
import io.carawaytrack.consensus.ReplicaSettings
import io.carawaytrack.consensus.ReplicaStatus
import io.carawaytrack.consensus.openReplica
import io.carawaytrack.fleet.FleetState
import io.carawaytrack.fleet.FleetView
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.notRun
import io.carawaytrack.storage.Disk
import io.carawaytrack.storage.FolderIdentity
import io.carawaytrack.storage.StorageFailure
import io.carawaytrack.storage.clearFolder
import io.carawaytrack.storage.folderIdentity
import io.carawaytrack.storage.initialiseFolder
import io.carawaytrack.storage.openFileDisk
import io.carawaytrack.telemetry.event
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import java.nio.file.Path
import java.security.SecureRandom
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

private const val CLUSTER_ID = "carawaytrack"

/** Marks the folder of the bootstrap node, so that it bootstraps the group again if it restarts at once. */
private const val BOOTSTRAP_MARKER_FILE = "founder"

/** Delay before a failed folder is reopened: long enough not to overload a failing disk. */
private const val REOPEN_DELAY_MILLIS = 700L

/** Time for which a join request is valid: several of the intervals at which it is repeated. */
private const val JOIN_VALID_MILLIS = 1_500L

/** Maximum size of a command: the largest document that an operator may send, uncompressed. */
private const val MAX_COMMAND_BYTES = 4 * 1024 * 1024

/** The heartbeat interval keeps idle hosts cheap; the election timeout is well below the time to apply a change. */
private val replicaSettings =
    ReplicaSettings(
        electionTimeoutMillis = 1_000,
        heartbeatMillis = 200,
        snapshotEveryEntries = 500,
        snapshotEveryBytes = 4L * 1024 * 1024,
        keptEntries = 100,
        keptBytes = 1024L * 1024,
        maxCommandBytes = MAX_COMMAND_BYTES,
        maxQueued = 2_048,
    )

/**
 * Settings and callbacks of a [CoreMember].
 *
 * @property requiredVoters voters below which no command is accepted, so that an acknowledged change survives the
 * configured number of lost hosts
 * @property publish receives each new view on the replica's thread
 * @property onLoop runs a task on the event loop
 */
internal class CoreSetup(
    val folder: Path,
    val address: HostPort,
    val requiredVoters: Int,
    val send: (NodeId, NodeId, ByteArray) -> Unit,
    val publish: (FleetView) -> Unit,
    val nowMillis: () -> Long,
    val onLoop: (() -> Unit) -> Unit,
)

/** Returns whether the replica has received anything from a leader; otherwise it may join under its identity. */
private fun ReplicaStatus.hasLog(): Boolean = members.isNotEmpty() || commitIndex > 0

private fun fieldsOf(
    change: MemberChange,
    status: ReplicaStatus,
): Map<String, Any?> = mapOf(
    "change" to change.toString(),
    "voters" to status.members.filter { it.voter }.map { it.node.value },
    "unresponsive" to status.members.filterNot { it.isResponsive }.map { it.node.value },
)

/** Returns the address of the host that holds the replica [node]. */
internal fun addressOf(node: NodeId): HostPort? = HostPort.parse(node.value.substringBefore('/'))

internal class CoreMember(
    private val setup: CoreSetup,
) : AutoCloseable {
    private val storage = Executors.newSingleThreadScheduledExecutor { Thread(it, "storage").apply { isDaemon = true } }
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Unconfined)
    private val joinRequestedAtMillis = HashMap<NodeId, Long>()
    private var changeInProgress = false
    private var renewing = false

    @Volatile
    private var replica: GroupReplica? = null

    /** Whether the folder already has an identity; then this host neither bootstraps a group nor joins as a new one. */
    @Volatile
    var initialised: Boolean? = null
        private set

    val status: ReplicaStatus? get() = replica?.status()

    /** Voters by whether they reply; null unless this host leads. */
    val voters: VoterCounts?
        get() {
            val voters = status?.takeIf { it.leading }?.members?.filter { it.voter } ?: return null
            return VoterCounts(voters.count { it.isResponsive }, voters.count { !it.isResponsive })
        }

    /** Opens the replica in the folder, if there is one. */
    fun open() = storage.execute { withDisk(::openExisting) }

    /** Initialises the empty folder; with [bootstrap], as the first member of a new group. */
    fun initialise(bootstrap: Boolean) {
        if (initialised != false) return
        initialised = true
        storage.execute { withDisk { initialiseAndOpen(it, bootstrap) } }
    }

    /** Saves [recent] for the next start, without waiting for the disk. */
    fun save(recent: RecentState) = storage.execute { saveRecentState(setup.folder, recent) }

    fun receive(message: MeshMessage.Replication) {
        val open = replica ?: return
        if (open.status().node == message.to) open.receive(message.from, message.payload)
    }

    /** Commits a command; [done] is called on an arbitrary thread. */
    fun propose(
        command: ByteArray,
        done: (Result<ByteArray, Failure>) -> Unit,
    ) = withReplica(done) { open ->
        val status = open.status()
        val voters = status.members.count { it.voter }
        // Checked even if this host does not lead yet: it may become the leader between the check and the append.
        when {
            voters >= setup.requiredVoters -> open.propose(command)
            status.leading ->
                Err(
                    ErrorKind.ControlUnavailable.notRun(
                        "expected at least ${setup.requiredVoters} voters, found $voters",
                    ),
                )
            else -> Err(ErrorKind.NotLeader.notRun("this host is not the leader, or not yet"))
        }
    }

    /** Confirms that this host leads and has applied all committed entries; [done] is called on an arbitrary thread. */
    fun confirmLeadership(done: (Result<Unit, Failure>) -> Unit) = withReplica(done) { it.confirmLeadership() }

    /** Handles a request to join the group; [reply] sends a message to the requesting replica. */
    fun handleJoin(
        request: MeshMessage.Join,
        reply: (MeshMessage) -> Unit,
    ) {
        val status = status ?: return
        if (!status.leading || status.isMember(request.node) || addressOf(request.node) == null) return
        if (request.fresh) {
            joinRequestedAtMillis[request.node] = setup.nowMillis()
            return
        }
        // Only a leader confirmed by a quorum can decide that a replica is no longer a member.
        confirmLeadership { confirmed ->
            confirmed.onSuccess {
                setup.onLoop {
                    if (this.status?.confirmsRemovalOf(request.node) == true) reply(MeshMessage.Removed(request.node))
                }
            }
        }
    }

    /** Returns the join request to send, or null if this host is a voter and knows a leader. */
    fun joinRequest(): MeshMessage.Join? {
        val status = status ?: return null
        val voter = status.members.any { it.node == status.node && it.voter }
        if (voter && status.leader != null) return null
        return MeshMessage.Join(status.node, fresh = !status.hasLog())
    }

    /** Handles the removal of [node] from the group: a replica with a log restarts with an empty folder. */
    fun handleRemoval(node: NodeId) {
        val open = replica ?: return
        val status = open.status()
        if (status.node != node || !status.hasLog() || renewing) return
        renewing = true
        logger.event(
            "replica_renewed",
            mapOf("replica" to node.value, "reason" to "removed from the group"),
            Level.WARN,
        )
        replica = null
        storage.execute {
            open.close()
            withDisk { disk -> clearFolder(disk).andThen { initialiseAndOpen(disk, bootstrap = false) } }
            renewing = false
        }
    }

    /** Makes the next membership change, if this host leads and one is needed; called at a fixed interval. */
    fun maintain() {
        val open = replica ?: return
        val status = open.status()
        if (!status.leading || changeInProgress) return
        joinRequestedAtMillis.values.removeIf { setup.nowMillis() - it > JOIN_VALID_MILLIS }
        val joining = joinRequestedAtMillis.keys
        val change = nextMemberChange(status.members, joining, status.node, setup.requiredVoters) ?: return
        changeInProgress = true
        scope.launch {
            open
                .changeMembers(change)
                .onSuccess { logger.event("members_changed", fieldsOf(change, open.status())) }
                .onFailure { failure ->
                    val fields = mapOf("change" to change.toString(), "reason" to failure.detail)
                    logger.event("members_unchanged", fields, Level.DEBUG)
                }
            setup.onLoop { changeInProgress = false }
        }
    }

    private fun <T> withReplica(
        done: (Result<T, Failure>) -> Unit,
        work: suspend (GroupReplica) -> Result<T, Failure>,
    ) {
        val open = replica ?: return done(Err(ErrorKind.NotLeader.notRun("this host has no open replica")))
        scope.launch { done(work(open)) }
    }

    private fun withDisk(use: (Disk) -> Result<Unit, StorageFailure>) {
        openFileDisk(setup.folder).andThen(use).onFailure { failure ->
            val fields = mapOf("folder" to setup.folder.toString(), "reason" to failure.detail)
            logger.event("storage_failed", fields, Level.WARN)
            scheduleReopen()
        }
    }

    private fun scheduleReopen() {
        storage.schedule({ withDisk(::openExisting) }, REOPEN_DELAY_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun openExisting(disk: Disk): Result<Unit, StorageFailure> = folderIdentity(disk).map { identity ->
        initialised = identity != null
        if (identity != null) openReplica(disk, identity) else disk.close()
    }

    private fun initialiseAndOpen(
        disk: Disk,
        bootstrap: Boolean,
    ): Result<Unit, StorageFailure> {
        val incarnation = SecureRandom().nextLong()
        val node = NodeId("${setup.address}/${incarnation.toULong().toString(radix = 36)}")
        val identity = FolderIdentity(CLUSTER_ID, node, incarnation)
        return clearFolder(disk).andThen { initialiseFolder(disk, identity) }.map {
            if (bootstrap) disk.replace(BOOTSTRAP_MARKER_FILE, ByteArray(0))
            logger.event("folder_initialised", mapOf("replica" to node.value, "founding" to bootstrap))
            openReplica(disk, identity)
        }
    }

    private fun openReplica(
        disk: Disk,
        identity: FolderIdentity,
    ) {
        val bootstrapped = disk.read(BOOTSTRAP_MARKER_FILE) != null
        replica =
            openReplica(
                group =
                    ReplicaGroup(
                        CLUSTER_ID,
                        identity.node,
                        if (bootstrapped) listOf(identity.node) else emptyList(),
                    ),
                disk = disk,
                stateMachine = FleetState(setup.publish),
                send = { to, payload -> setup.send(identity.node, to, payload) },
                nowMillis = setup.nowMillis,
                random = Random(SecureRandom().nextLong()),
                onHalt = ::handleHalt,
                settings = replicaSettings,
            ).mapError { failure ->
                val fields = mapOf("replica" to identity.node.value, "reason" to failure.detail)
                logger.event("replica_not_opened", fields, Level.WARN)
                disk.close()
                scheduleReopen()
            }.getOrElse { return }
        logger.event("replica_opened", mapOf("replica" to identity.node.value, "founder" to bootstrapped))
    }

    /** Reopens the folder after a storage failure; until then this host neither votes nor acknowledges. */
    private fun handleHalt(failure: Failure) {
        if (failure.kind == ErrorKind.ShuttingDown) return
        logger.event("replica_halted", mapOf("reason" to failure.detail), Level.WARN)
        val halted = replica
        replica = null
        storage.schedule(
            {
                halted?.close()
                withDisk(::openExisting)
            },
            REOPEN_DELAY_MILLIS,
            TimeUnit.MILLISECONDS,
        )
    }

    override fun close() {
        scope.cancel()
        storage.shutdownNow()
        replica?.close()
    }
}

/** Failure of changes on a host without a disk. */
internal val noReplica = ErrorKind.NotLeader.notRun("this host has no disk and no replica of the log")

/** Drops the result of a command, which is empty. */
internal fun Result<ByteArray, Failure>.toUnit(): Result<Unit, Failure> = map { }
