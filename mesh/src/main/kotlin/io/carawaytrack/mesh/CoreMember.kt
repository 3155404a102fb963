/*
 * This host's copy of the agreed state: its data folder, its replica of the log, and the changes of the group that it
 * makes while it leads. A group forms and repairs itself without an operator: a host with an empty disk asks to join
 * under a new identity, and the leader replaces members that lost their disk or have fallen silent by such newcomers.
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

/** Marks the folder of the host that founded the group, so that it does so again if it restarts at once. */
private const val FOUNDER_FILE = "founder"

/** Pause before a folder that failed is opened again, in milliseconds: long enough not to press a sick disk. */
private const val REOPEN_PAUSE_MILLIS = 700L

/** Time for which a request to join counts, in milliseconds: several intervals at which it is repeated. */
private const val JOIN_VALID_MILLIS = 1_500L

/** Bound on one command, in bytes: the largest document that an operator may send, uncompressed. */
private const val MAX_COMMAND_BYTES = 4 * 1024 * 1024

/** Timing of the log: the interval keeps idle hosts cheap, the timeout stays well under the time to apply a change. */
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
 * Sets up this host's copy.
 *
 * @property requiredVoters members without which nothing is accepted, so that what is acknowledged survives the stated
 * loss
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

/** Returns whether the replica has taken anything from a leader; one that has not may join under its identity. */
private fun ReplicaStatus.holdsLog(): Boolean = members.isNotEmpty() || commitIndex > 0

/** Returns the address of the host that holds the replica [node]. */
internal fun addressOf(node: NodeId): HostPort? = HostPort.parse(node.value.substringBefore('/'))

