/*
 * Arrivals of one request at upstreams, and the only place of the gateway that decides whether there may be another:
 * after a connection that was not established, a failure, a rejection or a stall, to resume a stream, and to replace
 * an answer. The first arrival is free; each further one counts against the budget that all hosts share, whatever
 * ended the one before, and their number is limited by the route.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CatalogRoute

/** [canUseAnotherRun] returns whether the caller can still get the response of another run. */
internal class RequestArrivals(
    private val route: CatalogRoute,
    private val canUseAnotherRun: () -> Boolean,
    private val tryAcquire: (RetryReason) -> RetryPermit?,
) {
    /** Number of attempts that have arrived, or may have arrived, at an upstream. */
    var count = 0
        private set

    /** Whether an upstream may have executed the request in an attempt that has ended. */
    var mayHaveRun = false
        private set
    private var inProgress = false

    /** Whether the request may run once more although an upstream may have executed it. */
    val mayRunAgain: Boolean get() = route.retryable && canUseAnotherRun()

    /** Permit for the next arrival, taken and not used yet. */
    private var next: RetryPermit? = null

    /** Permit that the current attempt uses. */
    private var current: RetryPermit? = null

    /**
     * Returns whether the request may be sent, whatever the [reason]: no upstream can have executed it, or it may run
     * again. Takes a permit from the budget if it has arrived before.
     */
    fun tryNext(reason: RetryReason): Boolean {
        val cannotHaveRun = !inProgress && !mayHaveRun
        if (!cannotHaveRun && !mayRunAgain) return false
        if (count == 0 || next != null) return true
        next = if (count < route.maxAttempts) tryAcquire(reason) else null
        return next != null
    }

    /** Records that the request is being sent to an upstream. */
    fun sent() {
        count++
        inProgress = true
        current = next
        next = null
    }

    /** Records that the request was not sent after all because no connection was established. */
    fun notSent() {
        count--
        next = current
        attemptEnded(ran = false)
    }

    /** Records the end of an attempt; [ran] states whether the upstream may have executed the request. */
    fun attemptEnded(ran: Boolean) {
        if (inProgress && ran) mayHaveRun = true
        inProgress = false
    }

    /** Gives an unused permit back because the request ends. */
    fun end() {
        next?.cancel()
        next = null
    }
}
