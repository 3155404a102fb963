/*
 * Requests that no upstream can take at the moment, in the order in which they are to go on. The load it answers: more
 * requests than slots for some seconds, a burst, or a pool of which part has crashed. Urgent ones go first; of equally
 * urgent ones those that can still be on time, by arrival.
 */
package io.carawaytrack.gateway

/** Requests that may wait on one host; beyond it the least urgent ones are refused. */
private const val MAX_QUEUED = 512

/**
 * Describes a request that waits.
 *
 * @property onTimeUntilMillis when an answer is late
 * @property patienceMillis time for which waiting here still leaves an answer a chance
 */
internal interface QueuedRequest {
    val rank: Int
    val arrivedAtMillis: Long
    val onTimeUntilMillis: Long
    val maxWaitMillis: Long
}

internal class WaitQueue<W : QueuedRequest>(
    private val nowMillis: () -> Long,
) {
    private val queued = ArrayList<W>()

    val size: Int get() = queued.size

    /** Adds [waiter] and returns those that have to go because the line is full. */
    fun add(request: W): List<W> {
        queued += request
        if (queued.size <= MAX_QUEUED) return emptyList()
        queued.sortWith(order(nowMillis()))
        return listOf(queued.removeLast())
    }

    fun remove(request: W): Boolean = queued.remove(request)

    /** Hands the waiting requests to [take] in order and drops those that it takes. */
    fun offer(accept: (W) -> Boolean) {
        if (queued.isEmpty()) return
        queued.sortWith(order(nowMillis()))
        val offered = queued.toList()
        queued.clear()
        // A request that is taken may end at once and join the line again.
        offered.filterTo(ArrayList()) { !accept(it) }.let { queued.addAll(0, it) }
    }

    /** Removes and returns the requests for which waiting longer is of no use. */
    fun expired(): List<W> {
        val now = nowMillis()
        val timedOut = queued.filter { now - it.arrivedAtMillis >= it.maxWaitMillis }
        queued.removeAll(timedOut.toSet())
        return timedOut
    }

    private fun order(now: Long): Comparator<W> =
        compareBy({ it.rank }, { now > it.onTimeUntilMillis }, { it.arrivedAtMillis })
}
