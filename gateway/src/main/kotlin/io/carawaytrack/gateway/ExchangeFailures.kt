/*
 * Failures that end an exchange. Each states whether an upstream may have executed the request, because the status that
 * the caller receives depends on it.
 */
package io.carawaytrack.gateway

import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.notRun

/** Retry-After when all upstreams are full: some of their requests have ended by then. */
private const val POOL_EXHAUSTED_RETRY_AFTER_MILLIS = 400L

/** Retry-After while this host shuts down: another host can take the request at once. */
private const val SHUTDOWN_RETRY_AFTER_MILLIS = 20L

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
): Failure {
    val detail =
        when (end) {
            AttemptEnd.InvalidResponse -> "the upstream sent an invalid response"
            else -> "the upstream connection failed before a complete response: $end"
        }
    return Failure(ErrorKind.UpstreamFailed, execution, detail)
}

/** No upstream may accept the exchange. */
internal fun noUpstream(exchange: Exchange): Failure = when {
    exchange.hasNotRun -> ErrorKind.NoHealthyUpstream.notRun(retryAfterMillis = NO_UPSTREAM_RETRY_AFTER_MILLIS)
    else -> attemptsExhausted(exchange)
}

/** No upstream had free capacity in time; [retryAfterMillis] is null where the queue expects no time. */
internal fun poolExhausted(
    exchange: Exchange,
    retryAfterMillis: Long?,
): Failure = when {
    exchange.hasNotRun ->
        ErrorKind.PoolExhausted.notRun(retryAfterMillis = retryAfterMillis ?: POOL_EXHAUSTED_RETRY_AFTER_MILLIS)
    else -> attemptsExhausted(exchange)
}

/**
 * Upstreams rejected the request, and its route, the budget or the time that it has left allows no other arrival;
 * [retryAfterMillis] is null where the queue expects no time.
 */
internal fun rejectionsExhausted(
    exchange: Exchange,
    retryAfterMillis: Long?,
): Failure = when {
    exchange.hasNotRun ->
        ErrorKind.PoolExhausted.notRun(
            "upstreams rejected the request; it is not sent again after ${exchange.arrivals.count} arrivals",
            retryAfterMillis = retryAfterMillis ?: POOL_EXHAUSTED_RETRY_AFTER_MILLIS,
        )
    else -> attemptsExhausted(exchange)
}

/** The request is refused for [refusedForMillis] because it may crash upstreams. */
internal fun quarantined(
    exchange: Exchange,
    refusedForMillis: Long,
): Failure = when {
    exchange.hasNotRun -> ErrorKind.PromptQuarantined.notRun(retryAfterMillis = refusedForMillis)
    else -> attemptsExhausted(exchange)
}

/** This host ends before the exchange does. */
internal fun shuttingDown(exchange: Exchange): Failure = when {
    exchange.hasNotRun -> ErrorKind.ShuttingDown.notRun(retryAfterMillis = SHUTDOWN_RETRY_AFTER_MILLIS)
    else -> Failure(ErrorKind.ShuttingDown, Execution.MayHaveRun, "the host ended before a complete response")
}

private fun attemptsExhausted(exchange: Exchange) = Failure(
    ErrorKind.UpstreamFailed,
    Execution.MayHaveRun,
    "no other upstream can take over the request after ${exchange.attempts} attempts",
)
