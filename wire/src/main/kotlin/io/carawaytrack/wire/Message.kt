/*
 * All messages between the processes of the system. Entries and agents exchange attempts and answers; entries and
 * agents exchange leases, membership and ledger commands with the control hosts; control hosts exchange messages of the
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

/** Version of the protocol; the handshake rejects a peer with another version. */
public const val PROTOCOL_VERSION: Int = 1

/** A message of the protocol. */
@Serializable
public sealed interface Message

/** Begins the handshake with a nonce of the accepting side. */
@Serializable
@SerialName("ch")
public class Challenge(
    public val protocol: Int,
    @ByteString public val nonce: ByteArray,
) : Message

/** Answers a [Challenge] with the identity of the connecting side and a proof that it knows the shared secret. */
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

/** Completes the handshake with the node id of the accepting side and its proof. */
@Serializable
@SerialName("ok")
public class Welcome(
    public val node: NodeId,
    @ByteString public val proof: ByteArray,
) : Message

/** Keeps a link alive on which no other messages are sent. */
@Serializable
@SerialName("pi")
public data object Ping : Message

/** Describes one header of a request or an answer. */
@Serializable
public data class Header(
    val name: String,
    val value: String,
)

/**
 * Requests that an agent runs an attempt of a request.
 *
 * @property attempt identifier of the attempt, unique on this link and repeated in each message of the answer
 * @property configurationNumber configuration with which the entry planned the attempt
 * @property repeatable whether the upstream may receive the same request more than once
 * @property pinned whether the request belongs to a session that already runs on [version]
 * @property fingerprint digest that identifies the request, used to detect requests that crash upstreams
 * @property timeoutMillis time left for the complete attempt
 * @property creditBytes initial flow control window: bytes of the answer that the agent may send before a [Credit]
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

/** Extends the flow control window of an answer by [bytes]. */
@Serializable
@SerialName("cr")
public class Credit(
    public val attempt: Long,
    public val bytes: Long,
) : Message

/** Cancels an attempt; the agent answers with [AttemptRefused] or [AnswerFailed], which reports whether it ran. */
@Serializable
@SerialName("ca")
public class CancelAttempt(
    public val attempt: Long,
) : Message

/** Rejects an attempt before any byte was sent to the upstream. */
@Serializable
@SerialName("no")
public class AttemptRefused(
    public val attempt: Long,
    public val failure: Failure,
    public val load: UpstreamLoad,
) : Message

/** Notifies the agent that the outcome and the bill of the request are committed, so that it need not commit them. */
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

/** Carries one chunk of an answer's body; [sequence] counts the chunks from 0. */
@Serializable
@SerialName("ac")
public class AnswerChunk(
    public val attempt: Long,
    public val sequence: Long,
    @ByteString public val bytes: ByteArray,
) : Message

/** Counts the tokens used by an attempt. */
@Serializable
public data class Usage(
    val promptTokens: Long = 0,
    val answerTokens: Long = 0,
)

/** Ends a complete answer that consists of [chunks] chunks. */
@Serializable
@SerialName("ae")
public class AnswerEnd(
    public val attempt: Long,
    public val chunks: Long,
    public val usage: Usage,
    public val load: UpstreamLoad,
) : Message

/** Ends an attempt that was started and cannot be completed. */
@Serializable
@SerialName("af")
public class AnswerFailed(
    public val attempt: Long,
    public val failure: Failure,
    public val load: UpstreamLoad,
) : Message

/**
 * Requests a lease from a control host and reports the state of the sender.
 *
 * @property sequence increases with each heartbeat; the grant repeats it
 * @property announcement set by agents
 * @property membershipNumber number of the latest membership that the sender has received, set by entries
 * @property suspects crash counts observed by the agent, if they have changed since they were last sent on this link
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
 * Grants a lease, whose duration starts when the holder sent the heartbeat [sequence].
 *
 * @property configuration set if the holder reported a lower number
 * @property membership set for entries if it has changed
 * @property suspects crash counts reported by agents, set for agents if they have changed
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

/** Pushes a newly accepted configuration to a lease holder. */
@Serializable
@SerialName("cp")
public class ConfigurationPush(
    public val configuration: Configuration,
) : Message

/** Rejects a heartbeat because this control host is not the leader; [leader] is the address of the assumed leader. */
@Serializable
@SerialName("nl")
public class NotLeading(
    public val sequence: Long,
    public val leader: HostPort?,
) : Message

/** Requests that the control host commits a ledger command, in the encoding of the ledger module. */
@Serializable
@SerialName("lc")
public class LedgerCall(
    public val call: Long,
    @ByteString public val command: ByteArray,
) : Message

/** Answers a [LedgerCall] with a reply in the encoding of the ledger module, or with a failure. */
@Serializable
@SerialName("lr")
public class LedgerReply(
    public val call: Long,
    @ByteString public val reply: ByteArray? = null,
    public val failure: Failure? = null,
) : Message

/** Carries a message of the replicated log between two control hosts, in the encoding of the consensus module. */
@Serializable
@SerialName("rl")
public class LogMessage(
    @ByteString public val payload: ByteArray,
) : Message
