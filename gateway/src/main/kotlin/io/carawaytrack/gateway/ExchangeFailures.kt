/*
 * Failures that end an exchange. Each states whether an upstream may have executed the request, because the status that
 * the caller receives depends on it.
 */
package io.carawaytrack.gateway

import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure

/** No complete response arrived within [allowedMillis], the time until the deadline. */
internal fun timedOut(
    execution: Execution,
    allowedMillis: Long,
): Failure {
    val kind = if (execution == Execution.NotRun) ErrorKind.PoolExhausted else ErrorKind.UpstreamTimeout
    return Failure(kind, execution, "no complete response within $allowedMillis ms")
}

/** Upstreams rejected all [attempts]. */
internal fun rejectedByUpstreams(
    execution: Execution,
    attempts: Int,
): Failure =
    Failure(ErrorKind.NoHealthyUpstream, execution, "upstreams rejected the request; gave up after $attempts attempts")

/** The last attempt ended with [end], and the request may not be sent again. */
internal fun brokenOff(
    execution: Execution,
    end: AttemptEnd,
): Failure =
    Failure(ErrorKind.UpstreamFailed, execution, "the upstream connection failed before a complete response: $end")
