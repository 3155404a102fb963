/*
 * Highest of the values that were recorded within a window of time.
 */
package io.carawaytrack.gateway

internal class RecentMaximum(
    private val windowMillis: Long,
    private val nowMillis: () -> Long,
) {
    private class Recorded(
        val atMillis: Long,
        val value: Int,
    )

    /** Recorded values in descending order; a value that was recorded before a higher or equal one is dropped. */
    private val candidates = ArrayDeque<Recorded>()

    /** Highest value of the window; the last value if none was recorded since, or 0 before the first. */
    val value: Int
        get() {
            val oldestMillis = nowMillis() - windowMillis
            while (candidates.size > 1 && candidates.first().atMillis < oldestMillis) candidates.removeFirst()
            return candidates.firstOrNull()?.value ?: 0
        }

    fun record(value: Int) {
        while (candidates.lastOrNull()?.let { it.value <= value } == true) candidates.removeLast()
        candidates.addLast(Recorded(nowMillis(), value))
    }
}
