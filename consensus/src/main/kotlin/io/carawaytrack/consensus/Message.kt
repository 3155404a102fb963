/*
 * The messages between the replicas of a group, as CBOR after a checksum. Every message stays under half a mebibyte:
 * batches of entries are cut by size and snapshots travel in chunks.
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

/** Wraps a message with what tells a stranger apart: another version, another cluster, another data folder. */
@Serializable
internal data class Envelope(
    val version: Int = MESSAGE_VERSION,
    val clusterId: String,
    val incarnation: Long,
    val message: Message,
)

/** Carries the sender's term in every message. */
@Serializable
internal sealed interface Message {
    val term: Long
}

/** Asks whether the receiver would vote for the sender in the term after its own. */
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

/** Marks what only the leader of a term sends. */
@Serializable
internal sealed interface LeaderMessage : Message {
    /** The newest round of confirmation that the leader has begun. */
    val round: Long
}

/** Marks what a replica answers to its leader. */
@Serializable
internal sealed interface FollowerMessage : Message {
    /** The round that the answered message carried. */
    val round: Long
}

/** Appends [entries] after the entry at [previousIndex]; empty for a heartbeat. */
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
 * Answers an append or a completed snapshot.
 *
 * @property index where accepted, the last index known to be equal to the leader's; else the rejected previous index
 * @property nextIndex where rejected, the index from which the leader should go on
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

/** Carries the part of a snapshot's state that begins at [offsetBytes]. */
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

/** Tells how much of the snapshot at [index] has arrived. */
@Serializable
@SerialName("snapshot")
internal data class SnapshotReply(
    override val term: Long,
    override val round: Long,
    val index: Long,
    val receivedBytes: Int,
) : FollowerMessage

/** Encodes and decodes envelopes of one cluster. */
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

    /** Returns the envelope in [payload], or null when it is damaged or from another version or cluster. */
    fun decode(payload: ByteArray): Envelope? {
        val content = verifiedContent(payload) ?: return null
        return decodeOrNull { cbor.decodeFromByteArray<Envelope>(ByteArray(content.remaining()).also(content::get)) }
            ?.takeIf { it.version == MESSAGE_VERSION && it.clusterId == clusterId }
    }
}
