/*
 * Time without progress after which an attempt is abandoned for another upstream. Progress is a complete event of a
 * stream, or any byte of another response. Abandoning an engine that is merely busy reads the prompt again elsewhere
 * and delays the requests there, so the time is short only while nothing else is heard from the engine either.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CatalogRoute

/** Time after which a stream leaves an upstream that has departed or is suspected unhealthy. */
private const val UNHEALTHY_UPSTREAM_TIMEOUT_MILLIS = 1_500L

/** Minimum time after which a stream leaves an upstream without any other indication. */
private const val STREAM_TIMEOUT_MILLIS = 3_000L

/** Part of the latency target that may pass before the first event of an upstream that is suspected unhealthy. */
private const val SUSPECTED_TARGET_RATIO = 0.45

/** Longest pause between the events of a healthy stream, relative to the route's target for pauses. */
private const val MAX_PAUSE_TARGET_RATIO = 2L

/** Time after which the first attempt of a service call is retried, relative to the latency target. */
private const val CALL_RETRY_TARGET_RATIO = 1.2

/** What a host observes of an upstream beyond one request. */
internal enum class UpstreamHealth {
    /** It sends bytes, or nothing is outstanding. */
    Responsive,

    /** It has sent nothing for a while although requests are outstanding. */
    SuspectedUnhealthy,

    /** It has deregistered, or its address belongs to another upstream. */
    Departed,
}

/**
 * Returns the time in milliseconds without progress after which an attempt on this route is abandoned, or null if it is
 * to be awaited until the deadline. [hasEvents] states whether the caller has received events, and [firstAttempt]
 * whether the request has not been retried yet.
 */
internal fun CatalogRoute.stallTimeoutMillis(
    health: UpstreamHealth,
    hasEvents: Boolean,
    firstAttempt: Boolean,
): Long? = when {
    !streaming -> if (firstAttempt) (latencyTargetMillis * CALL_RETRY_TARGET_RATIO).toLong() else null
    health == UpstreamHealth.Departed -> UNHEALTHY_UPSTREAM_TIMEOUT_MILLIS
    health == UpstreamHealth.Responsive -> maxOf(STREAM_TIMEOUT_MILLIS, latencyTargetMillis)
    hasEvents -> maxOf(UNHEALTHY_UPSTREAM_TIMEOUT_MILLIS, pauseTargetMillis * MAX_PAUSE_TARGET_RATIO)
    else -> minOf(UNHEALTHY_UPSTREAM_TIMEOUT_MILLIS, (latencyTargetMillis * SUSPECTED_TARGET_RATIO).toLong())
}
