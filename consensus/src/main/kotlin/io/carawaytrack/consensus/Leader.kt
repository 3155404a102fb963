/*
 * The leader role within one term: advancing the commit index, confirming leadership for linearizable reads, and
 * changing the members. An instance is created when an election is won and discarded when leadership is lost.
 */
package io.carawaytrack.consensus

import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.notRun
import io.carawaytrack.storage.LogEntry

internal class Leader(
    private val state: RaftState,
    nowMillis: Long,
) {
    private val log get() = state.log
    private val replication = Replication(state, nowMillis)
    private val observedIncarnations = hashMapOf(state.node to state.incarnation)
    private val firstIndex = log.lastIndex + 1
    private var pendingConfirmations = ArrayList<CallId>()
    private var queuedConfirmations = ArrayList<CallId>()

    init {
        replication.updatePeers()
        append(EntryKind.NO_OPERATION, ByteArray(0))
    }

    /** Whether an entry of this term is committed, so that the commit index covers all commits of earlier terms. */
    private val hasCommittedInTerm get() = state.commitIndex >= firstIndex

    private val isMemberChangePending get() = log.membersIndex > state.commitIndex

    /** Whether a committed membership change has removed this replica. */
    val removed: Boolean get() = !isMemberChangePending && !state.members.isVoter(state.node)

    fun onTick(nowMillis: Long) {
        replication.nowMillis = nowMillis
        replication.sendDueHeartbeats()
    }

    /** Returns whether a quorum has replied within the last election timeout. */
    fun isQuorumActive(nowMillis: Long): Boolean {
        replication.nowMillis = nowMillis
        return state.members.isQuorum(replication.activeMembers())
    }

    /** Returns the time since the last reply of [node]. */
    fun replyAgeMillis(node: NodeId): Long = replication.replyAgeMillis(node)

    fun onProposal(proposal: Input.Propose) {
        val index = append(EntryKind.COMMAND, proposal.command)
        state.effects.accepted += Accepted(proposal.call, index, state.term)
    }

    /** Sends unsent entries to every member that has not reached its limit of messages in flight. */
    fun sendEntries() = replication.sendEntries()

    fun onConfirm(call: CallId) {
        queuedConfirmations += call
        startConfirmationRound()
    }

    fun onChange(
        call: CallId,
        change: MemberChange,
    ) {
        val refusal = refusalOf(change)
        if (refusal != null) return state.refuse(call, refusal)
        val index = append(EntryKind.MEMBERS, state.members.apply(change).encode())
        state.effects.accepted += Accepted(call, index, state.term)
        replication.updatePeers()
    }

    fun onReply(
        from: NodeId,
        incarnation: Long,
        reply: FollowerMessage,
        nowMillis: Long,
    ) {
        replication.nowMillis = nowMillis
        if (!replication.onReply(from, reply)) return
        observedIncarnations[from] = incarnation
        advance()
    }

    /** Advances the commit index to what is durable on a quorum, and continues work that depends on it. */
    fun advance() {
        val matches = state.members.voters.map(replication::matchIndexOf)
        val quorumIndex = matches.sortedDescending().getOrNull(state.members.quorum - 1) ?: return
        // An entry of an earlier term may still be overwritten, even if it is stored on a quorum (Raft paper, 5.4.2).
        if (quorumIndex > state.commitIndex && log.termAt(quorumIndex) == state.term) state.commitTo(quorumIndex)
        recordIncarnations()
        finishConfirmationRound()
    }

    /** Refuses all pending and queued confirmations, because leadership is lost. */
    fun close() = (pendingConfirmations + queuedConfirmations).forEach { state.refuse(it, notLeader(state)) }

    private fun append(
        kind: Byte,
        payload: ByteArray,
    ): Long {
        val entry = LogEntry(log.lastIndex + 1, state.term, kind, payload)
        state.append(entry)
        return entry.index
    }

    private fun startConfirmationRound() {
        if (pendingConfirmations.isNotEmpty() || queuedConfirmations.isEmpty() || !hasCommittedInTerm) return
        replication.round++
        pendingConfirmations = queuedConfirmations
        queuedConfirmations = ArrayList()
        replication.sendHeartbeats()
        finishConfirmationRound()
    }

    private fun finishConfirmationRound() {
        val acknowledged = replication.membersAcknowledging(replication.round)
        if (pendingConfirmations.isNotEmpty() && state.members.isQuorum(acknowledged)) {
            state.effects.confirmed += pendingConfirmations
            pendingConfirmations = ArrayList()
        }
        startConfirmationRound()
    }

    /** Records the incarnation of each member's data folder when it is seen for the first time. */
    private fun recordIncarnations() {
        if (!hasCommittedInTerm || isMemberChangePending) return
        val updated = state.members.withIncarnations(observedIncarnations)
        if (updated == state.members) return
        append(EntryKind.MEMBERS, updated.encode())
    }

    private fun refusalOf(change: MemberChange): Failure? = when {
        !hasCommittedInTerm || isMemberChangePending ->
            ErrorKind.InProgress.notRun("expected no other membership change in progress, found an uncommitted one")
        change is MemberChange.AddLearner ->
            if (state.members[change.node] == null) null else conflict("${change.node} is already a member")
        state.members[change.node] == null ->
            ErrorKind.NotFound.notRun("expected a member of the group, but ${change.node} is not a member")
        change is MemberChange.Promote -> refusalOfPromotion(change.node)
        state.members.voters == listOf(change.node) -> conflict("${change.node} is the last voter and can't be removed")
        else -> null
    }

    private fun refusalOfPromotion(node: NodeId): Failure? {
        val matchIndex = replication.matchIndexOf(node)
        val lagging = state.commitIndex - matchIndex > state.settings.promotionLagEntries
        return when {
            state.members.isVoter(node) -> conflict("$node is already a voter")
            lagging || node !in replication.activeMembers() ->
                ErrorKind.InProgress.notRun(
                    "expected $node to be reachable and to have replicated the log up to index " +
                        "${state.commitIndex}, it has replicated index $matchIndex",
                )
            else -> null
        }
    }

    private fun conflict(detail: String) = ErrorKind.VersionConflict.notRun(detail)
}

/** Describes the refusal by a replica that is not the leader; names the leader if it is known. */
internal fun notLeader(state: RaftState): Failure =
    ErrorKind.NotLeader.notRun("${state.node} does not lead; the leader of term ${state.term} is ${state.leader}")
