/*
 * The messages between the replicas of a group, encoded as CBOR with a leading checksum. A message is smaller than
 * 512 KiB, because batches of entries are limited in size and snapshots are sent in chunks.
 */
package io.carawaytrack.consensus

import io.carawaytrack.storage.LogEntry
import io.carawaytrack.storage.verifiedContent
import io.carawaytrack.storage.withChecksum
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

private const val MESSAGE_VERSION = 1

/** Wraps a message with the fields that reveal a sender of another version, another cluster or another data folder. */
@Serializable
internal data class Envelope(
    val version: Int = MESSAGE_VERSION,
    val clusterId: String,
    val incarnation: Long,
    val message: Message,
)

/** A message between replicas, which always carries the sender's term. */
@Serializable
internal sealed interface Message {
    val term: Long
}

/** Asks whether the receiver would vote for the sender in the term after [term]. */
@Serializable
@SerialName("pre-vote?")
internal data class PreVoteRequest(
    override val term: Long,
    val lastIndex: Long,
    val lastTerm: Long,
) : Message

@Serializable
@SerialName("pre-vote")
internal data class PreVoteReply(
    override val term: Long,
    val proposedTerm: Long,
    val granted: Boolean,
) : Message

@Serializable
@SerialName("vote?")
internal data class VoteRequest(
    override val term: Long,
    val lastIndex: Long,
    val lastTerm: Long,
) : Message

@Serializable
@SerialName("vote")
internal data class VoteReply(
    override val term: Long,
    val granted: Boolean,
) : Message

/** A message that only the leader of a term sends. */
@Serializable
internal sealed interface LeaderMessage : Message {
    /** Number of the latest confirmation round that the leader has started. */
    val round: Long
}

/** A reply of a replica to its leader. */
@Serializable
internal sealed interface FollowerMessage : Message {
    /** Confirmation round of the message that is replied to. */
    val round: Long
}

/** Appends [entries] after the entry at [previousIndex]; a heartbeat has no entries. */
@Serializable
@SerialName("append?")
internal data class AppendRequest(
    override val term: Long,
    override val round: Long,
    val previousIndex: Long,
    val previousTerm: Long,
    val commitIndex: Long,
    val entries: List<SentEntry>,
) : LeaderMessage

@Serializable
@SerialName("entry")
internal class SentEntry(
    val term: Long,
    val kind: Byte,
    val payload: ByteArray,
) {
    fun at(index: Long): LogEntry = LogEntry(index, term, kind, payload)
}

/**
 * Replies to an append request or to the last chunk of a snapshot.
 *
 * @property index if accepted, the last index known to match the leader's log; otherwise the rejected previous index
 * @property nextIndex if rejected, the index of the entry that the leader should send next
 */
@Serializable
@SerialName("append")
internal data class AppendReply(
    override val term: Long,
    override val round: Long,
    val accepted: Boolean,
    val index: Long,
    val nextIndex: Long = 0,
) : FollowerMessage

/** Carries the chunk of a snapshot's state that starts at [offsetBytes]. */
@Serializable
@SerialName("snapshot?")
internal class SnapshotChunk(
    override val term: Long,
    override val round: Long,
    val index: Long,
    val snapshotTerm: Long,
    val metadata: ByteArray,
    val stateChecksum: Long,
    val stateBytes: Int,
    val offsetBytes: Int,
    val bytes: ByteArray,
) : LeaderMessage

/** Reports how many bytes of the snapshot at [index] have arrived. */
@Serializable
@SerialName("snapshot")
internal data class SnapshotReply(
    override val term: Long,
    override val round: Long,
    val index: Long,
    val receivedBytes: Int,
) : FollowerMessage

/** Encodes and decodes the messages of one cluster. */
@OptIn(ExperimentalSerializationApi::class)
internal class MessageCodec(
    private val clusterId: String,
    private val incarnation: Long,
) {
    private val cbor = Cbor { alwaysUseByteString = true }

    fun encode(message: Message): ByteArray {
        val envelope = Envelope(clusterId = clusterId, incarnation = incarnation, message = message)
        return withChecksum(cbor.encodeToByteArray(envelope))
    }

    /** Returns the envelope in [payload], or null if it is damaged or comes from another version or cluster. */
    fun decode(payload: ByteArray): Envelope? {
        val content = verifiedContent(payload) ?: return null
        return decodeOrNull { cbor.decodeFromByteArray<Envelope>(ByteArray(content.remaining()).also(content::get)) }
            ?.takeIf { it.version == MESSAGE_VERSION && it.clusterId == clusterId }
    }
}
