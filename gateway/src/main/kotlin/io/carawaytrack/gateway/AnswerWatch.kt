/*
 * Watches the answers to one request for signs that it crashes upstreams, for the pace of their events, and for the
 * first sign that the request runs. A harmful prompt part takes its upstream down at the beginning of the answer, so
 * an answer that goes on clears the prompt's parts. Only a complete answer clears the request itself.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.routing.load.PlacedWork

/** Time since the first event of an answer after which its prompt's parts are not the cause of a later crash. */
private const val SOUND_AFTER_MILLIS = 500L

/** Minimum time between two records of the same answer's progress. */
private const val PROGRESS_RECORD_INTERVAL_MILLIS = 1_000L

/** Number of crashes at the beginning of its answer after which a request is not sent again. */
private const val MAX_CRASHES = 2

internal class AnswerWatch(
    private val request: CallerRequest,
    private val crashes: CrashDetector,
    private val requestStarted: () -> Unit,
) {
    /** Pace of the current attempt's events. */
    val pace = StreamPace()
    private var firstEventAtMillis: Long? = null
    private var recordedAtMillis = Long.MIN_VALUE / 2

    /** Whether the current answer goes on for long enough to clear the parts of its prompt. */
    private var answering = false
    private var crashCount = 0
    private var started = false

    /** Whether the request may be sent to another upstream as far as crashes are concerned. */
    val allowsRetry: Boolean get() = crashCount < MAX_CRASHES

    /** Work of the current attempt; null unless its pool is time-critical. */
    var work: PlacedWork? = null
        private set

    fun attemptStarted(work: PlacedWork?) {
        this.work = work
        pace.restart()
        firstEventAtMillis = null
        answering = false
    }

    /** Records that [count] complete events of the answer have arrived [now]. */
    fun eventsReceived(
        count: Int,
        now: Long,
    ) {
        pace.eventsReceived(count, now)
        work?.firstEvent(now)
        val firstAtMillis = firstEventAtMillis ?: now.also { firstEventAtMillis = it }
        answering = now - firstAtMillis >= SOUND_AFTER_MILLIS
        if (!answering || now - recordedAtMillis < PROGRESS_RECORD_INTERVAL_MILLIS) return
        recordedAtMillis = now
        crashes.recordProgress(request)
    }

    /** Reports the start of the request once, as soon as [showsStart] returns true for any of its attempts. */
    fun responseReceived(showsStart: () -> Boolean) {
        if (started || !showsStart()) return
        started = true
        requestStarted()
    }

    fun answerCompleted() = crashes.recordAnswered(request)

    /** Handles a broken attempt on [upstream]; calls [done] once it is known whether the upstream has crashed. */
    fun attemptBroken(
        upstream: FleetUpstream,
        done: () -> Unit,
    ) {
        val wasAnswering = answering
        if (wasAnswering) crashes.recordProgress(request)
        crashes.check(upstream, request, wasAnswering) { crashed ->
            if (crashed && !wasAnswering) crashCount++
            done()
        }
    }
}
