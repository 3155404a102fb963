/*
 * The Raft state machine of one replica. It takes inputs and returns effects, and has no clock, disk, socket or source
 * of randomness of its own. This file implements terms and elections; `Leader.kt` and `Follower.kt` implement the two
 * roles within a term.
 *
 * A replica runs a pre-vote before it starts an election, so that one returning from a network partition does not force
 * the group into a new term. A replica that is in contact with its leader ignores vote requests, and a leader that has
 * no contact with a quorum for an election timeout steps down.
 */
package io.carawaytrack.consensus

import io.carawaytrack.model.NodeId
import io.carawaytrack.storage.RecoveredState
import kotlin.random.Random

/** An event that [RaftCore] reacts to. */
internal sealed interface Input {
    /** Triggers election and heartbeat timers that are due. */
    data object Tick : Input

    class Received(
        val from: NodeId,
        val incarnation: Long,
        val message: Message,
    ) : Input

    class Propose(
        val call: CallId,
        val command: ByteArray,
    ) : Input

    /** Requests a leadership confirmation for a linearizable read. */
    class Confirm(
        val call: CallId,
    ) : Input

    class ChangeMembers(
        val call: CallId,
        val change: MemberChange,
    ) : Input

    /** Reports that the local log is durable up to [index]. */
    class Persisted(
        val index: Long,
    ) : Input

    /** Provides the serialized [state] of the state machine after applying [index]. */
    class SnapshotTaken(
        val index: Long,
        val state: ByteArray,
    ) : Input
}

