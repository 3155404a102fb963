/*
 * A replica that runs on its own thread. Calls and messages go into one bounded queue; the thread processes everything
 * queued as one batch with a single sync, and then completes the calls. No other thread accesses the replica's state.
 */
package io.carawaytrack.consensus

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.notRun
import io.carawaytrack.storage.Disk
import io.carawaytrack.storage.openLogStore
import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random

private const val DEFAULT_MAX_PAYLOAD_BYTES = 256 * 1024
private const val DEFAULT_SNAPSHOT_EVERY_BYTES = 16L * 1024 * 1024
private const val DEFAULT_KEPT_BYTES = 4L * 1024 * 1024

/**
 * Settings of a replica; all replicas of a group should use the same values.
 *
 * @property electionTimeoutMillis time without a message from the leader after which a follower starts an election, and
 * time without replies from a quorum after which a leader steps down
 * @property heartbeatMillis maximum time between two messages of a leader to each member
 * @property snapshotEveryEntries number of entries applied between two snapshots
 * @property snapshotEveryBytes bytes of commands applied between two snapshots; limits the size of the log in memory
 * @property keptEntries number of entries before a snapshot to retain, so that members slightly behind need no snapshot
 * @property keptBytes maximum total size of those entries
 * @property maxBatchBytes maximum size of the entries in one message
 * @property maxCommandBytes maximum size of a command
 * @property snapshotChunkBytes maximum size of the chunk of a snapshot in one message
 * @property maxInFlight maximum number of unacknowledged messages with entries to each member
 * @property promotionLagEntries number of entries by which a learner may lag and still be promoted
 * @property maxQueued maximum number of calls and messages in the queue of the replica's thread
 */
public data class ReplicaSettings(
    val electionTimeoutMillis: Long = 1_000,
    val heartbeatMillis: Long = 100,
    val snapshotEveryEntries: Int = 10_000,
    val snapshotEveryBytes: Long = DEFAULT_SNAPSHOT_EVERY_BYTES,
    val keptEntries: Int = 1_000,
    val keptBytes: Long = DEFAULT_KEPT_BYTES,
    val maxBatchBytes: Int = DEFAULT_MAX_PAYLOAD_BYTES,
    val maxCommandBytes: Int = DEFAULT_MAX_PAYLOAD_BYTES,
    val snapshotChunkBytes: Int = DEFAULT_MAX_PAYLOAD_BYTES,
    val maxInFlight: Int = 8,
    val promotionLagEntries: Long = 16,
    val maxQueued: Int = 16_384,
)

/**
 * Identifies a replica and its group.
 *
 * @property initialMembers initial voters of a new group; empty for a replica that joins an existing group
 */
public data class ReplicaGroup(
    val clusterId: String,
    val node: NodeId,
    val initialMembers: List<NodeId>,
)

/** Replicates commands across a group whose members can be changed at run time. */
public interface GroupReplica : Replica {
    /**
     * Commits [change] to the members of the group; only one change can be in progress.
     *
     * Fails with `NotLeader`, with `InProgress` while another change is in progress or the learner to promote lags
     * behind or is unreachable, with `NotFound` or `VersionConflict` if the change does not apply to the current
     * members, and with `ControlUnavailable` and `MayHaveRun` if leadership was lost while the call was in progress.
     */
    public suspend fun changeMembers(change: MemberChange): Result<Unit, Failure>
}

/**
 * Opens one replica of [group] and starts its thread.
 *
 * Fails with `StorageFailed` if [disk] was not initialised for this node or can't be read; [disk] then stays open.
 *
 * @param stateMachine a state machine in its initial state; the latest snapshot is restored into it and the entries
 * after the snapshot are applied again
 * @param send sends a message of at most 512 KiB; must neither block nor throw, and may lose, delay, duplicate or
 * reorder messages
 * @param onHalt called when the replica has stopped permanently, with `ShuttingDown` after a close, `StorageFailed`
 * after a disk failure and `Internal` otherwise
 */
