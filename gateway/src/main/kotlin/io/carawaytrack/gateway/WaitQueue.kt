/*
 * Queue of requests that no upstream can accept at the moment. It absorbs several seconds of more requests than slots,
 * a burst, or the crash of part of a pool. More urgent requests are dispatched first; among equally urgent requests,
 * those that can still meet their latency target precede late ones, in order of arrival.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CatalogRoute

/** Maximum number of queued requests on one host; beyond it, the least urgent request is refused. */
private const val MAX_QUEUED_REQUESTS = 512

/** Divisor of the latency target that yields a stream's maximum wait for an upstream with free capacity. */
private const val STREAM_MAX_WAIT_DIVISOR = 3

/** Maximum wait of a service call for an upstream with free capacity: most of the time that its callers wait. */
private const val CALL_MAX_WAIT_MILLIS = 700L

/** Maximum time that a request of this route waits for an upstream with free capacity. */
internal val CatalogRoute.maxWaitMillis: Long
    get() = if (streaming) latencyTargetMillis / STREAM_MAX_WAIT_DIVISOR else CALL_MAX_WAIT_MILLIS

/**
 * Describes a queued request.
 *
 * @property rank urgency, 0 is the most urgent
 * @property queuedSinceMillis time at which the request began to wait for an upstream
 * @property onTimeUntilMillis time after which a response misses the latency target
 * @property maxWaitMillis maximum time in the queue after which a useful response can still be expected
 */
internal interface QueuedRequest {
    val rank: Int
    val queuedSinceMillis: Long
    val onTimeUntilMillis: Long
    val maxWaitMillis: Long
}

internal class WaitQueue<W : QueuedRequest>(
    private val nowMillis: () -> Long,
) {
    private val queued = ArrayList<W>()

    val size: Int get() = queued.size

    /** Adds [request] and returns the requests that are removed because the queue is full. */
    fun add(request: W): List<W> {
        queued += request
        if (queued.size <= MAX_QUEUED_REQUESTS) return emptyList()
        queued.sortWith(order(nowMillis()))
        return listOf(queued.removeLast())
    }

    fun remove(request: W): Boolean = queued.remove(request)

    /** Passes the queued requests to [accept] in order and removes those that it accepts. */
    fun offer(accept: (W) -> Boolean) {
        if (queued.isEmpty()) return
        queued.sortWith(order(nowMillis()))
        val offered = queued.toList()
        queued.clear()
        // An accepted request may fail at once and be queued again while the loop is running.
        offered.filterTo(ArrayList()) { !accept(it) }.let { queued.addAll(0, it) }
    }

    /** Removes and returns the requests that have reached their maximum wait. */
    fun expired(): List<W> {
        val now = nowMillis()
        val timedOut = queued.filter { now - it.queuedSinceMillis >= it.maxWaitMillis }
        queued.removeAll(timedOut.toSet())
        return timedOut
    }

    private fun order(now: Long): Comparator<W> =
        compareBy({ it.rank }, { now > it.onTimeUntilMillis }, { it.queuedSinceMillis })
}