internal class RaftCore(
    group: ReplicaGroup,
    settings: ReplicaSettings,
    recovered: RecoveredState,
    private val random: Random,
    private var nowMillis: Long,
) {
    val state = RaftState(group, settings, recovered)
    private val follower = Follower(state)
    private var leader: Leader? = null
    private var election: Election? = null
    private var electionDeadlineAtMillis = 0L

    /**
     * Time of the last message from the leader. Starts at the current time, because the replica may have been in
     * contact with its leader just before it restarted.
     */
    private var lastLeaderMessageAtMillis = nowMillis

    /** Collects the votes of an election, or of the pre-vote that precedes it if [preVote] is set. */
    private class Election(
        val preVote: Boolean,
    ) {
        val granted = HashSet<NodeId>()
    }

    init {
        resetElectionDeadline()
    }

    /** Handles [inputs] as one batch and returns the resulting effects. */
    fun step(
        inputs: List<Input>,
        now: Long,
    ): Effects {
        nowMillis = maxOf(nowMillis, now)
        inputs.forEach(::handle)
        if (leader?.removed == true) stepDown()
        leader?.sendEntries()
        return state.takeEffects()
    }

    /** Returns the members, each with the time since its last reply if this replica is the leader. */
    fun memberStatuses(): List<MemberStatus> = state.members.members.map { member ->
        MemberStatus(member.node, member.voter, leader?.replyAgeMillis(member.node) ?: 0)
    }

    private fun handle(input: Input) = when (input) {
        is Input.Tick -> onTick()
        is Input.Received -> onReceived(input)
        is Input.Propose -> leader?.onProposal(input) ?: state.refuse(input.call, notLeader(state))
        is Input.Confirm -> leader?.onConfirm(input.call) ?: state.refuse(input.call, notLeader(state))
        is Input.ChangeMembers ->
            leader?.onChange(input.call, input.change) ?: state.refuse(input.call, notLeader(state))
        is Input.Persisted -> onPersisted(input.index)
        is Input.SnapshotTaken -> state.compact(input.index, input.state)
    }

    private fun onPersisted(index: Long) {
        state.onPersisted(index)
        leader?.advance()
    }

    private fun onTick() {
        val leading = leader
        when {
            leading == null -> if (nowMillis >= electionDeadlineAtMillis) startElection(preVote = true)
            leading.isQuorumActive(nowMillis) -> leading.onTick(nowMillis)
            else -> stepDown()
        }
    }

    private fun onReceived(input: Input.Received) {
        val message = input.message
        if (message !is LeaderMessage && state.members.hasOtherIncarnation(input.from, input.incarnation)) return
        when (message) {
            is PreVoteRequest -> onPreVoteRequest(input.from, message)
            is PreVoteReply -> onPreVoteReply(input.from, message)
            is VoteRequest -> if (!isLeaderActive()) onVoteRequest(input.from, message)
            is VoteReply -> if (acceptsTerm(message)) onVoteReply(input.from, message)
            is LeaderMessage -> onLeaderMessage(input.from, message)
            is FollowerMessage ->
                if (acceptsTerm(message)) leader?.onReply(input.from, input.incarnation, message, nowMillis)
        }
    }

    /** Adopts the term of [message] if it is higher; returns whether the message then belongs to the current term. */
    private fun acceptsTerm(message: Message): Boolean {
        if (message.term > state.term) {
            stepDown()
            state.enterTerm(message.term)
        }
        return message.term == state.term
    }

    private fun onLeaderMessage(
        from: NodeId,
        message: LeaderMessage,
    ) {
        if (!acceptsTerm(message)) {
            // The higher term in the reply makes a leader of an earlier term step down.
            state.sendAfterPersist(from, AppendReply(state.term, message.round, accepted = false, index = 0))
            return
        }
        check(leader == null) { "expected a single leader in term ${state.term}, got ${state.node} and $from" }
        election = null
        state.leader = from
        lastLeaderMessageAtMillis = nowMillis
        resetElectionDeadline()
        when (message) {
            is AppendRequest -> follower.onAppend(from, message)
            is SnapshotChunk -> follower.onSnapshotChunk(from, message)
        }
    }

    /**
     * Like [onVoteRequest], does not ask whether this replica is a voter by its own log: it may have been promoted by
     * an entry that it lacks, and be needed for a quorum. The candidate counts the votes of its own log's voters only.
     */
    private fun onPreVoteRequest(
        from: NodeId,
        request: PreVoteRequest,
    ) {
        val proposedTerm = request.term + 1
        val granted =
            proposedTerm > state.term &&
                !isLeaderActive() &&
                isUpToDate(request.lastIndex, request.lastTerm)
        state.sendAfterPersist(from, PreVoteReply(state.term, proposedTerm, granted))
    }

    private fun onPreVoteReply(
        from: NodeId,
        reply: PreVoteReply,
    ) {
        if (reply.term > state.term) {
            acceptsTerm(reply)
            return
        }
        val current = election?.takeIf { it.preVote } ?: return
        if (!reply.granted || reply.proposedTerm != state.term + 1) return
        current.granted += from
        if (state.members.isQuorum(current.granted)) startElection(preVote = false)
    }

    private fun onVoteRequest(
        from: NodeId,
        request: VoteRequest,
    ) {
        val current = acceptsTerm(request)
        val voteAvailable = state.votedFor == null || state.votedFor == from
        val granted = current && voteAvailable && isUpToDate(request.lastIndex, request.lastTerm)
        if (granted) {
            state.recordVote(from)
            resetElectionDeadline()
        }
        state.sendAfterPersist(from, VoteReply(state.term, granted))
    }

    private fun onVoteReply(
        from: NodeId,
        reply: VoteReply,
    ) {
        val current = election?.takeIf { !it.preVote } ?: return
        if (!reply.granted) return
        current.granted += from
        if (state.members.isQuorum(current.granted)) becomeLeader()
    }

    private fun startElection(preVote: Boolean) {
        resetElectionDeadline()
        state.leader = null
        if (!mayLead()) return
        if (!preVote) state.enterTerm(state.term + 1, vote = state.node)
        val started = Election(preVote)
        election = started
        started.granted += state.node
        when {
            !state.members.isQuorum(started.granted) -> requestVotes(preVote)
            preVote -> startElection(preVote = false)
            else -> becomeLeader()
        }
    }

    private fun requestVotes(preVote: Boolean) {
        val lastIndex = state.log.lastIndex
        val lastTerm = state.log.lastTerm
        val request =
            if (preVote) {
                PreVoteRequest(state.term, lastIndex, lastTerm)
            } else {
                VoteRequest(state.term, lastIndex, lastTerm)
            }
        (state.members.voters - state.node).forEach { state.sendAfterPersist(it, request) }
    }

    private fun becomeLeader() {
        election = null
        state.leader = state.node
        leader = Leader(state, nowMillis)
    }

    private fun stepDown() {
        election = null
        leader?.let {
            leader = null
            state.leader = null
            state.effects.lostLeadership = true
            it.close()
        }
        resetElectionDeadline()
    }

    private fun mayLead() = state.members.isVoter(state.node)

    private fun isLeaderActive() =
        leader != null || nowMillis - lastLeaderMessageAtMillis < state.settings.electionTimeoutMillis

    private fun isUpToDate(
        lastIndex: Long,
        lastTerm: Long,
    ): Boolean {
        val ownTerm = state.log.lastTerm
        return lastTerm > ownTerm || (lastTerm == ownTerm && lastIndex >= state.log.lastIndex)
    }

    private fun resetElectionDeadline() {
        val timeoutMillis = state.settings.electionTimeoutMillis
        electionDeadlineAtMillis = nowMillis + timeoutMillis + random.nextLong(timeoutMillis)
    }
}
