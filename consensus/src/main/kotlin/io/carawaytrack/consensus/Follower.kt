/*
 * The follower role: appending batches of entries from the leader, and installing snapshots that arrive in chunks.
 */
package io.carawaytrack.consensus

import io.carawaytrack.model.NodeId
import io.carawaytrack.storage.StoredSnapshot
import io.carawaytrack.storage.checksum
import java.io.ByteArrayOutputStream

internal class Follower(
    private val state: RaftState,
) {
    private class PartialSnapshot(
        val index: Long,
        val checksum: Long,
        val state: ByteArrayOutputStream,
    )

    private var partialSnapshot: PartialSnapshot? = null

    fun onAppend(
        from: NodeId,
        request: AppendRequest,
    ) {
        if (!matchesPreviousEntry(request)) return reject(from, request)
        request.entries.forEachIndexed { position, sent ->
            val index = request.previousIndex + 1 + position
            val alreadyInLog = index <= state.commitIndex || state.log.termAt(index) == sent.term
            if (!alreadyInLog) state.append(sent.at(index))
        }
        val matchIndex = request.previousIndex + request.entries.size
        state.commitTo(minOf(request.commitIndex, matchIndex))
        accept(from, request, matchIndex)
    }

    fun onSnapshotChunk(
        from: NodeId,
        chunk: SnapshotChunk,
    ) {
        // If the log contains the snapshot's last entry, later entries may have been acknowledged and must be kept.
        if (state.log.termAt(chunk.index) == chunk.snapshotTerm) state.commitTo(chunk.index)
        if (chunk.index <= state.commitIndex) return accept(from, chunk, chunk.index)
        val buffer = bufferFor(chunk)
        if (chunk.offsetBytes == buffer.size()) buffer.write(chunk.bytes)
        if (buffer.size() < chunk.stateBytes) return reportProgress(from, chunk, buffer.size())
        partialSnapshot = null
        val content = buffer.toByteArray()
        if (checksum(content) != chunk.stateChecksum) return reportProgress(from, chunk, receivedBytes = 0)
        state.install(StoredSnapshot(chunk.index, chunk.snapshotTerm, chunk.metadata, content))
        accept(from, chunk, chunk.index)
    }

    /** Returns whether the log matches the request's previous entry; committed entries match by definition. */
    private fun matchesPreviousEntry(request: AppendRequest): Boolean = request.previousIndex <= state.commitIndex ||
        state.log.termAt(request.previousIndex) == request.previousTerm

    private fun reject(
        from: NodeId,
        request: AppendRequest,
    ) {
        val previous = request.previousIndex
        val isMissing = previous > state.log.lastIndex
        val next = if (isMissing) state.log.lastIndex + 1 else state.log.firstOfTerm(previous, state.commitIndex)
        state.sendAfterPersist(
            from,
            AppendReply(state.term, request.round, accepted = false, index = previous, nextIndex = next),
        )
    }

    private fun accept(
        from: NodeId,
        request: LeaderMessage,
        matchIndex: Long,
    ) = state.sendAfterPersist(from, AppendReply(state.term, request.round, accepted = true, index = matchIndex))

    private fun reportProgress(
        from: NodeId,
        chunk: SnapshotChunk,
        receivedBytes: Int,
    ) = state.sendAfterPersist(from, SnapshotReply(state.term, chunk.round, chunk.index, receivedBytes))

    private fun bufferFor(chunk: SnapshotChunk): ByteArrayOutputStream {
        val current = partialSnapshot
        if (current != null && current.index == chunk.index && current.checksum == chunk.stateChecksum) {
            return current.state
        }
        return PartialSnapshot(chunk.index, chunk.stateChecksum, ByteArrayOutputStream())
            .also { partialSnapshot = it }
            .state
    }
}