internal class CoreMember(
    private val setup: CoreSetup,
) : AutoCloseable {
    private val storage = Executors.newSingleThreadScheduledExecutor { Thread(it, "storage").apply { isDaemon = true } }
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Unconfined)
    private val joining = HashMap<NodeId, Long>()
    private var changing = false
    private var askedToRenew = false

    @Volatile
    private var replica: GroupReplica? = null

    /** Whether the folder holds an identity already, so that this host neither founds a group nor joins as new. */
    @Volatile
    var initialised: Boolean? = null
        private set

    val status: ReplicaStatus? get() = replica?.status()

    /** Opens what the folder holds, if anything. */
    fun open() = storage.execute { withDisk(::openExisting) }

    /** Initialises the empty folder; as the first member of a new group when [founding]. */
    fun initialise(founding: Boolean) {
        if (initialised != false) return
        initialised = true
        storage.execute { withDisk { initialiseAndOpen(it, founding) } }
    }

    /** Keeps [recent] for the next start, without waiting for the disk. */
    fun save(recent: Recent) = storage.execute { saveRecent(setup.folder, recent) }

    fun receive(message: MeshMessage.Replication) {
        val open = replica ?: return
        if (open.status().node == message.to) open.receive(message.from, message.payload)
    }

    /** Commits a command; [done] is called on any thread. */
    fun propose(
        command: ByteArray,
        done: (Result<ByteArray, Failure>) -> Unit,
    ) = call(done) { open ->
        val status = open.status()
        val voters = status.members.count { it.voter }
        // Checked whoever leads by this status: leadership may be won between the check and the append.
        when {
            voters >= setup.requiredVoters -> open.propose(command)
            status.leading ->
                Err(
                    ErrorKind.ControlUnavailable.notRun("expected ${setup.requiredVoters} members, found $voters"),
                )
            else -> Err(ErrorKind.NotLeader.notRun("this host does not lead, or not yet"))
        }
    }

    /** Confirms that this host leads and has applied all that was committed; [done] is called on any thread. */
    fun confirm(done: (Result<Unit, Failure>) -> Unit) = call(done) { it.confirmLeadership() }

    /** Takes in that a replica asks to join; [answer] sends it a message. */
    fun joinRequested(
        request: MeshMessage.Join,
        answer: (MeshMessage) -> Unit,
    ) {
        if (status?.leading != true || isMember(request.node) || addressOf(request.node) == null) return
        if (request.fresh) {
            joining[request.node] = setup.nowMillis()
            return
        }
        // Only a leader that a quorum still follows may say who is no longer a member.
        confirm { confirmed ->
            confirmed.onSuccess {
                setup.onLoop { if (!isMember(request.node)) answer(MeshMessage.Removed(request.node)) }
            }
        }
    }

    private fun isMember(node: NodeId) = status?.members?.any { it.node == node } == true

    /** Returns the request to send while this host is no voter that hears a leader, or null. */
    fun joinRequest(): MeshMessage.Join? {
        val status = status ?: return null
        val voter = status.members.any { it.node == status.node && it.voter }
        if (voter && status.leader != null) return null
        return MeshMessage.Join(status.node, fresh = !status.holdsLog())
    }

    /** Takes in that the group has removed [node]: a replica that holds a log starts anew with an empty folder. */
    fun removed(node: NodeId) {
        val open = replica ?: return
        val status = open.status()
        if (status.node != node || !status.holdsLog() || askedToRenew) return
        askedToRenew = true
        logger.event(
            "replica_renewed",
            mapOf("replica" to node.value, "reason" to "removed from the group"),
            Level.WARN,
        )
        replica = null
        storage.execute {
            open.close()
            withDisk { disk -> clearFolder(disk).andThen { initialiseAndOpen(disk, founding = false) } }
            askedToRenew = false
        }
    }

    /** Makes the next change of the members that is due, if this host leads; to be called at a steady interval. */
    fun maintain() {
        val open = replica ?: return
        val status = open.status()
        if (!status.leading || changing) return
        joining.values.removeIf { setup.nowMillis() - it > JOIN_VALID_MILLIS }
        val change = dueChange(status.members, joining.keys, status.node) ?: return
        changing = true
        scope.launch {
            open
                .changeMembers(change)
                .onSuccess { logger.event("members_changed", mapOf("change" to change.toString())) }
                .onFailure { failure ->
                    val fields = mapOf("change" to change.toString(), "reason" to failure.detail)
                    logger.event("members_unchanged", fields, Level.DEBUG)
                }
            setup.onLoop { changing = false }
        }
    }

    private fun <T> call(
        done: (Result<T, Failure>) -> Unit,
        work: suspend (GroupReplica) -> Result<T, Failure>,
    ) {
        val open = replica ?: return done(Err(ErrorKind.NotLeader.notRun("this host holds no open replica")))
        scope.launch { done(work(open)) }
    }

    private fun withDisk(use: (Disk) -> Result<Unit, StorageFailure>) {
        openFileDisk(setup.folder).andThen(use).onFailure { failure ->
            val fields = mapOf("folder" to setup.folder.toString(), "reason" to failure.detail)
            logger.event("storage_failed", fields, Level.WARN)
            reopenLater()
        }
    }

    private fun reopenLater() {
        storage.schedule({ withDisk(::openExisting) }, REOPEN_PAUSE_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun openExisting(disk: Disk): Result<Unit, StorageFailure> = folderIdentity(disk).map { identity ->
        initialised = identity != null
        if (identity != null) openReplica(disk, identity) else disk.close()
    }

    private fun initialiseAndOpen(
        disk: Disk,
        founding: Boolean,
    ): Result<Unit, StorageFailure> {
        val incarnation = SecureRandom().nextLong()
        val node = NodeId("${setup.address}/${incarnation.toULong().toString(radix = 36)}")
        val identity = FolderIdentity(CLUSTER_ID, node, incarnation)
        return clearFolder(disk).andThen { initialiseFolder(disk, identity) }.map {
            if (founding) disk.replace(FOUNDER_FILE, ByteArray(0))
            logger.event("folder_initialised", mapOf("replica" to node.value, "founding" to founding))
            openReplica(disk, identity)
        }
    }

    private fun openReplica(
        disk: Disk,
        identity: FolderIdentity,
    ) {
        val founder = disk.read(FOUNDER_FILE) != null
        replica =
            openReplica(
                group = ReplicaGroup(CLUSTER_ID, identity.node, if (founder) listOf(identity.node) else emptyList()),
                disk = disk,
                stateMachine = FleetState(setup.publish),
                send = { to, payload -> setup.send(identity.node, to, payload) },
                nowMillis = setup.nowMillis,
                random = Random(SecureRandom().nextLong()),
                onHalt = ::halted,
                settings = replicaSettings,
            ).mapError { failure ->
                val fields = mapOf("replica" to identity.node.value, "reason" to failure.detail)
                logger.event("replica_not_opened", fields, Level.WARN)
                disk.close()
                reopenLater()
            }.getOrElse { return }
        logger.event("replica_opened", mapOf("replica" to identity.node.value, "founder" to founder))
    }

    /** Opens the folder again after a refusal by the disk; until then this host neither votes nor acknowledges. */
    private fun halted(failure: Failure) {
        if (failure.kind == ErrorKind.ShuttingDown) return
        logger.event("replica_halted", mapOf("reason" to failure.detail), Level.WARN)
        val halted = replica
        replica = null
        storage.schedule(
            {
                halted?.close()
                withDisk(::openExisting)
            },
            REOPEN_PAUSE_MILLIS,
            TimeUnit.MILLISECONDS,
        )
    }

    override fun close() {
        scope.cancel()
        storage.shutdownNow()
        replica?.close()
    }
}
