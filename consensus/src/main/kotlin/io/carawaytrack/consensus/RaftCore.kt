/*
 * The replicated log as a pure function: inputs in, effects out, with no clock, disk, socket or randomness of its own.
 * This file holds the terms and elections; what a leader and a follower do within a term stands beside it.
 *
 * Before a replica asks for votes it asks whether it would get them, so that one that was cut off does not disturb the
 * group on its return. A replica that hears its leader answers no election, and a leader that hears no quorum for an
 * election timeout stops leading.
 */
package io.carawaytrack.consensus

import io.carawaytrack.model.NodeId
import io.carawaytrack.storage.RecoveredState
import kotlin.random.Random

/** Tells the core what has happened. */
internal sealed interface Input {
    /** Time has passed. */
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

    class Confirm(
        val call: CallId,
    ) : Input

    class ChangeMembers(
        val call: CallId,
        val change: MemberChange,
    ) : Input

    /** The log up to [index] has become durable. */
    class Persisted(
        val index: Long,
    ) : Input

    /** The state after applying [index] is [state]. */
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
    private var candidacy: Candidacy? = null
    private var electionAtMillis = 0L

    /** When the leader was last heard; a replica that has just started may have heard it a moment before. */
    private var leaderHeardMillis = nowMillis

    /** Holds the answers of an election; [preliminary] while it only asks whether votes would be granted. */
    private class Candidacy(
        val preliminary: Boolean,
    ) {
        val granted = HashSet<NodeId>()
    }

    init {
        postponeElection()
    }

    /** Takes in [inputs] that arrived together and returns what to do about them. */
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

    /** Returns the members, each with the time since this replica heard it if it leads. */
    fun standings(): List<MemberStatus> = state.members.members.map { member ->
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
            leading == null -> if (nowMillis >= electionAtMillis) startElection(preliminary = true)
            leading.hearsQuorum(nowMillis) -> leading.onTick(nowMillis)
            else -> stepDown()
        }
    }

    private fun onReceived(input: Input.Received) {
        val message = input.message
        if (message !is LeaderMessage && state.members.contradicts(input.from, input.incarnation)) return
        when (message) {
            is PreVoteRequest -> onPreVoteRequest(input.from, message)
            is PreVoteReply -> onPreVoteReply(input.from, message)
            is VoteRequest -> if (!hearsLeader()) onVoteRequest(input.from, message)
            is VoteReply -> if (isCurrent(message)) onVoteReply(input.from, message)
            is LeaderMessage -> onLeaderMessage(input.from, message)
            is FollowerMessage ->
                if (isCurrent(message)) leader?.onReply(input.from, input.incarnation, message, nowMillis)
        }
    }

    /** Follows a higher term in [message]; returns whether the message belongs to the term that is then current. */
    private fun isCurrent(message: Message): Boolean {
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
        if (!isCurrent(message)) {
            // The answer's higher term makes a leader of an earlier term step down.
            state.send(from, AppendReply(state.term, message.round, accepted = false, index = 0))
            return
        }
        check(leader == null) { "expected one leader in term ${state.term}, found ${state.node} and $from" }
        candidacy = null
        state.leader = from
        leaderHeardMillis = nowMillis
        postponeElection()
        when (message) {
            is AppendRequest -> follower.onAppend(from, message)
            is SnapshotChunk -> follower.onChunk(from, message)
        }
    }

    private fun onPreVoteRequest(
        from: NodeId,
        request: PreVoteRequest,
    ) {
        val proposedTerm = request.term + 1
        val granted =
            proposedTerm > state.term && !hearsLeader() && mayVote() && isUpToDate(request.lastIndex, request.lastTerm)
        state.send(from, PreVoteReply(state.term, proposedTerm, granted))
    }

    private fun onPreVoteReply(
        from: NodeId,
        reply: PreVoteReply,
    ) {
        if (reply.term > state.term) {
            isCurrent(reply)
            return
        }
        val current = candidacy?.takeIf { it.preliminary } ?: return
        if (!reply.granted || reply.proposedTerm != state.term + 1) return
        current.granted += from
        if (state.members.isQuorum(current.granted)) startElection(preliminary = false)
    }

    private fun onVoteRequest(
        from: NodeId,
        request: VoteRequest,
    ) {
        val current = isCurrent(request)
        val free = state.votedFor == null || state.votedFor == from
        val granted = current && free && mayVote() && isUpToDate(request.lastIndex, request.lastTerm)
        if (granted) {
            state.recordVote(from)
            postponeElection()
        }
        state.send(from, VoteReply(state.term, granted))
    }

    private fun onVoteReply(
        from: NodeId,
        reply: VoteReply,
    ) {
        val current = candidacy?.takeIf { !it.preliminary } ?: return
        if (!reply.granted) return
        current.granted += from
        if (state.members.isQuorum(current.granted)) lead()
    }

    private fun startElection(preliminary: Boolean) {
        postponeElection()
        state.leader = null
        if (!mayVote()) return
        if (!preliminary) state.enterTerm(state.term + 1, vote = state.node)
        val started = Candidacy(preliminary)
        candidacy = started
        started.granted += state.node
        when {
            !state.members.isQuorum(started.granted) -> requestVotes(preliminary)
            preliminary -> startElection(preliminary = false)
            else -> lead()
        }
    }

    private fun requestVotes(preliminary: Boolean) {
        val lastIndex = state.log.lastIndex
        val lastTerm = state.log.lastTerm
        val request =
            if (preliminary) {
                PreVoteRequest(state.term, lastIndex, lastTerm)
            } else {
                VoteRequest(state.term, lastIndex, lastTerm)
            }
        (state.members.voters - state.node).forEach { state.send(it, request) }
    }

    private fun lead() {
        candidacy = null
        state.leader = state.node
        leader = Leader(state, nowMillis)
    }

    private fun stepDown() {
        candidacy = null
        leader?.let {
            leader = null
            state.leader = null
            state.effects.lostLeadership = true
            it.close()
        }
        postponeElection()
    }

    private fun mayVote() = state.members.isVoter(state.node)

    private fun hearsLeader() = leader != null || nowMillis - leaderHeardMillis < state.settings.electionTimeoutMillis

    private fun isUpToDate(
        lastIndex: Long,
        lastTerm: Long,
    ): Boolean {
        val ownTerm = state.log.lastTerm
        return lastTerm > ownTerm || (lastTerm == ownTerm && lastIndex >= state.log.lastIndex)
    }

    private fun postponeElection() {
        val timeoutMillis = state.settings.electionTimeoutMillis
        electionAtMillis = nowMillis + timeoutMillis + random.nextLong(timeoutMillis)
    }
}
