/*
 * What every role of a replica shares, and the effects that a step asks its driver for. Nothing here touches a disk, a
 * socket or a clock. The driver carries out a step's effects in a fixed order: appends to followers may leave at once,
 * then everything is made durable, and only then do answers and votes leave.
 */
package io.carawaytrack.consensus

import io.carawaytrack.model.Failure
import io.carawaytrack.model.NodeId
import io.carawaytrack.storage.LogEntry
import io.carawaytrack.storage.RecoveredState
import io.carawaytrack.storage.StoredSnapshot
import io.carawaytrack.storage.TermVote

/** Identifies one call of a client while it is under way. */
internal typealias CallId = Long

internal class Outgoing(
    val to: NodeId,
    val message: Message,
)

/** Tells that the call's entry stands at [index] and waits for its commit. */
internal class Accepted(
    val call: CallId,
    val index: Long,
    val term: Long,
)

internal class Refused(
    val call: CallId,
    val failure: Failure,
)

internal class TakenSnapshot(
    val snapshot: StoredSnapshot,
    val firstKeptIndex: Long,
)

/**
 * Lists what the driver must do after a step, in the order of the properties.
 *
 * @property early messages that hold whether or not this replica's own disk has synced
 * @property late messages that promise what [termVote], [install] and [append] make durable
 * @property lostLeadership whether calls accepted so far will not be answered by this replica
 */
internal class Effects {
    val early = ArrayList<Outgoing>()
    var termVote: TermVote? = null
    var install: StoredSnapshot? = null
    val append = ArrayList<LogEntry>()
    var taken: TakenSnapshot? = null
    val late = ArrayList<Outgoing>()
    val accepted = ArrayList<Accepted>()
    val committed = ArrayList<LogEntry>()
    val confirmed = ArrayList<CallId>()
    val refused = ArrayList<Refused>()
    var lostLeadership = false
}

internal class RaftState(
    group: ReplicaGroup,
    val settings: ReplicaSettings,
    recovered: RecoveredState,
) {
    val node: NodeId = group.node
    val incarnation: Long = recovered.identity.incarnation
    val log = RaftLog(recovered.snapshot, recovered.entries, GroupMembers.ofVoters(group.initialMembers))

    var term: Long = recovered.termVote.term
        private set
    var votedFor: NodeId? = recovered.termVote.votedFor
        private set
    var leader: NodeId? = null
    var commitIndex: Long = log.baseIndex
        private set

    /** The highest index up to which this replica's own log is durable. */
    var durableIndex: Long = log.lastIndex
        private set

    var effects = Effects()
        private set

    val members: GroupMembers get() = log.members

    fun takeEffects(): Effects = effects.also { effects = Effects() }

    fun enterTerm(
        newTerm: Long,
        vote: NodeId? = null,
    ) {
        check(newTerm > term) { "expected a term above $term, got $newTerm" }
        term = newTerm
        leader = null
        recordVote(vote)
    }

    fun recordVote(vote: NodeId?) {
        votedFor = vote
        effects.termVote = TermVote(term, vote)
    }

    fun sendEarly(
        to: NodeId,
        message: Message,
    ) {
        effects.early += Outgoing(to, message)
    }

    fun send(
        to: NodeId,
        message: Message,
    ) {
        effects.late += Outgoing(to, message)
    }

    fun refuse(
        call: CallId,
        failure: Failure,
    ) {
        effects.refused += Refused(call, failure)
    }

    fun append(entry: LogEntry) {
        check(entry.index > commitIndex) { "expected an index above the committed $commitIndex, got ${entry.index}" }
        log.append(entry)
        durableIndex = minOf(durableIndex, entry.index - 1)
        effects.append += entry
    }

    fun onPersisted(index: Long) {
        durableIndex = minOf(index, log.lastIndex)
    }

    fun commitTo(index: Long) {
        for (next in commitIndex + 1..index) effects.committed += log.entry(next)
        commitIndex = maxOf(commitIndex, index)
    }

    fun compact(
        index: Long,
        state: ByteArray,
    ) {
        val snapshot = log.compact(index, state, settings)
        effects.taken = TakenSnapshot(snapshot, log.baseIndex + 1)
    }

    /** Replaces the whole log; entries that were to be appended or applied before are part of [snapshot]. */
    fun install(snapshot: StoredSnapshot) {
        log.install(snapshot)
        commitIndex = snapshot.index
        durableIndex = snapshot.index
        effects.append.clear()
        effects.committed.clear()
        effects.taken = null
        effects.install = snapshot
    }
}
