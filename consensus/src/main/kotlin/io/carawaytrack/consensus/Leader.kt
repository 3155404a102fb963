/*
 * One term of leadership: what is committed, rounds that confirm the leadership, and changes of the members. An
 * instance is made when an election is won and dropped when the leadership is lost.
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
    private val heardIncarnations = hashMapOf(state.node to state.incarnation)
    private val firstIndex = log.lastIndex + 1
    private var confirming = ArrayList<CallId>()
    private var waiting = ArrayList<CallId>()

    init {
        replication.followMembers()
        append(EntryKind.NO_OPERATION, ByteArray(0))
    }

    /** Whether an entry of this term is committed, so that the commit index is known to hold all earlier terms'. */
    private val established get() = state.commitIndex >= firstIndex

    private val membersUnsettled get() = log.membersIndex > state.commitIndex

    /** Whether this replica has been removed by a committed change. */
    val removed: Boolean get() = !membersUnsettled && !state.members.isVoter(state.node)

    fun onTick(nowMillis: Long) {
        replication.nowMillis = nowMillis
        replication.sendDueHeartbeats()
    }

    /** Returns whether a quorum has answered within the last election timeout. */
    fun hearsQuorum(nowMillis: Long): Boolean {
        replication.nowMillis = nowMillis
        return state.members.isQuorum(replication.heard())
    }

    /** Returns the time since [node] last answered. */
    fun replyAgeMillis(node: NodeId): Long = replication.replyAgeMillis(node)

    fun onProposal(proposal: Input.Propose) {
        val index = append(EntryKind.COMMAND, proposal.command)
        state.effects.accepted += Accepted(proposal.call, index, state.term)
    }

    /** Sends what has been appended since the last call to every member that may be sent more. */
    fun sendEntries() = replication.sendEntries()

    fun onConfirm(call: CallId) {
        waiting += call
        startRound()
    }

    fun onChange(
        call: CallId,
        change: MemberChange,
    ) {
        val refusal = refusalOf(change)
        if (refusal != null) return state.refuse(call, refusal)
        val index = append(EntryKind.MEMBERS, state.members.apply(change).encode())
        state.effects.accepted += Accepted(call, index, state.term)
        replication.followMembers()
    }

    fun onReply(
        from: NodeId,
        incarnation: Long,
        reply: FollowerMessage,
        nowMillis: Long,
    ) {
        replication.nowMillis = nowMillis
        if (!replication.onReply(from, reply)) return
        heardIncarnations[from] = incarnation
        advance()
    }

    /** Commits what a quorum holds durably and does what was waiting for it. */
    fun advance() {
        val matches = state.members.voters.map(replication::matchIndexOf)
        val quorumIndex = matches.sortedDescending().getOrNull(state.members.quorum - 1) ?: return
        // An entry of an earlier term may still be replaced although a quorum holds it.
        if (quorumIndex > state.commitIndex && log.termAt(quorumIndex) == state.term) state.commitTo(quorumIndex)
        recordIncarnations()
        finishRound()
    }

    /** Refuses the confirmations that are under way, because the leadership is lost. */
    fun close() = (confirming + waiting).forEach { state.refuse(it, notLeader(state)) }

    private fun append(
        kind: Byte,
        payload: ByteArray,
    ): Long {
        val entry = LogEntry(log.lastIndex + 1, state.term, kind, payload)
        state.append(entry)
        return entry.index
    }

    private fun startRound() {
        if (confirming.isNotEmpty() || waiting.isEmpty() || !established) return
        replication.round++
        confirming = waiting
        waiting = ArrayList()
        replication.sendHeartbeats()
        finishRound()
    }

    private fun finishRound() {
        val answered = replication.answered(replication.round)
        if (confirming.isNotEmpty() && state.members.isQuorum(answered)) {
            state.effects.confirmed += confirming
            confirming = ArrayList()
        }
        startRound()
    }

    /** Binds each member to the data folder that it first answered from. */
    private fun recordIncarnations() {
        if (!established || membersUnsettled) return
        val bound = state.members.withIncarnations(heardIncarnations)
        if (bound == state.members) return
        append(EntryKind.MEMBERS, bound.encode())
    }

    private fun refusalOf(change: MemberChange): Failure? = when {
        !established || membersUnsettled ->
            ErrorKind.InProgress.notRun("expected the members to be settled, found a change under way")
        change is MemberChange.AddLearner ->
            if (state.members[change.node] == null) null else conflict("${change.node} is a member already")
        state.members[change.node] == null ->
            ErrorKind.NotFound.notRun("expected ${change.node} among the members, found none of that name")
        change is MemberChange.Promote -> refusalOfPromotion(change.node)
        state.members.voters == listOf(change.node) -> conflict("${change.node} is the last voter")
        else -> null
    }

    private fun refusalOfPromotion(node: NodeId): Failure? {
        val matchIndex = replication.matchIndexOf(node)
        val lagging = state.commitIndex - matchIndex > state.settings.promotionLagEntries
        return when {
            state.members.isVoter(node) -> conflict("$node is a voter already")
            lagging || node !in replication.heard() ->
                ErrorKind.InProgress.notRun(
                    "expected $node to hold the log up to ${state.commitIndex}, got $matchIndex",
                )
            else -> null
        }
    }

    private fun conflict(detail: String) = ErrorKind.VersionConflict.notRun(detail)
}

/** Names the leader as far as it is known. */
internal fun notLeader(state: RaftState): Failure =
    ErrorKind.NotLeader.notRun("${state.node} does not lead; the leader of term ${state.term} is ${state.leader}")
