/*
 * What one host observes of an engine besides its load: how many of the host's streams have begun there, and the
 * results of health checks.
 */
package io.carawaytrack.gateway

import io.carawaytrack.routing.load.LifeSigns

/** Minimum time between two health checks of one engine by one host. */
private const val CHECK_INTERVAL_MILLIS = 500L

internal class EngineWatch(
    private val nowMillis: () -> Long,
) {
    /** Number of this host's attempts on the engine that have received events. */
    var streams = 0

    private var checking = false
    private var checkStartedAtMillis: Long? = null
    private var failedCheckAtMillis: Long? = null
    private var answeredCheckAtMillis: Long? = null

    /** Starts a health check by [check], which reports whether it was answered, unless one is running or recent. */
    fun startCheck(check: ((Boolean) -> Unit) -> Unit) {
        val startedAtMillis = nowMillis()
        val recent = checkStartedAtMillis?.let { startedAtMillis - it < CHECK_INTERVAL_MILLIS } == true
        if (checking || recent) return
        checking = true
        checkStartedAtMillis = startedAtMillis
        check { answered ->
            checking = false
            failedCheckAtMillis = if (answered) null else startedAtMillis
            if (answered) answeredCheckAtMillis = nowMillis()
        }
    }

    fun lifeSigns(
        unansweredMillis: Long,
        lastByteAtMillis: Long,
        reportedAtMillis: Long?,
        announcedAtMillis: Long,
    ): LifeSigns {
        val now = nowMillis()
        return LifeSigns(
            unansweredMillis = unansweredMillis,
            lastByteMillis = now - lastByteAtMillis,
            streams = streams,
            reportMillis = reportedAtMillis?.let { now - it },
            announcementMillis = now - announcedAtMillis,
            answeredCheckMillis = answeredCheckAtMillis?.let { now - it },
            failedCheckMillis = failedCheckAtMillis?.let { now - it },
        )
    }
}
