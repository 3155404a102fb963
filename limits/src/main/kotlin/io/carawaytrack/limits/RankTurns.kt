/*
 * Turns of ranks whose queued requests are hardly served because more urgent ones keep coming. A rank gets a turn only
 * while the part of its requests that is served is far below that of every more urgent rank, so it is never served
 * better than these.
 */
package io.carawaytrack.limits

/** Time over which the ranks are compared. */
private const val RANK_WINDOW_MILLIS = 2_000L

/** Number of requests that are served in order for each turn of a starved rank. */
private const val SERVED_PER_TURN = 16

/** A rank is starved when the part of its requests that is served is below this multiple of any more urgent rank's. */
private const val STARVED_RATIO = 0.5

/** Decides when a starved rank has a turn. Not thread-safe. */
internal class RankTurns(
    nowMillis: () -> Long,
) {
    private val asked = RecentSums<Int>(RANK_WINDOW_MILLIS, nowMillis)
    private val served = RecentSums<Int>(RANK_WINDOW_MILLIS, nowMillis)
    private var servedInOrder = 0

    fun recordAsked(rank: Int) = asked.record(rank, 1.0)

    fun recordServed(rank: Int) {
        served.record(rank, 1.0)
        servedInOrder = if (servedInOrder >= SERVED_PER_TURN) 0 else servedInOrder + 1
    }

    /** Returns the rank among [queuedRanks] whose turn it is, or null if the next request in order is to be served. */
    fun starvedRank(queuedRanks: Sequence<Int>): Int? {
        if (servedInOrder < SERVED_PER_TURN) return null
        return queuedRanks.toSortedSet().lastOrNull(::isStarved)
    }

    private fun isStarved(rank: Int): Boolean {
        val moreUrgent = asked.all().keys.filter { it < rank }
        return moreUrgent.isNotEmpty() && moreUrgent.all { servedRatio(rank) < STARVED_RATIO * servedRatio(it) }
    }

    private fun servedRatio(rank: Int): Double = asked[rank].let { if (it > 0) minOf(1.0, served[rank] / it) else 1.0 }
}
