/*
 * How a replica takes in what its leader sends: batches of entries after a common one, and snapshots in chunks.
 */
package io.carawaytrack.consensus

import io.carawaytrack.model.NodeId
import io.carawaytrack.storage.StoredSnapshot
import io.carawaytrack.storage.checksum
import java.io.ByteArrayOutputStream

internal class Follower(
    private val state: RaftState,
) {
    private class Arriving(
        val index: Long,
        val checksum: Long,
        val state: ByteArrayOutputStream,
    )

    private var arriving: Arriving? = null

    fun onAppend(
        from: NodeId,
        request: AppendRequest,
    ) {
        if (!follows(request)) return reject(from, request)
        request.entries.forEachIndexed { position, sent ->
            val index = request.previousIndex + 1 + position
            val held = index <= state.commitIndex || state.log.termAt(index) == sent.term
            if (!held) state.append(sent.at(index))
        }
        val matchIndex = request.previousIndex + request.entries.size
        state.commitTo(minOf(request.commitIndex, matchIndex))
        accept(from, request, matchIndex)
    }

    fun onChunk(
        from: NodeId,
        chunk: SnapshotChunk,
    ) {
        // What follows an entry that the log shares with the snapshot may have been acknowledged and is kept.
        if (state.log.termAt(chunk.index) == chunk.snapshotTerm) state.commitTo(chunk.index)
        if (chunk.index <= state.commitIndex) return accept(from, chunk, chunk.index)
        val buffer = bufferFor(chunk)
        if (chunk.offsetBytes == buffer.size()) buffer.write(chunk.bytes)
        if (buffer.size() < chunk.stateBytes) return reportProgress(from, chunk, buffer.size())
        arriving = null
        val content = buffer.toByteArray()
        if (checksum(content) != chunk.stateChecksum) return reportProgress(from, chunk, receivedBytes = 0)
        state.install(StoredSnapshot(chunk.index, chunk.snapshotTerm, chunk.metadata, content))
        accept(from, chunk, chunk.index)
    }

    /** Returns whether the log holds the entry before the request's; all that is committed does by definition. */
    private fun follows(request: AppendRequest): Boolean = request.previousIndex <= state.commitIndex ||
        state.log.termAt(request.previousIndex) == request.previousTerm

    private fun reject(
        from: NodeId,
        request: AppendRequest,
    ) {
        val previous = request.previousIndex
        val missing = previous > state.log.lastIndex
        val next = if (missing) state.log.lastIndex + 1 else state.log.firstOfTerm(previous, state.commitIndex)
        state.send(from, AppendReply(state.term, request.round, accepted = false, index = previous, nextIndex = next))
    }

    private fun accept(
        from: NodeId,
        request: LeaderMessage,
        matchIndex: Long,
    ) = state.send(from, AppendReply(state.term, request.round, accepted = true, index = matchIndex))

    private fun reportProgress(
        from: NodeId,
        chunk: SnapshotChunk,
        receivedBytes: Int,
    ) = state.send(from, SnapshotReply(state.term, chunk.round, chunk.index, receivedBytes))

    private fun bufferFor(chunk: SnapshotChunk): ByteArrayOutputStream {
        val current = arriving
        if (current != null && current.index == chunk.index && current.checksum == chunk.stateChecksum) {
            return current.state
        }
        return Arriving(chunk.index, chunk.stateChecksum, ByteArrayOutputStream()).also { arriving = it }.state
    }
}
