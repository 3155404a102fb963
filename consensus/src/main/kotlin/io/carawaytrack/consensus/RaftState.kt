/*
 * The state shared by all roles of a replica, and the effects that a step requests from its driver. Nothing here
 * accesses a disk, a socket or a clock. The driver executes the effects of a step in a fixed order: it sends append
 * requests to followers, persists the changes, and only then sends replies and votes.
 */
package io.carawaytrack.consensus

import io.carawaytrack.model.Failure
import io.carawaytrack.model.NodeId
import io.carawaytrack.storage.LogEntry
import io.carawaytrack.storage.RecoveredState
import io.carawaytrack.storage.StoredSnapshot
import io.carawaytrack.storage.TermVote

/** Identifies one pending client call. */
internal typealias CallId = Long

internal class Outgoing(
    val to: NodeId,
    val message: Message,
)

/** Reports that the entry of [call] was appended at [index] and is not committed yet. */
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
 * Lists the actions that a step requests from the driver.
 *
 * @property beforePersist messages that are valid whether or not the changes of this step are durable
 * @property afterPersist messages that rely on [termVote], [install] and [append] being durable
 * @property lostLeadership whether this replica can no longer complete the calls accepted so far
 */
internal class Effects {
    val beforePersist = ArrayList<Outgoing>()
    var termVote: TermVote? = null
    var install: StoredSnapshot? = null
    val append = ArrayList<LogEntry>()
    var taken: TakenSnapshot? = null
    val afterPersist = ArrayList<Outgoing>()
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

    /** Highest index up to which the local log is durable. */
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

    fun sendBeforePersist(
        to: NodeId,
        message: Message,
    ) {
        effects.beforePersist += Outgoing(to, message)
    }

    fun sendAfterPersist(
        to: NodeId,
        message: Message,
    ) {
        effects.afterPersist += Outgoing(to, message)
    }

    fun refuse(
        call: CallId,
        failure: Failure,
    ) {
        effects.refused += Refused(call, failure)
    }

    fun append(entry: LogEntry) {
        check(entry.index > commitIndex) { "expected an index above commit index $commitIndex, got ${entry.index}" }
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

    /** Replaces the whole log by [snapshot], which covers all entries still to be appended or applied. */
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
