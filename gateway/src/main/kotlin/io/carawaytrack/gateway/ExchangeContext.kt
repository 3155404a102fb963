/*
 * Interface between an exchange and its gateway: the operations that an exchange requests, and the events and the
 * outcome that it reports.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.routing.load.AbandonReason
import io.netty.handler.codec.http.HttpResponse

/** Phases of an exchange: waiting for an upstream, sent to an upstream, and ended. */
internal enum class ExchangePhase { Waiting, Sent, Ended }

/** Outcome of an exchange, for the log and the metrics; [failure] is null when an upstream's response was relayed. */
internal class ExchangeOutcome(
    val exchange: Exchange,
    private val status: Int,
    private val failure: ErrorKind?,
) {
    val isComplete: Boolean get() = failure == null

    fun summary(nowMillis: Long): EndedRequest = EndedRequest(
        organisation = exchange.request.organisation?.name,
        route = exchange.request.route.name,
        failure = failure,
        execution = if (exchange.hasNotRun) Execution.NotRun else Execution.MayHaveRun,
        tookMillis = nowMillis - exchange.request.arrivedAtMillis,
        firstByteMillis = exchange.firstByteMillis,
    )

    /** Returns the log fields for an exchange that ends at [nowMillis]. */
    fun fields(nowMillis: Long): Map<String, Any?> = mapOf(
        "status" to status,
        "reason" to (failure?.name ?: "complete"),
        "hasNotRun" to exchange.hasNotRun,
        "tookMillis" to nowMillis - exchange.request.arrivedAtMillis,
        "firstByteMillis" to exchange.firstByteMillis,
        "waitedMillis" to exchange.waitedMillis,
        "tries" to exchange.attempts,
    )
}

/** Operations of the gateway that an exchange uses. */
internal interface ExchangeContext {
    val headerNames: HeaderNames
    val crashes: CrashDetector
    val meters: GatewayMeters

    /** Decides when attempts leave upstreams that do not answer. */
    val unresponsive: UnresponsiveUpstreams

    fun nowMillis(): Long

    /** Sends the exchange to an upstream, or queues it until an upstream can accept it. */
    fun enqueue(exchange: Exchange)

    /** Sends the exchange's next attempt. */
    fun send(
        exchange: Exchange,
        target: UpstreamState,
        attempt: Attempt,
    )

    /** Takes one retry from the budget of the route's pool; returns null when the budget is exhausted. */
    fun tryRetry(
        exchange: Exchange,
        reason: RetryReason,
    ): RetryPermit?

    /** Returns when the caller of a request that an upstream rejected may retry; null for the default. */
    fun retryAfterMillis(exchange: Exchange): Long?

    /** Records the outcome and duration of an attempt for its upstream's version. */
    fun recordOutcome(
        exchange: Exchange,
        upstream: FleetUpstream,
        good: Boolean,
        tookMillis: Long,
    )

    /** Records the load and the limit that [upstream] states in the head of [response]. */
    fun recordStatements(
        upstream: UpstreamState,
        response: HttpResponse,
    )

    /** Handles that the exchange abandons its current attempt on [upstream] for [reason] and is sent again. */
    fun upstreamAbandoned(
        exchange: Exchange,
        upstream: UpstreamState,
        reason: AbandonReason,
    )

    /** Handles that the exchange abandons its current attempt before a response is complete. */
    fun attemptAbandoned(exchange: Exchange)

    /** Handles the head of a response, which carries the model's [confidence]. */
    fun responseStarted(
        exchange: Exchange,
        confidence: Int?,
    )

    /** Returns the model whose response is to replace one of this [confidence], or null to keep it. */
    fun replacementModel(
        exchange: Exchange,
        confidence: Int?,
    ): ModelReplacement?

    fun logExchange(
        exchange: Exchange,
        event: String,
        detail: Map<String, Any?>,
    )

    fun exchangeEnded(outcome: ExchangeOutcome)
}
