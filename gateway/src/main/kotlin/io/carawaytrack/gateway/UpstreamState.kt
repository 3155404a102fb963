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
private const val FIRST_PAUSE_MILLIS = 250L

/** Longest pause, in milliseconds: about the time in which a crashed upstream returns. */
private const val LONGEST_PAUSE_MILLIS = 4_000L

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
    var heardAtMillis = known.announcedAtMillis
        private set
    private var announcedColdUntilMillis = known.coldUntilMillis
    private var doubtedColdUntilMillis = 0L

    /** Requests of this host that the upstream has and has not finished. */
    var inFlight = 0
        private set

    /** Share of recent requests that failed, 0 to 1. */
    var failureShare = 0.0
        private set

    /** Whether it has signed off or called itself another; it gets nothing more. */
    var gone = false

    private var lastByteAtMillis = nowMillis()
    private var owedSinceMillis: Long? = null
    private var failures = 0
    private var pauseMillis = FIRST_PAUSE_MILLIS
    private var pausedUntilMillis = 0L
    private var fullUntilMillis = 0L
    private var load: ReportedLoad? = null
    private var loadAtMillis = 0L
    private var ownAtLoad = 0
    private var coldTokens = 1.0
    private var coldTokensAtMillis = nowMillis()

    val isCold: Boolean get() = nowMillis() < maxOf(announcedColdUntilMillis, doubtedColdUntilMillis)
    val isPaused: Boolean get() = nowMillis() < pausedUntilMillis
    val isFull: Boolean get() = nowMillis() < fullUntilMillis

    /** Time for which it has owed a byte, in milliseconds; zero when it owes none. */
    val owedMillis: Long get() = owedSinceMillis?.let { nowMillis() - maxOf(it, lastByteAtMillis) } ?: 0

    val isSuspect: Boolean get() = owedMillis > SUSPECT_AFTER_MILLIS

    /** Requests that it has, this host's and the others', as far as known. */
    fun estimatedLoad(): Int {
        val reported = load?.takeIf { nowMillis() - loadAtMillis < LOAD_VALID_MILLIS } ?: return inFlight
        return maxOf(inFlight, reported.running + reported.waiting + inFlight - ownAtLoad)
    }

    fun announced(known: KnownUpstream) {
        upstream = known.upstream
        heardAtMillis = known.announcedAtMillis
        announcedColdUntilMillis = known.coldUntilMillis
        doubtedColdUntilMillis = 0
    }

    /** Treats the upstream as cold until it says otherwise, at most for [durationMillis]. */
    fun doubtWarmth(durationMillis: Long) {
        doubtedColdUntilMillis = maxOf(doubtedColdUntilMillis, nowMillis() + durationMillis)
    }

    /** Takes one of this host's starts on a cold upstream, of which there are [perSecond]; false when none is left. */
    fun takeColdStart(perSecond: Double): Boolean {
        val now = nowMillis()
        coldTokens = minOf(1.0, coldTokens + (now - coldTokensAtMillis) * perSecond / MILLIS_PER_SECOND)
        coldTokensAtMillis = now
        if (coldTokens < 1.0) return false
        coldTokens -= 1.0
        return true
    }

    fun started() {
        if (inFlight == 0) owedSinceMillis = nowMillis()
        inFlight++
    }

    fun ended() {
        inFlight--
        if (inFlight == 0) owedSinceMillis = null
    }

    /** Takes in that something arrived from it. */
    fun answered() {
        lastByteAtMillis = nowMillis()
    }

    fun reported(reported: ReportedLoad) {
        load = reported
        loadAtMillis = nowMillis()
        ownAtLoad = inFlight
    }

    fun succeeded() {
        failures = 0
        pauseMillis = FIRST_PAUSE_MILLIS
        failureShare *= 1 - FAILURE_WEIGHT
    }

    fun failed() {
        failures++
        failureShare += (1 - failureShare) * FAILURE_WEIGHT
        if (failures >= FAILURES_TO_PAUSE) pause()
    }

    /** Gives it nothing for a while that grows with each call until a request succeeds. */
    fun pause() {
        pausedUntilMillis = nowMillis() + pauseMillis
        pauseMillis = minOf(LONGEST_PAUSE_MILLIS, pauseMillis * 2)
    }

    fun full() {
        fullUntilMillis = nowMillis() + FULL_PAUSE_MILLIS
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
