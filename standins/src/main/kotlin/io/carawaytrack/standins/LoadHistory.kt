/*
 * The load report of an engine stand-in, and the history from which it is reported with a lag.
 */
package io.carawaytrack.standins

import kotlinx.serialization.Serializable

/**
 * Reply to `GET /load`.
 *
 * @property queuedTokens prompt tokens and outstanding answer tokens of the running and waiting requests
 * @property cacheUsed fraction of the prefix cache in use, 0 to 1
 * @property bootId changes with every start of the engine
 */
@Serializable
public data class LoadReport(
    val atMillis: Long,
    val running: Int,
    val waiting: Int,
    val queuedTokens: Long,
    val cacheUsed: Double,
    val bootId: Long,
)

internal class LoadHistory {
    private val lock = Any()
    private val history = ArrayDeque<LoadReport>()

    fun record(report: LoadReport): Unit = synchronized(lock) {
        if (history.lastOrNull()?.atMillis == report.atMillis) history.removeLast()
        history.addLast(report)
        if (history.size > MAX_REPORTS) history.removeFirst()
    }

    /** Returns the newest report from [atMillis] or earlier, or the oldest report if all are later. */
    fun asOf(atMillis: Long): LoadReport? = synchronized(lock) {
        history.lastOrNull { it.atMillis <= atMillis } ?: history.firstOrNull()
    }

    private companion object {
        const val MAX_REPORTS = 4_096
    }
}