public fun openReplica(
    group: ReplicaGroup,
    disk: Disk,
    stateMachine: StateMachine,
    send: (NodeId, ByteArray) -> Unit,
    nowMillis: () -> Long,
    random: Random,
    onHalt: (Failure) -> Unit,
    settings: ReplicaSettings = ReplicaSettings(),
): Result<GroupReplica, Failure> = openLogStore(disk, group.clusterId, group.node)
    .map { opened ->
        val core = RaftCore(group, settings, opened.recovered, random, nowMillis())
        val codec = MessageCodec(group.clusterId, opened.recovered.identity.incarnation)
        ThreadedReplica(ReplicaDriver(core, opened.store, stateMachine, codec, send, nowMillis, onHalt), settings)
    }.mapError { ErrorKind.StorageFailed.notRun(it.detail) }

private const val MAX_REQUESTS_PER_BATCH = 4_096
private const val TICKS_PER_HEARTBEAT = 4

private class ThreadedReplica(
    private val driver: ReplicaDriver,
    private val settings: ReplicaSettings,
) : GroupReplica {
    private val queue = LinkedBlockingQueue<Request>()

    @Volatile
    private var closing = false

    @Volatile
    private var stopReason: ErrorKind? = null
    private val worker = thread(start = false, name = "replica-${driver.status.node}", isDaemon = true) { run() }

    init {
        worker.setUncaughtExceptionHandler { _, thrown -> stop(ErrorKind.Internal, "the thread failed with $thrown") }
        worker.start()
    }

    override suspend fun propose(command: ByteArray): Result<ByteArray, Failure> {
        if (command.size > settings.maxCommandBytes) return Err(tooLarge(command.size))
        return call { Request.Propose(command, it) }
    }

    override suspend fun confirmLeadership(): Result<Unit, Failure> = call { Request.Confirm(it) }.map { }

    override suspend fun changeMembers(change: MemberChange): Result<Unit, Failure> =
        call { Request.ChangeMembers(change, it) }.map { }

    override fun receive(
        from: NodeId,
        payload: ByteArray,
    ) {
        if (stopReason == null && queue.size < settings.maxQueued) queue += Request.Receive(from, payload)
    }

    override fun status(): ReplicaStatus = driver.status

    override fun close() {
        closing = true
        queue += Request.Tick
        if (Thread.currentThread() != worker) worker.join()
    }

    private suspend fun call(request: (ResultCallback) -> Request): Result<ByteArray, Failure> {
        if (queue.size >= settings.maxQueued) return Err(queueFull())
        val result = CompletableDeferred<Result<ByteArray, Failure>>()
        queue += request { result.complete(it) }
        stopReason?.let(::refuseQueued)
        return result.await()
    }

    private fun run() {
        val batch = ArrayList<Request>()
        while (!closing) {
            queue.poll(settings.heartbeatMillis / TICKS_PER_HEARTBEAT, TimeUnit.MILLISECONDS)?.let(batch::add)
            queue.drainTo(batch, MAX_REQUESTS_PER_BATCH)
            driver.process(batch + Request.Tick)
            batch.clear()
        }
        stop(ErrorKind.ShuttingDown)
    }

    private fun stop(
        kind: ErrorKind,
        detail: String = kind.explanation,
    ) {
        try {
            driver.close(kind, detail)
        } finally {
            stopReason = kind
            refuseQueued(kind)
        }
    }

    private fun refuseQueued(kind: ErrorKind) {
        while (true) (queue.poll() ?: return).refuse(kind.notRun())
    }

    private fun queueFull() = ErrorKind.ControlUnavailable.notRun(
        "expected fewer than ${settings.maxQueued} queued calls and messages, the queue is full",
    )

    private fun tooLarge(commandBytes: Int) = Failure(
        ErrorKind.BodyTooLarge,
        Execution.NotRun,
        "expected a command of at most ${settings.maxCommandBytes} bytes, got $commandBytes",
    )
}
