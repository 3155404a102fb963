/*
 * What an exchange asks of its gateway, and what it says of itself while it lasts and at its end.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution

/** Says what an exchange waits for. */
internal enum class ExchangePhase { Waiting, Sent, Ended }

/** Holds what is known of one exchange's end, for the log and the metrics; [failure] is null for an answer. */
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

    /** Returns what the log says of the end at [nowMillis]. */
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

/** What an exchange asks of its gateway. */
internal interface ExchangeContext {
    val headerNames: HeaderNames

    fun nowMillis(): Long

    /** Queues the exchange until an upstream can take it. */
    fun enqueue(exchange: Exchange)

    /** Sends the exchange's next attempt. */
    fun send(
        exchange: Exchange,
        target: UpstreamState,
        attempt: Attempt,
    )

    /** Takes one repeat from the budget of the route's pool. */
    fun tryRetry(exchange: Exchange): Boolean

    /** Counts what an attempt showed of its upstream's version, and how long it took. */
    fun recordOutcome(
        exchange: Exchange,
        upstream: FleetUpstream,
        good: Boolean,
        tookMillis: Long,
    )

    /** Takes in that the exchange leaves its attempt, which has not ended. */
    fun attemptAbandoned(exchange: Exchange)

    /** Takes in an answer's head, for the model that gave it. */
    fun responseStarted(
        exchange: Exchange,
        confidence: Int?,
    )

    /** Returns the position of the model whose answer is to replace one of this [confidence], or null. */
    fun escalationModel(
        exchange: Exchange,
        confidence: Int?,
    ): Int?

    fun logExchange(
        exchange: Exchange,
        event: String,
        detail: Map<String, Any?>,
    )

    fun exchangeEnded(outcome: ExchangeOutcome)
}
