/*
 * The form on disk of the small files beside the log: identity, term and vote, snapshot. Each is replaced as a whole
 * and carries a checksum over its content.
 */
package io.carawaytrack.storage

import io.carawaytrack.model.NodeId
import java.nio.ByteBuffer

/** Returns [content] behind its checksum. */
public fun withChecksum(content: ByteArray): ByteArray = ByteBuffer
    .allocate(Long.SIZE_BYTES + content.size)
    .putLong(checksum(content))
    .put(content)
    .array()

/** Returns the content of what [withChecksum] made, or null when there is none or the checksum doesn't match. */
public fun verifiedContent(sealed: ByteArray): ByteBuffer? {
    val contentBytes = sealed.size - Long.SIZE_BYTES
    val whole =
        contentBytes > 0 && ByteBuffer.wrap(sealed).getLong() == checksum(sealed, Long.SIZE_BYTES, contentBytes)
    return if (whole) ByteBuffer.wrap(sealed, Long.SIZE_BYTES, contentBytes) else null
}

internal fun verifiedContent(
    name: String,
    sealed: ByteArray,
): ByteBuffer = verifiedContent(sealed)
    ?: throw CorruptException("expected the checksum of $name to match its ${sealed.size} bytes, found another")

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
