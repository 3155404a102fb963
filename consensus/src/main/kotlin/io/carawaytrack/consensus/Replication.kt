/*
 * Replicates the leader's log to the other members. Entries are sent in batches, several of them in flight. After a
 * rejection the leader probes for the last matching entry, and it sends a snapshot in chunks if the entries that a
 * member needs were compacted. A lost message is detected by the next heartbeat, which names the last entry sent and is
 * rejected by a member that does not have it.
 */
package io.carawaytrack.consensus

import io.carawaytrack.model.NodeId
import io.carawaytrack.storage.LogEntry
import io.carawaytrack.storage.StoredSnapshot
import io.carawaytrack.storage.checksum

/** Tracks the replication to one other member. */
private class Progress(
    var nextIndex: Long,
    var lastReplyAtMillis: Long,
) {
    var matchIndex = 0L
    var inFlight = 0
    var lastSentAtMillis = 0L
    var acknowledgedRound = 0L
    var snapshot: StoredSnapshot? = null
    var snapshotChecksum = 0L
    var snapshotBytes = 0

    /** Whether the last matching entry is still unknown; then only one message is in flight. */
    var probing = true
}

internal class Replication(
    private val state: RaftState,
    var nowMillis: Long,
) {
    private val log get() = state.log
    private val settings get() = state.settings
    private val peers = HashMap<NodeId, Progress>()

    /** Number of the latest confirmation round, which every message carries and every reply echoes. */
    var round = 0L

    /** Starts tracking members that were added and stops tracking members that were removed. */
    fun updatePeers() {
        val others = state.members.members.map { it.node } - state.node
        peers.keys.retainAll(others.toSet())
        others.forEach { node -> peers.getOrPut(node) { Progress(log.lastIndex + 1, nowMillis) } }
    }

    fun sendEntries() = peers.forEach { (node, peer) -> sendEntries(node, peer) }

    fun sendHeartbeats() = peers.forEach { (node, peer) -> sendHeartbeat(node, peer) }

    fun sendDueHeartbeats() = peers
        .filterValues { nowMillis - it.lastSentAtMillis >= settings.heartbeatMillis }
        .forEach { (node, peer) -> sendHeartbeat(node, peer) }

    /** Returns the index up to which the log of [node] is known to match and to be durable. */
    fun matchIndexOf(node: NodeId): Long = if (node == state.node) state.durableIndex else peers[node]?.matchIndex ?: 0

    /** Returns the members that have replied in confirmation round [minRound] or later, and the leader itself. */
    fun membersAcknowledging(minRound: Long): Set<NodeId> =
        peers.filterValues { it.acknowledgedRound >= minRound }.keys + state.node

    /** Returns the members that have replied within the last election timeout, and the leader itself. */
    fun activeMembers(): Set<NodeId> {
        val oldestMillis = nowMillis - settings.electionTimeoutMillis
        return peers.filterValues { it.lastReplyAtMillis > oldestMillis }.keys + state.node
    }

    /** Returns the time since the last reply of [node]; zero for this replica. */
    fun replyAgeMillis(node: NodeId): Long = peers[node]?.let { nowMillis - it.lastReplyAtMillis } ?: 0

    /** Handles a reply; returns whether [from] is a tracked member. */
    fun onReply(
        from: NodeId,
        reply: FollowerMessage,
    ): Boolean {
        val peer = peers[from] ?: return false
        peer.lastReplyAtMillis = nowMillis
        peer.acknowledgedRound = maxOf(peer.acknowledgedRound, reply.round)
        when (reply) {
            is AppendReply -> if (reply.accepted) onAcceptance(peer, reply) else onRejection(peer, reply)
            is SnapshotReply -> onSnapshotReply(from, peer, reply)
        }
        return true
    }

    private fun onAcceptance(
        peer: Progress,
        reply: AppendReply,
    ) {
        peer.matchIndex = maxOf(peer.matchIndex, reply.index)
        peer.nextIndex = maxOf(peer.nextIndex, peer.matchIndex + 1)
        val snapshotInstalled = peer.snapshot.let { it == null || it.index <= peer.matchIndex }
        if (snapshotInstalled) peer.snapshot = null
        peer.probing = false
        val allAcknowledged = peer.matchIndex == peer.nextIndex - 1
        peer.inFlight = if (allAcknowledged) 0 else maxOf(0, peer.inFlight - 1)
    }

    private fun onRejection(
        peer: Progress,
        reply: AppendReply,
    ) {
        val stale = reply.index <= peer.matchIndex || reply.index >= peer.nextIndex
        if (stale) return
        peer.probing = true
        peer.inFlight = 0
        peer.nextIndex = maxOf(peer.matchIndex + 1, minOf(reply.nextIndex, reply.index))
    }

    private fun onSnapshotReply(
        from: NodeId,
        peer: Progress,
        reply: SnapshotReply,
    ) {
        if (peer.snapshot?.index != reply.index || peer.snapshotBytes == reply.receivedBytes) return
        peer.snapshotBytes = reply.receivedBytes
        sendChunk(from, peer)
    }

    private fun sendEntries(
        to: NodeId,
        peer: Progress,
    ) {
        if (peer.snapshot != null) return
        val allowed = if (peer.probing) 1 else settings.maxInFlight
        while (peer.inFlight < allowed && peer.nextIndex <= log.lastIndex) {
            if (peer.nextIndex <= log.baseIndex) return startSnapshot(to, peer)
            val entries = log.slice(peer.nextIndex, settings.maxBatchBytes)
            sendAppend(to, peer, entries)
            peer.inFlight++
            peer.nextIndex += entries.size
        }
    }

    private fun sendHeartbeat(
        to: NodeId,
        peer: Progress,
    ) = when {
        peer.snapshot != null -> sendChunk(to, peer)
        peer.nextIndex <= log.baseIndex -> startSnapshot(to, peer)
        else -> sendAppend(to, peer, emptyList())
    }

    private fun sendAppend(
        to: NodeId,
        peer: Progress,
        entries: List<LogEntry>,
    ) {
        val previous = peer.nextIndex - 1
        val previousTerm =
            checkNotNull(log.termAt(previous)) {
                "expected the log to contain index $previous, it starts after index ${log.baseIndex}"
            }
        val sent = entries.map { SentEntry(it.term, it.kind, it.payload) }
        peer.lastSentAtMillis = nowMillis
        state.sendBeforePersist(to, AppendRequest(state.term, round, previous, previousTerm, state.commitIndex, sent))
    }

    private fun startSnapshot(
        to: NodeId,
        peer: Progress,
    ) {
        val snapshot = checkNotNull(log.snapshot) { "expected a snapshot from index ${log.baseIndex} on, found none" }
        peer.snapshot = snapshot
        peer.snapshotChecksum = checksum(snapshot.state)
        peer.snapshotBytes = 0
        sendChunk(to, peer)
    }

    private fun sendChunk(
        to: NodeId,
        peer: Progress,
    ) {
        val snapshot = peer.snapshot ?: return
        val start = minOf(peer.snapshotBytes, snapshot.state.size)
        val end = minOf(start + settings.snapshotChunkBytes, snapshot.state.size)
        peer.lastSentAtMillis = nowMillis
        state.sendBeforePersist(
            to,
            SnapshotChunk(
                term = state.term,
                round = round,
                index = snapshot.index,
                snapshotTerm = snapshot.term,
                metadata = snapshot.metadata,
                stateChecksum = peer.snapshotChecksum,
                stateBytes = snapshot.state.size,
                offsetBytes = start,
                bytes = snapshot.state.copyOfRange(start, end),
            ),
        )
    }
}
