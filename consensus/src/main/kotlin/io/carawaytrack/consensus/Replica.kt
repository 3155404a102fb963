/*
 * The narrow interface of the replicated log: what a control host may ask of it, and what it asks of the state machine
 * that it drives.
 */
package io.carawaytrack.consensus

import com.github.michaelbull.result.Result
import io.carawaytrack.model.Failure
import io.carawaytrack.model.NodeId

/** Applies committed commands in log order; every replica applies the same ones. */
public interface StateMachine {
    /** Applies the command committed at [index] and returns its reply; must depend on nothing but state and input. */
    public fun apply(
        index: Long,
        command: ByteArray,
    ): ByteArray

    /** Returns the whole state. */
    public fun snapshot(): ByteArray

    /** Replaces the whole state by a [snapshot] made earlier or elsewhere. */
    public fun restore(snapshot: ByteArray)
}

/**
 * Tells how a member of the group stands.
 *
 * @property replyAgeMillis time since the leader last heard it; zero for the leader itself, and on every other replica
 */
public data class MemberStatus(
    val node: NodeId,
    val voter: Boolean,
    val replyAgeMillis: Long,
)

/** Tells how a replica stands; [members] are those of its own log, committed or not. */
public data class ReplicaStatus(
    val node: NodeId,
    val leader: NodeId?,
    val term: Long,
    val commitIndex: Long,
    val appliedIndex: Long,
    val members: List<MemberStatus> = emptyList(),
) {
    /** Whether this replica believes that it leads. */
    val leading: Boolean get() = leader == node
}

/** Replicates commands over the control hosts; every call fails with a value, never by an exception. */
public interface Replica : AutoCloseable {
    /**
     * Commits [command] on a quorum and returns the state machine's reply.
     *
     * Fails with `NotLeader` and `NotRun` when the command was never appended, and with `ControlUnavailable` and
     * `MayHaveRun` when leadership was lost while it was under way.
     */
    public suspend fun propose(command: ByteArray): Result<ByteArray, Failure>

    /**
     * Confirms with a quorum that this replica still leads and has applied all that was committed before the call.
     * Calls made while a confirmation is under way share the next one. Fails with `NotLeader`.
     */
    public suspend fun confirmLeadership(): Result<Unit, Failure>

    /** Takes in a message from the replica [from]; a malformed one is dropped. */
    public fun receive(
        from: NodeId,
        payload: ByteArray,
    )

    /** Returns the current standing. */
    public fun status(): ReplicaStatus
}
