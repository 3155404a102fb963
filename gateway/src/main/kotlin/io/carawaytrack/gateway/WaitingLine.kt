/*
 * Requests that no upstream can take at the moment, in the order in which they are to go on. The load it answers: more
 * requests than slots for some seconds, a burst, or a pool of which part has crashed. Urgent ones go first; of equally
 * urgent ones those that can still be on time, by arrival.
 */
package io.carawaytrack.gateway

/** Requests that may wait on one host; beyond it the least urgent ones are refused. */
private const val MAX_WAITING = 512

/**
 * Describes a request that waits.
 *
 * @property onTimeUntilMillis when an answer is late
 * @property patienceMillis time for which waiting here still leaves an answer a chance
 */
internal interface Waiter {
    val rank: Int
    val arrivedAtMillis: Long
    val onTimeUntilMillis: Long
    val patienceMillis: Long
}

internal class WaitingLine<W : Waiter>(
    private val nowMillis: () -> Long,
) {
    private val waiting = ArrayList<W>()

    val size: Int get() = waiting.size

    /** Adds [waiter] and returns those that have to go because the line is full. */
    fun add(waiter: W): List<W> {
        waiting += waiter
        if (waiting.size <= MAX_WAITING) return emptyList()
        waiting.sortWith(order(nowMillis()))
        return listOf(waiting.removeLast())
    }

    fun remove(waiter: W): Boolean = waiting.remove(waiter)

    /** Hands the waiting requests to [take] in order and drops those that it takes. */
    fun offer(take: (W) -> Boolean) {
        if (waiting.isEmpty()) return
        waiting.sortWith(order(nowMillis()))
        val offered = waiting.toList()
        waiting.clear()
        // A request that is taken may end at once and join the line again.
        offered.filterTo(ArrayList()) { !take(it) }.let { waiting.addAll(0, it) }
    }

    /** Removes and returns the requests for which waiting longer is of no use. */
    fun expired(): List<W> {
        val now = nowMillis()
        val over = waiting.filter { now - it.arrivedAtMillis >= it.patienceMillis }
        waiting.removeAll(over.toSet())
        return over
    }

    private fun order(now: Long): Comparator<W> =
        compareBy({ it.rank }, { now > it.onTimeUntilMillis }, { it.arrivedAtMillis })
}
