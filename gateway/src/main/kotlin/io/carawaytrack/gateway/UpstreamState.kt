/*
 * What this host knows of one upstream beyond its announcements: its own requests there, the load that answers report,
 * and whether it answers at all. Reports are old when they arrive and other hosts read the same ones, so this host's
 * own starts and ends since the last report are counted on top.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.KnownUpstream

/** Age beyond which a reported load says nothing any more, in milliseconds: several requests' duration. */
private const val LOAD_VALID_MILLIS = 3_000L

/** Time without any byte from an upstream that owes one after which it is suspected, in milliseconds. */
internal const val SUSPECT_AFTER_MILLIS: Long = 900

/** First pause after a failed connection or a run of failures, in milliseconds; it doubles up to the longest one. */
private const val MIN_PAUSE_MILLIS = 250L

/** Longest pause, in milliseconds: about the time in which a crashed upstream returns. */
private const val MAX_PAUSE_MILLIS = 4_000L

/** Failures in a row that make a pause. */
private const val FAILURES_TO_PAUSE = 3

/** Time for which an upstream that called itself full gets nothing, in milliseconds: a short request's duration. */
private const val FULL_PAUSE_MILLIS = 40L

/** Weight of the newest answer in the running share of failures: the last ten or so count. */
private const val FAILURE_WEIGHT = 0.12

/** Load that an upstream reported with an answer. */
internal data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
)

internal fun reportedLoad(header: String?): ReportedLoad? {
    val numbers = header?.split(',')?.map { it.trim().toIntOrNull() ?: return null } ?: return null
    if (numbers.size < LOAD_FIELDS) return null
    return ReportedLoad(numbers[0], numbers[1], numbers[2])
}

private const val LOAD_FIELDS = 3

internal class UpstreamState(
    known: KnownUpstream,
    private val nowMillis: () -> Long,
) {
    var upstream: FleetUpstream = known.upstream
        private set
    var announcedAtMillis = known.heardAtMillis
        private set
    private var announcedColdUntilMillis = known.coldUntilMillis
    private var assumedColdUntilMillis = 0L

    /** Requests of this host that the upstream has and has not finished. */
    var inFlight = 0
        private set

    /** Share of recent requests that failed, 0 to 1. */
    var failureRatio = 0.0
        private set

    /** Whether it has signed off or called itself another; it gets nothing more. */
    var departed = false

    private var lastByteAtMillis = nowMillis()
    private var unansweredSinceMillis: Long? = null
    private var failures = 0
    private var pauseMillis = MIN_PAUSE_MILLIS
    private var pausedUntilMillis = 0L
    private var fullUntilMillis = 0L
    private var load: ReportedLoad? = null
    private var loadReportedAtMillis = 0L
    private var inFlightAtReport = 0
    private var coldStartTokens = 1.0
    private var coldStartTokensAtMillis = nowMillis()

    val isCold: Boolean get() = nowMillis() < maxOf(announcedColdUntilMillis, assumedColdUntilMillis)
    val isPaused: Boolean get() = nowMillis() < pausedUntilMillis
    val isFull: Boolean get() = nowMillis() < fullUntilMillis

    /** Time for which it has owed a byte, in milliseconds; zero when it owes none. */
    val unansweredMillis: Long get() = unansweredSinceMillis?.let { nowMillis() - maxOf(it, lastByteAtMillis) } ?: 0

    val isSuspectedUnhealthy: Boolean get() = unansweredMillis > SUSPECT_AFTER_MILLIS

    /** Requests that it has, this host's and the others', as far as known. */
    fun estimatedLoad(): Int {
        val reported = load?.takeIf { nowMillis() - loadReportedAtMillis < LOAD_VALID_MILLIS } ?: return inFlight
        return maxOf(inFlight, reported.running + reported.waiting + inFlight - inFlightAtReport)
    }

    fun applyAnnouncement(known: KnownUpstream) {
        upstream = known.upstream
        announcedAtMillis = known.heardAtMillis
        announcedColdUntilMillis = known.coldUntilMillis
        assumedColdUntilMillis = 0
    }

    /** Treats the upstream as cold until it says otherwise, at most for [durationMillis]. */
    fun assumeCold(durationMillis: Long) {
        assumedColdUntilMillis = maxOf(assumedColdUntilMillis, nowMillis() + durationMillis)
    }

    /** Takes one of this host's starts on a cold upstream, of which there are [perSecond]; false when none is left. */
    fun tryColdStart(perSecond: Double): Boolean {
        val now = nowMillis()
        coldStartTokens = minOf(1.0, coldStartTokens + (now - coldStartTokensAtMillis) * perSecond / MILLIS_PER_SECOND)
        coldStartTokensAtMillis = now
        if (coldStartTokens < 1.0) return false
        coldStartTokens -= 1.0
        return true
    }

    fun requestStarted() {
        if (inFlight == 0) unansweredSinceMillis = nowMillis()
        inFlight++
    }

    fun requestEnded() {
        inFlight--
        if (inFlight == 0) unansweredSinceMillis = null
    }

    /** Takes in that something arrived from it. */
    fun bytesReceived() {
        lastByteAtMillis = nowMillis()
    }

    fun applyLoadReport(report: ReportedLoad) {
        load = report
        loadReportedAtMillis = nowMillis()
        inFlightAtReport = inFlight
    }

    fun recordSuccess() {
        failures = 0
        pauseMillis = MIN_PAUSE_MILLIS
        failureRatio *= 1 - FAILURE_WEIGHT
    }

    fun recordFailure() {
        failures++
        failureRatio += (1 - failureRatio) * FAILURE_WEIGHT
        if (failures >= FAILURES_TO_PAUSE) pause()
    }

    /** Gives it nothing for a while that grows with each call until a request succeeds. */
    fun pause() {
        pausedUntilMillis = nowMillis() + pauseMillis
        pauseMillis = minOf(MAX_PAUSE_MILLIS, pauseMillis * 2)
    }

    fun markFull() {
        fullUntilMillis = nowMillis() + FULL_PAUSE_MILLIS
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
