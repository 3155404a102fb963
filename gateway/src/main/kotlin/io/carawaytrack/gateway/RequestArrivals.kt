/*
 * Arrivals of one request at upstreams. The first arrival is free; each further one counts against the budget that all
 * hosts share, whatever ended the one before, and their number is limited by the route.
 */
package io.carawaytrack.gateway

internal class RequestArrivals(
    private val maxAttempts: Int,
    private val tryAcquire: (RetryReason) -> RetryPermit?,
) {
    /** Number of attempts that have arrived, or may have arrived, at an upstream. */
    var count = 0
        private set

    /** Permit for the next arrival, taken and not used yet. */
    private var next: RetryPermit? = null

    /** Permit that the current attempt uses. */
    private var current: RetryPermit? = null

    /** Returns whether the request may be sent; takes a permit from the budget if it has arrived before. */
    fun tryNext(reason: RetryReason): Boolean {
        if (count == 0 || next != null) return true
        next = if (count < maxAttempts) tryAcquire(reason) else null
        return next != null
    }

    /** Records that the request is being sent to an upstream. */
    fun sent() {
        count++
        current = next
        next = null
    }

    /** Records that the request was not sent after all because no connection was established. */
    fun notSent() {
        count--
        next = current
    }

    /** Gives an unused permit back because the request ends. */
    fun end() {
        next?.cancel()
        next = null
    }
}
