/*
 * The fastest pace of one stream: the shortest time in which a given number of successive events arrived. Unlike the
 * mean pause it hardly depends on what else the upstream works on, so that versions can be compared although one of
 * them carries most of the load.
 */
package io.carawaytrack.gateway

/** Number of successive pauses that are timed together: events that arrive in one read have no pause between them. */
internal const val PAUSES_PER_SPAN = 4

internal class StreamPace {
    private val arrivals = LongArray(PAUSES_PER_SPAN + 1)
    private var events = 0

    /** Shortest time in milliseconds for [PAUSES_PER_SPAN] successive pauses; null before the first such span ends. */
    var shortestSpanMillis: Long? = null
        private set

    fun restart() {
        events = 0
        shortestSpanMillis = null
    }

    /** Records that [count] events have arrived [now]. */
    fun eventsReceived(
        count: Int,
        now: Long,
    ) = repeat(count) {
        arrivals[events % arrivals.size] = now
        events++
        if (events >= arrivals.size) {
            val spanMillis = now - arrivals[events % arrivals.size]
            shortestSpanMillis = minOf(spanMillis, shortestSpanMillis ?: spanMillis)
        }
    }

    /** Returns the time since the first event if no span has ended by [now]: the least that the first span takes. */
    fun unfinishedSpanMillis(now: Long): Long? =
        if (events == 0 || shortestSpanMillis != null) null else now - arrivals[0]
}
