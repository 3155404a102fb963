/*
 * Definitions of a host's metrics about its requests in progress, the load of engines, requests that leave the zone,
 * and exclusive duties.
 */
package io.carawaytrack.telemetry

internal object HostLoadDefinitions {
    val abandonedUpstreams =
        counter(
            "caraway_host_abandoned_upstreams_total",
            "Attempts that left an unresponsive upstream, by the evidence.",
            "pool",
            "reason",
        )
    val invalidResponses =
        counter(
            "caraway_host_invalid_responses_total",
            "Attempts that ended with an invalid response, by what is invalid in it.",
            "pool",
            "fault",
        )
    val keptAnswers =
        counter(
            "caraway_host_kept_answers_total",
            "Answers of low confidence that were kept because the engines were busy, by model.",
            "pool",
            "model",
        )
    val unreadTokens =
        gauge(
            "caraway_host_unread_tokens",
            "Prompt tokens that engines have not read yet, weighed by model, by time-critical pool.",
            "pool",
        )
    val enginePace =
        gauge(
            "caraway_host_engine_pace",
            "Mean momentary slowness that engines state, 1 as usual, by time-critical pool.",
            "pool",
        )
    val crossingShare =
        gauge("caraway_host_zone_crossing_share", "Share of requests that may leave the zone, by pool.", "pool")
    val dutyToken =
        gauge("caraway_host_duty_token", "Token of the grant of the duties; only from their holder.")
    val unreportedUsageAge =
        gauge(
            "caraway_host_unreported_usage_seconds",
            "Time since the end of the oldest unreported usage window; only from the holder of the duties.",
        )
    val replicaOrders =
        gauge("caraway_host_replica_orders", "Replicas ordered by this holder of the duties.", "pool", ZONE_LABEL)
    val dutyFailures =
        counter("caraway_host_duty_failures_total", "Calls of the duties that the platform refused or did not answer.")
    val limitedUpstreams =
        gauge("caraway_host_limited_upstreams", "Upstreams that state a limit on their requests, by pool.", "pool")
    val unfinished = gauge("caraway_host_unfinished_requests", "Requests that are being served.")
    val waiting =
        gauge("caraway_host_waiting_requests", "Requests waiting for an upstream with free capacity.")
}
