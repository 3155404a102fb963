/*
 * This host's copy of the replicated state: its replica of the log, and the membership changes that it makes as the
 * leader. A group forms and repairs itself without an operator: a host with an empty disk requests to join under a new
 * identity, and the leader replaces members that lost their disk or are unresponsive by such replicas.
 */
package io.carawaytrack.mesh

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.carawaytrack.consensus.GroupReplica
import io.carawaytrack.consensus.MemberChange
import io.carawaytrack.consensus.ReplicaStatus
import io.carawaytrack.fleet.FleetView
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.notRun
import io.carawaytrack.storage.Disk
import io.carawaytrack.storage.StorageFailure
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
import java.util.concurrent.ScheduledExecutorService

private val logger = KotlinLogging.logger {}

/** Time for which a join request is valid: several of the intervals at which it is repeated. */
private const val JOIN_VALID_MILLIS = 1_500L

/**
 * Settings and callbacks of a [CoreMember].
 *
 * @property requiredVoters voters below which no command is accepted, so that an acknowledged change survives the
 * configured number of lost hosts
 * @property publish receives each new view on the replica's thread
 * @property onLoop runs a task on the event loop
 * @property openDisk opens and locks [folder]
 */
internal class CoreSetup(
    val folder: Path,
    val address: HostPort,
    val requiredVoters: Int,
    val send: (NodeId, NodeId, ByteArray) -> Unit,
    val publish: (FleetView) -> Unit,
    val nowMillis: () -> Long,
    val onLoop: (() -> Unit) -> Unit,
    val openDisk: () -> Result<Disk, StorageFailure> = { openFileDisk(folder) },
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
    storage: ScheduledExecutorService = storageThread(),
) : AutoCloseable {
    private val folder = ReplicaFolder(setup, storage)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Unconfined)
    private val joinRequestedAtMillis = HashMap<NodeId, Long>()
    private var changeInProgress = false
    private var renewing = false

    private val replica: GroupReplica? get() = folder.replica

    /** Whether the folder already has an identity; then this host neither bootstraps a group nor joins as a new one. */
    val initialised: Boolean? get() = folder.initialised

    val status: ReplicaStatus? get() = replica?.status()

    /** Voters by whether they reply; null unless this host leads. */
    val voters: VoterCounts?
        get() {
            val voters = status?.takeIf { it.leading }?.members?.filter { it.voter } ?: return null
            return VoterCounts(voters.count { it.isResponsive }, voters.count { !it.isResponsive })
        }

    /** Opens the replica in the folder, if there is one. */
    fun open() = folder.open()

    /** Initialises the empty folder; with [bootstrap], as the first member of a new group. */
    fun initialise(bootstrap: Boolean) = folder.initialise(bootstrap)

    /** Saves [recent] for the next start, without waiting for the disk. */
    fun save(recent: RecentState) = folder.save(recent)

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
        folder.renew(open) { setup.onLoop { renewing = false } }
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

    override fun close() {
        scope.cancel()
        folder.close()
    }
}

/** Failure of changes on a host without a disk. */
internal val noReplica = ErrorKind.NotLeader.notRun("this host has no disk and no replica of the log")

/** Drops the result of a command, which is empty. */
internal fun Result<ByteArray, Failure>.toUnit(): Result<Unit, Failure> = map { }
