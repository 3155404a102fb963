/*
 * The closed list of error kinds. Every error that a caller, an operator or a peer process receives is one of these;
 * its HTTP status, its retry hint and its default text are defined only here.
 */
package io.carawaytrack.model

import kotlinx.serialization.Serializable

/** Describes whether an upstream may have executed a request that failed. */
@Serializable
public enum class Execution {
    /** No upstream has received any byte of the request, and none can receive one later. */
    NotRun,

    /** An upstream may have received the request; its outcome is unknown. */
    MayHaveRun,

    /** An upstream has executed the request. */
    Ran,
}

/**
 * Lists every error kind.
 *
 * @property status HTTP status of the response
 * @property retryable whether the client may retry the unchanged request
 * @property explanation default text of the response body
 */
@Serializable
public enum class ErrorKind(
    public val status: Int,
    public val retryable: Boolean,
    public val explanation: String,
) {
    MalformedRequest(400, false, "the request could not be read"),
    MissingKey(401, false, "a bearer key is required"),
    UnknownKey(401, false, "the bearer key is not known"),
    NotAllowed(403, false, "no model or version that the organisation allows can serve this request"),
    UnknownModel(404, false, "no route serves this model for the organisation"),
    UnknownRoute(404, false, "no route serves this method and path for the organisation"),
    RequestTimeout(408, true, "the request was not received in time"),
    ConflictingReuse(409, false, "the idempotency key was used before with another request"),
    InProgress(409, true, "a request with this idempotency key is still running"),
    OutcomeUnknown(409, false, "the request may have run; it is not run again"),
    AnswerNotKept(409, false, "the request ran; its answer is too large to be stored for a retry"),
    VersionConflict(409, false, "another change was accepted first"),
    BodyTooLarge(413, false, "the body is over the limit"),
    InvalidTables(422, false, "the tables contain faults"),
    Quarantined(422, false, "the request is quarantined because upstreams failed while running it"),
    NotLeader(421, true, "this control host does not lead"),
    OrganisationLimit(429, true, "the organisation is over its share"),
    SessionVersionWithdrawn(410, false, "the version of this session has been withdrawn"),
    PoolExhausted(503, true, "no upstream of the pool has free capacity"),
    NoHealthyUpstream(503, true, "no healthy upstream serves an allowed version"),
    PromptQuarantined(503, true, "the request or a part of its prompt is quarantined because upstreams crashed"),
    ControlUnavailable(503, true, "the control hosts could not be reached; no new work is accepted"),
    ShuttingDown(503, true, "the process is shutting down"),
    MemoryExhausted(503, true, "the memory budget is used up"),
    StaleConfiguration(503, true, "the sender's configuration is out of date"),
    SlowReader(499, false, "the caller read too slowly and its stream was ended"),
    CallerGone(499, false, "the caller closed the connection"),
    UpstreamFailed(502, false, "the upstream failed while running the request"),
    IncompleteAnswer(502, false, "the answer ended before it was complete"),
    UpstreamTimeout(504, false, "the upstream did not answer in time"),
    ProtocolViolation(400, false, "the peer sent a message that the protocol does not allow"),
    Unauthorized(401, false, "a valid operator token is required"),
    NotFound(404, false, "the named item does not exist"),
    StorageFailed(500, true, "the state could not be made durable"),
    Internal(500, false, "an unexpected condition occurred"),
}

/**
 * Describes one error.
 *
 * @property execution whether the request was executed; `NotRun` only if no upstream can have received it
 * @property detail what was expected, what was received and, for a timeout, how long the sender waited
 * @property retryAfterMillis delay before a retry is useful, or null if unknown
 */
@Serializable
public data class Failure(
    val kind: ErrorKind,
    val execution: Execution,
    val detail: String = kind.explanation,
    val retryAfterMillis: Long? = null,
)

/** Returns a failure of this kind for a request that no upstream has received. */
public fun ErrorKind.notRun(
    detail: String = explanation,
    retryAfterMillis: Long? = null,
): Failure = Failure(this, Execution.NotRun, detail, retryAfterMillis)
