/*
 * A replica with its thread. Calls and messages go into one bounded queue; the thread takes all that has gathered,
 * carries it out with one sync, and answers. Nothing else touches the state of the replica.
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

private const val DEFAULT_PART_BYTES = 256 * 1024
private const val DEFAULT_SNAPSHOT_EVERY_BYTES = 16L * 1024 * 1024
private const val DEFAULT_KEPT_BYTES = 4L * 1024 * 1024

/**
 * Sets how a replica behaves; all replicas of a group should use the same values.
 *
 * @property electionTimeoutMillis silence of the leader after which another is elected, and silence of the quorum after
 * which a leader stops leading
 * @property heartbeatMillis longest time between two messages of a leader to each member
 * @property snapshotEveryEntries entries applied between two snapshots
 * @property snapshotEveryBytes bytes of commands applied between two snapshots; bounds the log in memory
 * @property keptEntries entries kept before a snapshot for members that lag a little
 * @property keptBytes bound on the bytes of those entries
 * @property maxBatchBytes bound on the entries of one message
 * @property maxCommandBytes bound on one command
 * @property snapshotChunkBytes bound on the part of a snapshot in one message
 * @property maxInFlight messages with entries that may wait for one member's answer
 * @property promotionLagEntries entries by which a learner may lag and still be promoted
 * @property maxQueued calls and messages that may wait for the replica's thread
 */
public data class ReplicaSettings(
    val electionTimeoutMillis: Long = 1_000,
    val heartbeatMillis: Long = 100,
    val snapshotEveryEntries: Int = 10_000,
    val snapshotEveryBytes: Long = DEFAULT_SNAPSHOT_EVERY_BYTES,
    val keptEntries: Int = 1_000,
    val keptBytes: Long = DEFAULT_KEPT_BYTES,
    val maxBatchBytes: Int = DEFAULT_PART_BYTES,
    val maxCommandBytes: Int = DEFAULT_PART_BYTES,
    val snapshotChunkBytes: Int = DEFAULT_PART_BYTES,
    val maxInFlight: Int = 8,
    val promotionLagEntries: Long = 16,
    val maxQueued: Int = 16_384,
)

/**
 * Names a replica and the group that it belongs to.
 *
 * @property initialMembers the voters that a new group starts with; empty for a replica that joins a running group
 */
public data class ReplicaGroup(
    val clusterId: String,
    val node: NodeId,
    val initialMembers: List<NodeId>,
)

/** Replicates commands over a group whose members can be changed while it serves. */
public interface GroupReplica : Replica {
    /**
     * Commits [change] of the group's members, one at a time.
     *
     * Fails with `NotLeader`, with `InProgress` while another change is under way or a learner to promote lags, with
     * `NotFound` or `VersionConflict` when the change doesn't fit the members, and with `ControlUnavailable` and
     * `MayHaveRun` when leadership was lost while it was under way.
     */
    public suspend fun changeMembers(change: MemberChange): Result<Unit, Failure>
}

/**
 * Opens one replica of [group] and starts its thread.
 *
 * Fails with `StorageFailed` when [disk] was not initialised for this node or can't be read; [disk] then stays open.
 *
 * @param stateMachine in its first state; a snapshot and the log after it are played into it again
 * @param send hands a message of at most 512 KiB to the network; must neither block nor throw, and may lose, delay,
 * repeat or reorder it
 * @param onHalt learns why the replica has stopped for good: `ShuttingDown` after a close, `StorageFailed` when the
 * disk refused a call, else `Internal`
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

private const val MAX_TAKEN = 4_096
private const val TICKS_PER_HEARTBEAT = 4

private class ThreadedReplica(
    private val driver: ReplicaDriver,
    private val settings: ReplicaSettings,
) : GroupReplica {
    private val queue = LinkedBlockingQueue<Request>()

    @Volatile
    private var closing = false

    @Volatile
    private var finished: ErrorKind? = null
    private val worker = thread(start = false, name = "replica-${driver.status.node}", isDaemon = true) { run() }

    init {
        worker.setUncaughtExceptionHandler { _, thrown -> stop(ErrorKind.Internal, "the thread threw $thrown") }
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
        if (finished == null && queue.size < settings.maxQueued) queue += Request.Receive(from, payload)
    }

    override fun status(): ReplicaStatus = driver.status

    override fun close() {
        closing = true
        queue += Request.Tick
        if (Thread.currentThread() != worker) worker.join()
    }

    private suspend fun call(request: (Answer) -> Request): Result<ByteArray, Failure> {
        if (queue.size >= settings.maxQueued) return Err(overloaded())
        val answer = CompletableDeferred<Result<ByteArray, Failure>>()
        queue += request { answer.complete(it) }
        finished?.let(::refuseQueued)
        return answer.await()
    }

    private fun run() {
        val taken = ArrayList<Request>()
        while (!closing) {
            queue.poll(settings.heartbeatMillis / TICKS_PER_HEARTBEAT, TimeUnit.MILLISECONDS)?.let(taken::add)
            queue.drainTo(taken, MAX_TAKEN)
            driver.turn(taken + Request.Tick)
            taken.clear()
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
            finished = kind
            refuseQueued(kind)
        }
    }

    private fun refuseQueued(kind: ErrorKind) {
        while (true) (queue.poll() ?: return).refuse(kind.notRun())
    }

    private fun overloaded() =
        ErrorKind.ControlUnavailable.notRun("expected fewer than ${settings.maxQueued} queued calls, found as many")

    private fun tooLarge(commandBytes: Int) = Failure(
        ErrorKind.BodyTooLarge,
        Execution.NotRun,
        "expected a command of at most ${settings.maxCommandBytes} bytes, got $commandBytes",
    )
}
