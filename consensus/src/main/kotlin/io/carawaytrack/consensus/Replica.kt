/*
 * The public interface of the replicated log, and the interface of the state machine that it applies commands to.
 */
package io.carawaytrack.consensus

import com.github.michaelbull.result.Result
import io.carawaytrack.model.Failure
import io.carawaytrack.model.NodeId

/** Applies committed commands in log order. All replicas apply the same commands. */
public interface StateMachine {
    /**
     * Applies the command committed at [index] and returns its reply. Must be deterministic: the result may only depend
     * on the current state and the arguments.
     */
    public fun apply(
        index: Long,
        command: ByteArray,
    ): ByteArray

    /** Returns the complete state in serialized form. */
    public fun snapshot(): ByteArray

    /** Replaces the complete state by a [snapshot] taken earlier or by another replica. */
    public fun restore(snapshot: ByteArray)
}

/**
 * Describes the status of one group member.
 *
 * @property replyAgeMillis time since the member's last reply to the leader; zero for the leader itself, and for all
 * members if this replica is not the leader
 */
public data class MemberStatus(
    val node: NodeId,
    val voter: Boolean,
    val replyAgeMillis: Long,
)

/**
 * Describes the status of a replica.
 *
 * @property members members according to its own log, committed or not
 * @property membersCommitted whether the entry that set [members] is known to be committed
 */
public data class ReplicaStatus(
    val node: NodeId,
    val leader: NodeId?,
    val term: Long,
    val commitIndex: Long,
    val appliedIndex: Long,
    val members: List<MemberStatus> = emptyList(),
    val membersCommitted: Boolean = true,
) {
    /** Whether this replica considers itself the leader; another one may have been elected since. */
    val leading: Boolean get() = leader == node
}

/** Replicates commands across the control hosts. Calls report failures as values and throw no exceptions. */
public interface Replica : AutoCloseable {
    /**
     * Commits [command] on a quorum and returns the reply of the state machine.
     *
     * Fails with `NotLeader` and `NotRun` if the command was never appended, and with `ControlUnavailable` and
     * `MayHaveRun` if leadership was lost while the call was in progress.
     */
    public suspend fun propose(command: ByteArray): Result<ByteArray, Failure>

    /**
     * Confirms with a quorum that this replica is still the leader and has applied everything that was committed before
     * the call, so that its state can serve a linearizable read. Calls made during a confirmation round share the next
     * round. Fails with `NotLeader`.
     */
    public suspend fun confirmLeadership(): Result<Unit, Failure>

    /** Handles a message from the replica [from]; drops it if it is malformed. */
    public fun receive(
        from: NodeId,
        payload: ByteArray,
    )

    /** Returns the current status. */
    public fun status(): ReplicaStatus
}
