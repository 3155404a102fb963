/*
 * The commands of the request ledger and their replies. Entries and agents send commands to the leading control host,
 * which commits them through the replicated log. Commands are idempotent.
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

/** A command that changes the ledger. */
@Serializable
public sealed interface LedgerCommand {
    /** The organisation whose records the command changes. */
    public val organisation: OrganisationName

    /**
     * Records the intent to run a request, before anything is sent to an upstream.
     *
     * @property request identifier proposed by the entry; if [key] was used before, the reply has the original one
     * @property key idempotency key of the caller
     * @property digest digest of method, path and body, used to detect reuse of a key for a different request
     * @property session session to pin to [version] if it is not pinned yet; a key stays bound to its first session
     * @property repeatable whether the request may be retried when the outcome of an earlier attempt is unknown
     * @property timeoutMillis maximum duration of the run; an older intent no longer counts as in progress
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

    /** Records the outcome of a request and its bill; later outcomes and bills of the same request are ignored. */
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
     * Withdraws an intent whose entry is certain that nothing was executed, so that a retry may run. An intent that
     * another entry was also allowed to run is kept.
     */
    @Serializable
    @SerialName("a")
    public data class Abandon(
        override val organisation: OrganisationName,
        val request: RequestId,
    ) : LedgerCommand

    /** Deletes requests, session pins and bills older than [beforeMillis]. */
    @Serializable
    @SerialName("x")
    public data class Expire(
        override val organisation: OrganisationName,
        val beforeMillis: Long,
    ) : LedgerCommand
}

/**
 * A stored answer that is returned for retries of its request.
 *
 * @property body the response body, or null if it was larger than [MAX_STORED_ANSWER_BYTES]
 */
@Serializable
public class StoredAnswer(
    public val status: Int,
    public val contentType: String?,
    @ByteString public val body: ByteArray?,
    public val version: ModelVersion,
)

/** Maximum size of an answer's body that the ledger stores for retries. */
public const val MAX_STORED_ANSWER_BYTES: Int = 64 * 1024

/** The reply to a [LedgerCommand]. */
@Serializable
public sealed interface LedgerReply {
    /** Allows the entry to send the request to an upstream, as [request] on [version]. */
    @Serializable
    @SerialName("s")
    public data class Started(
        val request: RequestId,
        val version: ModelVersion,
        val pinned: Boolean,
    ) : LedgerReply

    /** Replays the stored answer of an earlier request with the same key. */
    @Serializable
    @SerialName("r")
    public data class Replayed(
        val request: RequestId,
        val answer: StoredAnswer,
    ) : LedgerReply

    /** Reports that a request with the same key is still running. */
    @Serializable
    @SerialName("i")
    public data class InProgress(
        val request: RequestId,
    ) : LedgerReply

    /** Reports that a request with the same key may have been executed and must not run again. */
    @Serializable
    @SerialName("u")
    public data class OutcomeUnknown(
        val request: RequestId,
    ) : LedgerReply

    /** Reports that the key was used for a different request or in a different session. */
    @Serializable
    @SerialName("c")
    public data object Conflicting : LedgerReply

    /** Reports that the version to run on must not start new work; the entry has to select a version again. */
    @Serializable
    @SerialName("v")
    public data object VersionUnavailable : LedgerReply

    /** Confirms a command; [first] is false if it changed nothing, for example because it was applied before. */
    @Serializable
    @SerialName("d")
    public data class Done(
        val first: Boolean,
    ) : LedgerReply
}

private val cbor = Cbor { ignoreUnknownKeys = true }

/** Encodes this command for the replicated log. */
public fun LedgerCommand.encode(): ByteArray = cbor.encodeToByteArray(LedgerCommand.serializer(), this)

/** Decodes a command encoded by [LedgerCommand.encode]. */
public fun decodeLedgerCommand(bytes: ByteArray): LedgerCommand =
    cbor.decodeFromByteArray(LedgerCommand.serializer(), bytes)

/** Encodes this reply for the sender of the command. */
public fun LedgerReply.encode(): ByteArray = cbor.encodeToByteArray(LedgerReply.serializer(), this)

/** Decodes a reply encoded by [LedgerReply.encode]. */
public fun decodeLedgerReply(bytes: ByteArray): LedgerReply = cbor.decodeFromByteArray(LedgerReply.serializer(), bytes)
