/*
 * Reasons for which a request is sent to an upstream once more, as logs and metrics name them.
 */
package io.carawaytrack.gateway

/** Reason for which a request is sent to an upstream once more. */
public enum class RetryReason {
    /** The upstream failed, broke the response off or sent an invalid one. */
    Failure,

    /** The upstream stated that it has not executed the request. */
    Rejection,

    /** The upstream sent nothing for too long. */
    Stall,

    /** The response is to be replaced by one of a larger model. */
    Escalation,
}
