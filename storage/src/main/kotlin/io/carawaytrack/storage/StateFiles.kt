/*
 * The on-disk format of the files beside the log: identity, term and vote, and snapshot. Each file is replaced as a
 * whole and starts with a checksum over its content.
 */
package io.carawaytrack.storage

import io.carawaytrack.model.NodeId
import java.nio.ByteBuffer

/** Returns [content] with its checksum prepended. */
public fun withChecksum(content: ByteArray): ByteArray = ByteBuffer
    .allocate(Long.SIZE_BYTES + content.size)
    .putLong(checksum(content))
    .put(content)
    .array()

/** Returns the content of [bytes] made by [withChecksum], or null if it is empty or the checksum does not match. */
public fun verifiedContent(bytes: ByteArray): ByteBuffer? {
    val contentBytes = bytes.size - Long.SIZE_BYTES
    val isIntact =
        contentBytes > 0 && ByteBuffer.wrap(bytes).getLong() == checksum(bytes, Long.SIZE_BYTES, contentBytes)
    return if (isIntact) ByteBuffer.wrap(bytes, Long.SIZE_BYTES, contentBytes) else null
}

internal fun verifiedContent(
    name: String,
    bytes: ByteArray,
): ByteBuffer = verifiedContent(bytes)
    ?: throw CorruptException("expected the checksum of $name to match its ${bytes.size} bytes, got a mismatch")

internal fun encodeTerm(termVote: TermVote): ByteArray {
    val vote =
        termVote.votedFor
            ?.value
            .orEmpty()
            .toByteArray()
    return ByteBuffer
        .allocate(Long.SIZE_BYTES + Int.SIZE_BYTES + vote.size)
        .putLong(termVote.term)
        .putBytes(vote)
        .array()
}

internal fun decodeTerm(content: ByteBuffer): TermVote {
    val term = content.getLong()
    return TermVote(term, String(content.getBytes()).ifEmpty { null }?.let(::NodeId))
}

internal fun encodeIdentity(identity: FolderIdentity): ByteArray {
    val cluster = identity.clusterId.toByteArray()
    val node = identity.node.value.toByteArray()
    return ByteBuffer
        .allocate(Long.SIZE_BYTES + Int.SIZE_BYTES * 2 + cluster.size + node.size)
        .putLong(identity.incarnation)
        .putBytes(cluster)
        .putBytes(node)
        .array()
}

internal fun decodeIdentity(content: ByteBuffer): FolderIdentity {
    val incarnation = content.getLong()
    return FolderIdentity(String(content.getBytes()), NodeId(String(content.getBytes())), incarnation)
}

internal fun encodeSnapshot(snapshot: StoredSnapshot): ByteArray = ByteBuffer
    .allocate((Long.SIZE_BYTES + Int.SIZE_BYTES) * 2 + snapshot.metadata.size + snapshot.state.size)
    .putLong(snapshot.index)
    .putLong(snapshot.term)
    .putBytes(snapshot.metadata)
    .putBytes(snapshot.state)
    .array()

internal fun decodeSnapshot(content: ByteBuffer): StoredSnapshot {
    val index = content.getLong()
    val term = content.getLong()
    return StoredSnapshot(index, term, content.getBytes(), content.getBytes())
}

private fun ByteBuffer.putBytes(bytes: ByteArray): ByteBuffer = putInt(bytes.size).put(bytes)

private fun ByteBuffer.getBytes(): ByteArray = ByteArray(getInt()).also { get(it) }
