/*
 * Every message that travels between two processes of the system. The entry talks to agents about attempts; entries and
 * agents talk to the control hosts about leases, membership and the ledger; control hosts talk to each other about the
 * replicated log. A message is a CBOR map in a frame; short serial names keep it small.
 */
@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package io.carawaytrack.wire

import io.carawaytrack.model.Announcement
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.Failure
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.Membership
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.Priority
import io.carawaytrack.model.RequestId
import io.carawaytrack.model.SessionId
import io.carawaytrack.model.SuspectReport
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.model.ZoneName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Version of the messages below; a peer that speaks another one is refused at the handshake. */
public const val PROTOCOL_VERSION: Int = 1

/** Any message of the protocol. */
@Serializable
public sealed interface Message

/** Opens the handshake: the accepting side sends a number used once. */
@Serializable
@SerialName("ch")
public class Challenge(
    public val protocol: Int,
    @ByteString public val nonce: ByteArray,
) : Message

/** Answers a [Challenge] with the connecting side's identity and a proof that it knows the shared secret. */
@Serializable
@SerialName("hi")
public class Hello(
    public val protocol: Int,
    public val node: NodeId,
    public val role: NodeRole,
    public val zone: ZoneName,
    @ByteString public val nonce: ByteArray,
    @ByteString public val proof: ByteArray,
) : Message

/** Ends the handshake with the accepting side's identity and proof. */
@Serializable
@SerialName("ok")
public class Welcome(
    public val node: NodeId,
    @ByteString public val proof: ByteArray,
) : Message

/** Shows that the sender is alive on a link that is otherwise idle. */
@Serializable
@SerialName("pi")
public data object Ping : Message

/** Names one header of a request or an answer. */
@Serializable
public data class Header(
    val name: String,
    val value: String,
)

/**
 * Asks an agent to run an attempt of a request.
 *
 * @property attempt unique on this link; answers carry it
 * @property configurationNumber configuration on which the entry decided
 * @property repeatable whether the upstream may receive the same request again
 * @property pinned whether the request belongs to a session that already runs on [version]
 * @property fingerprint digest of the request by which one that crashes upstreams is recognised
 * @property timeoutMillis time left for the whole attempt
 * @property creditBytes bytes of answer that the agent may send before it needs a [Credit]
 */
@Serializable
@SerialName("op")
public class OpenAttempt(
    public val attempt: Long,
    public val request: RequestId,
    public val organisation: OrganisationName,
    public val version: ModelVersion,
    public val configurationNumber: Long,
    public val session: SessionId? = null,
    public val pinned: Boolean = false,
    public val repeatable: Boolean = true,
    public val priority: Priority = Priority.Interactive,
    public val method: String,
    public val path: String,
    public val headers: List<Header>,
    @ByteString public val body: ByteArray,
    public val fingerprint: Long = 0,
    public val estimatedTokens: Long = 0,
    public val costPerKiloToken: Double = 0.0,
    public val timeoutMillis: Long,
    public val creditBytes: Long,
    public val traceparent: String? = null,
) : Message

/** Allows the agent to send [bytes] more of an answer. */
@Serializable
@SerialName("cr")
public class Credit(
    public val attempt: Long,
    public val bytes: Long,
) : Message

/** Ends an attempt; the agent answers with [AttemptRefused] or [AnswerFailed], which says whether it ran. */
@Serializable
@SerialName("ca")
public class CancelAttempt(
    public val attempt: Long,
) : Message

/** Refuses an attempt before any byte has gone to the upstream. */
@Serializable
@SerialName("no")
public class AttemptRefused(
    public val attempt: Long,
    public val failure: Failure,
    public val load: UpstreamLoad,
) : Message

/** Tells the agent that the request's outcome and bill are committed, so that it need not report them itself. */
@Serializable
@SerialName("as")
public class AttemptSettled(
    public val attempt: Long,
) : Message

/** Begins an answer. */
@Serializable
@SerialName("ah")
public class AnswerHead(
    public val attempt: Long,
    public val status: Int,
    public val headers: List<Header>,
) : Message

/** Carries part [sequence] of an answer's body, counted from 0. */
@Serializable
@SerialName("ac")
public class AnswerChunk(
    public val attempt: Long,
    public val sequence: Long,
    @ByteString public val bytes: ByteArray,
) : Message

/** Counts what an attempt used. */
@Serializable
public data class Usage(
    val promptTokens: Long = 0,
    val answerTokens: Long = 0,
)

/** Ends a complete answer of [chunks] parts. */
@Serializable
@SerialName("ae")
public class AnswerEnd(
    public val attempt: Long,
    public val chunks: Long,
    public val usage: Usage,
    public val load: UpstreamLoad,
) : Message

/** Ends an attempt that had begun and cannot be completed. */
@Serializable
@SerialName("af")
public class AnswerFailed(
    public val attempt: Long,
    public val failure: Failure,
    public val load: UpstreamLoad,
) : Message

/**
 * Asks a control host for a lease, and tells what the sender holds.
 *
 * @property sequence rises with each heartbeat; the grant repeats it
 * @property announcement set by agents
 * @property membershipNumber last membership the sender has, entries only
 * @property suspects what the agent holds against requests, when it has changed since it was last sent on this link
 */
@Serializable
@SerialName("hb")
public class Heartbeat(
    public val sequence: Long,
    public val configurationNumber: Long,
    public val announcement: Announcement? = null,
    public val membershipNumber: Long = 0,
    public val suspects: SuspectReport? = null,
) : Message

/**
 * Grants a lease, counted from the moment at which the holder sent the heartbeat [sequence].
 *
 * @property configuration set when the holder's number was lower
 * @property membership set for entries when it has changed
 * @property suspects what other agents hold against requests, set for agents when it has changed
 */
@Serializable
@SerialName("lg")
public class LeaseGrant(
    public val sequence: Long,
    public val durationMillis: Long,
    public val configurationNumber: Long,
    public val configuration: Configuration? = null,
    public val membership: Membership? = null,
    public val suspects: List<SuspectReport> = emptyList(),
) : Message

/** Pushes a configuration that has just been accepted. */
@Serializable
@SerialName("cp")
public class ConfigurationPush(
    public val configuration: Configuration,
) : Message

/** Tells that this control host does not lead, and who may. */
@Serializable
@SerialName("nl")
public class NotLeading(
    public val sequence: Long,
    public val leader: HostPort?,
) : Message

/** Asks the control host to commit a ledger command, in the ledger's own encoding. */
@Serializable
@SerialName("lc")
public class LedgerCall(
    public val call: Long,
    @ByteString public val command: ByteArray,
) : Message

/** Answers a [LedgerCall]: a reply in the ledger's own encoding, or a failure. */
@Serializable
@SerialName("lr")
public class LedgerReply(
    public val call: Long,
    @ByteString public val reply: ByteArray? = null,
    public val failure: Failure? = null,
) : Message

/** Carries a message of the replicated log between two control hosts, in that module's own encoding. */
@Serializable
@SerialName("rl")
public class LogMessage(
    @ByteString public val payload: ByteArray,
) : Message
