/*
 * The commands of the request ledger and their replies. Entries and agents send them to the leading control host, which
 * commits them through the replicated log; sending one again has the same effect as sending it once.
 */
@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package io.carawaytrack.ledger

import io.carawaytrack.model.Bill
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.RequestId
import io.carawaytrack.model.SessionId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor

/** Changes the ledger. */
@Serializable
public sealed interface LedgerCommand {
    /** Organisation to whose shard the command belongs. */
    public val organisation: OrganisationName

    /**
     * Records the intent to run a request, before anything is sent to an upstream.
     *
     * @property request proposed by the entry; when [key] was used before, the reply carries the first one
     * @property key the caller's idempotency key
     * @property digest digest of method, path and body, by which another request under the same key is told apart
     * @property session session to be pinned to [version], when it has no version yet; a key keeps its first session
     * @property repeatable whether the request may run again when its first outcome is unknown
     * @property timeoutMillis bound on the run; an intent older than this is no longer in progress
     */
    @Serializable
    @SerialName("b")
    public data class Begin(
        override val organisation: OrganisationName,
        val request: RequestId,
        val key: String? = null,
        val digest: Long = 0,
        val session: SessionId? = null,
        val version: ModelVersion,
        val repeatable: Boolean,
        val timeoutMillis: Long,
        val atMillis: Long,
    ) : LedgerCommand

    /** Records how a request ended, and its bill; the first record stands. */
    @Serializable
    @SerialName("f")
    public data class Finish(
        override val organisation: OrganisationName,
        val request: RequestId,
        val answer: StoredAnswer?,
        val bill: Bill?,
        val atMillis: Long,
    ) : LedgerCommand

    /**
     * Withdraws an intent of which its entry is certain that nothing ran, so that a resend may run. An intent that
     * another entry was allowed to run too stays.
     */
    @Serializable
    @SerialName("a")
    public data class Abandon(
        override val organisation: OrganisationName,
        val request: RequestId,
    ) : LedgerCommand

    /** Drops records and pins older than [beforeMillis]. */
    @Serializable
    @SerialName("x")
    public data class Expire(
        override val organisation: OrganisationName,
        val beforeMillis: Long,
    ) : LedgerCommand
}

/**
 * Holds an answer for a resend of its request.
 *
 * @property body null when it was over the limit that the ledger keeps
 */
@Serializable
public class StoredAnswer(
    public val status: Int,
    public val contentType: String?,
    @ByteString public val body: ByteArray?,
    public val version: ModelVersion,
)

/** Largest body that the ledger keeps for a resend, in bytes. */
public const val MAX_STORED_ANSWER_BYTES: Int = 64 * 1024

/** Answers a [LedgerCommand]. */
@Serializable
public sealed interface LedgerReply {
    /** Allows the request to be sent to an upstream, as [request] on [version]. */
    @Serializable
    @SerialName("s")
    public data class Started(
        val request: RequestId,
        val version: ModelVersion,
        val pinned: Boolean,
    ) : LedgerReply

    /** Returns the outcome of an earlier request under the same key. */
    @Serializable
    @SerialName("r")
    public data class Replayed(
        val request: RequestId,
        val answer: StoredAnswer,
    ) : LedgerReply

    /** Tells that a request under the same key is still running. */
    @Serializable
    @SerialName("i")
    public data class InProgress(
        val request: RequestId,
    ) : LedgerReply

    /** Tells that a request under the same key may have run and must not run again. */
    @Serializable
    @SerialName("u")
    public data class OutcomeUnknown(
        val request: RequestId,
    ) : LedgerReply

    /** Tells that the key was used for another request. */
    @Serializable
    @SerialName("c")
    public data object Conflicting : LedgerReply

    /** Tells that the proposed version may not start new work; the entry plans again. */
    @Serializable
    @SerialName("v")
    public data object VersionUnavailable : LedgerReply

    /** Confirms a record; [first] is false when it was there already. */
    @Serializable
    @SerialName("d")
    public data class Done(
        val first: Boolean,
    ) : LedgerReply
}

private val cbor = Cbor { ignoreUnknownKeys = true }

/** Encodes this command for the replicated log. */
public fun LedgerCommand.encode(): ByteArray = cbor.encodeToByteArray(LedgerCommand.serializer(), this)

/** Decodes a command. */
public fun decodeLedgerCommand(bytes: ByteArray): LedgerCommand =
    cbor.decodeFromByteArray(LedgerCommand.serializer(), bytes)

/** Encodes this reply. */
public fun LedgerReply.encode(): ByteArray = cbor.encodeToByteArray(LedgerReply.serializer(), this)

/** Decodes a reply. */
public fun decodeLedgerReply(bytes: ByteArray): LedgerReply = cbor.decodeFromByteArray(LedgerReply.serializer(), bytes)
