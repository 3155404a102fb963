/*
 * Arrivals of one request at upstreams. The first arrival is free; each further one counts against the budget that all
 * hosts share, whatever ended the one before, and their number is limited by the route.
 */
package io.carawaytrack.gateway

internal class RequestArrivals(
    private val maxAttempts: Int,
    private val tryAcquire: (RetryReason) -> Boolean,
) {
    /** Number of attempts that have arrived, or may have arrived, at an upstream. */
    var count = 0
        private set

    /** Whether a permit for the next arrival has been taken and not used. */
    private var permitted = false

    /** Returns whether the request may be sent; takes a permit from the budget if it has arrived before. */
    fun tryNext(reason: RetryReason): Boolean {
        if (count == 0 || permitted) return true
        permitted = count < maxAttempts && tryAcquire(reason)
        return permitted
    }

    /** Records that the request is being sent to an upstream. */
    fun sent() {
        count++
        permitted = false
    }

    /** Records that the request was not sent after all because no connection was established. */
    fun notSent() {
        count--
        permitted = count > 0
    }
}
