/*
 * State of one upstream on this host beyond its announcements: this host's own requests, the load that it reported to
 * this or another host, and whether it responds at all. Load reports are outdated when they arrive, so this host adds
 * the requests that it has started and ended since the last report.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.KnownUpstream
import io.carawaytrack.routing.load.EngineLoad
import io.carawaytrack.routing.load.LifeSigns
import io.carawaytrack.routing.load.MomentaryPace
import io.carawaytrack.routing.load.plausiblePace
import kotlin.random.Random

/** Age beyond which a load report is no longer meaningful: the duration of several requests. */
private const val LOAD_VALID_MILLIS = 3_000L

/** Time without any byte from an upstream with outstanding requests after which it is suspected unhealthy. */
internal const val SUSPECT_AFTER_MILLIS: Long = 900

/** Time for which an upstream is assumed cold after a broken connection, because it may have just restarted. */
internal const val ASSUMED_COLD_MILLIS: Long = 1_500L

/** Initial pause after a failed connection or several consecutive failures; it doubles up to [MAX_PAUSE_MILLIS]. */
private const val MIN_PAUSE_MILLIS = 250L

/** Maximum pause: about the time in which a crashed upstream restarts. */
private const val MAX_PAUSE_MILLIS = 4_000L

/** Number of consecutive failures that cause a pause. */
private const val FAILURES_TO_PAUSE = 3

/** Pause for an upstream that reported having no free capacity: the duration of a short request. */
private const val FULL_PAUSE_MILLIS = 40L

/** Weight of the newest response in the moving failure ratio, which covers about the last ten responses. */
private const val FAILURE_WEIGHT = 0.12

/** Part of a stated limit that all hosts use together; the margin absorbs their uneven timing. */
private const val LIMIT_RATIO = 0.8

/** Requests that all hosts together may start at once within a stated limit, as the time in which it allows as many. */
private const val LIMIT_BURST_MILLIS = 1_000L

/**
 * Load that an upstream reported with a response.
 *
 * @property pacePercent how long work takes at this moment, 100 means as usual; null if it states no plausible figure
 */
internal data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val pacePercent: Int? = null,
)

/** Requests that this host started (positive) or ended (negative) at one time. */
private class LoadChange(
    val atMillis: Long,
    val requests: Int,
)

internal fun reportedLoad(header: String?): ReportedLoad? {
    val fields = header?.split(',') ?: return null
    if (fields.size < LOAD_FIELD_COUNT) return null
    val numbers = fields.take(LOAD_FIELD_COUNT).map { it.trim().toIntOrNull() ?: return null }
    val pacePercent = fields.getOrNull(LOAD_FIELD_COUNT)?.trim()?.toIntOrNull()
    return ReportedLoad(numbers[0], numbers[1], plausiblePace(pacePercent))
}

private const val LOAD_FIELD_COUNT = 3

internal class UpstreamState(
    known: KnownUpstream,
    private val nowMillis: () -> Long,
    private val random: () -> Double = Random::nextDouble,
) {
    var upstream: FleetUpstream = known.upstream
        private set
    var announcedAtMillis = known.announcedAtMillis
        private set
    private var announcedColdUntilMillis = known.coldUntilMillis
    private var assumedColdUntilMillis = 0L

    /** Number of this host's requests that are in progress on the upstream. */
    var inFlight = 0
        private set

    /** Ratio of recent requests that failed, 0 to 1. */
    var failureRatio = 0.0
        private set

    /** Whether the upstream has deregistered or its address belongs to another one; it receives no further requests. */
    var departed = false

    /** Whether the upstream has announced that it ends, or has ended. */
    val isLeaving: Boolean get() = departed || upstream.draining

    /** Momentary slowness that the upstream states. */
    val pace = MomentaryPace()

    /** Work of the engine; null unless its pool is time-critical. */
    var engine: EngineLoad? = null

    private var lastByteAtMillis = nowMillis()
    private var unansweredSinceMillis: Long? = null
    private var failures = 0
    private var pauseMillis = MIN_PAUSE_MILLIS
    private var pausedUntilMillis = 0L
    private var fullUntilMillis = 0L
    private var load: ReportedLoad? = null
    private var loadReportedAtMillis = Long.MIN_VALUE
    private val limit = StatedLimit(nowMillis)
    private val loadChanges = ArrayDeque<LoadChange>()
    private val coldStarts = RateShare(nowMillis, random)
    private val limitShare = RateShare(nowMillis, random, LIMIT_BURST_MILLIS)

    /** Requests per second that the upstream accepts from all hosts together; null while it states no limit. */
    val limitPerSecond: Double? get() = limit.perSecond

    val isCold: Boolean get() = nowMillis() < maxOf(announcedColdUntilMillis, assumedColdUntilMillis)
    val isPaused: Boolean get() = nowMillis() < pausedUntilMillis
    val isFull: Boolean get() = nowMillis() < fullUntilMillis

    /** This host's running streams on the upstream and the results of its health checks. */
    val watch = EngineWatch(nowMillis)

    val lifeSigns: LifeSigns
        get() =
            watch.lifeSigns(
                unansweredMillis,
                lastByteAtMillis,
                loadReportedAtMillis.takeIf { it > Long.MIN_VALUE },
                announcedAtMillis,
            )

    /** Time since the last byte while requests are outstanding; zero without outstanding requests. */
    val unansweredMillis: Long get() = unansweredSinceMillis?.let { nowMillis() - maxOf(it, lastByteAtMillis) } ?: 0

    val isSuspectedUnhealthy: Boolean get() = unansweredMillis > SUSPECT_AFTER_MILLIS

    /** Whether requests should avoid the upstream; one in a [timeCritical] pool is judged by all signs of life. */
    fun isSuspect(timeCritical: Boolean): Boolean = if (timeCritical) lifeSigns.isSuspect else isSuspectedUnhealthy

    val health: UpstreamHealth
        get() =
            when {
                departed -> UpstreamHealth.Departed
                isSuspectedUnhealthy -> UpstreamHealth.SuspectedUnhealthy
                else -> UpstreamHealth.Responsive
            }

    /** Returns the estimated number of the upstream's requests from this and other hosts. */
    fun estimatedLoad(): Int {
        val reported = load?.takeIf { nowMillis() - loadReportedAtMillis < LOAD_VALID_MILLIS } ?: return inFlight
        val changed = loadChanges.sumOf { if (it.atMillis > loadReportedAtMillis) it.requests else 0 }
        return maxOf(inFlight, reported.running + reported.waiting + changed)
    }

    fun applyAnnouncement(known: KnownUpstream) {
        upstream = known.upstream
        announcedAtMillis = known.announcedAtMillis
        announcedColdUntilMillis = known.coldUntilMillis
        assumedColdUntilMillis = 0
    }

    /** Assumes that the upstream is cold until its next announcement, for at most [durationMillis]. */
    fun assumeCold(durationMillis: Long) {
        assumedColdUntilMillis = maxOf(assumedColdUntilMillis, nowMillis() + durationMillis)
    }

    /** Whether the number of requests that this host may start on the upstream is limited at the moment. */
    val isRateLimited: Boolean get() = isCold || limitPerSecond != null

    /** Takes one of the [perSecond] requests that this host may start while the upstream is cold, or returns false. */
    fun tryColdStart(perSecond: Double): Boolean = coldStarts.tryTake(perSecond)

    /** Takes one of the requests that this host, one of [hosts], may start within the limit, or returns false. */
    fun tryLimited(hosts: Int): Boolean = limitPerSecond?.let { limitShare.tryTake(it * LIMIT_RATIO / hosts) } ?: true

    fun requestStarted() {
        if (inFlight == 0) unansweredSinceMillis = nowMillis()
        inFlight++
        recordLoadChange(1)
    }

    fun requestEnded() {
        inFlight--
        if (inFlight == 0) unansweredSinceMillis = null
        recordLoadChange(-1)
    }

    private fun recordLoadChange(requests: Int) {
        val now = nowMillis()
        while (loadChanges.firstOrNull()?.let { now - it.atMillis > LOAD_VALID_MILLIS } == true) {
            loadChanges.removeFirst()
        }
        loadChanges.addLast(LoadChange(now, requests))
    }

    /** Records that bytes arrived from the upstream. */
    fun bytesReceived() {
        lastByteAtMillis = nowMillis()
    }

    /** Applies a load report that arrived [ageMillis] ago at this or another host, unless a newer one is known. */
    fun applyLoadReport(
        report: ReportedLoad,
        ageMillis: Long = 0,
    ) {
        val reportedAtMillis = nowMillis() - ageMillis
        if (reportedAtMillis < loadReportedAtMillis) return
        load = report
        loadReportedAtMillis = reportedAtMillis
        pace.record(report.pacePercent, reportedAtMillis)
        engine?.applyReport(report.running, report.waiting, reportedAtMillis, nowMillis())
    }

    /**
     * Applies an answer that reached this or another host [ageMillis] ago and states the limit [perSecond], or null for
     * none. Returns whether the limit has begun or ended.
     */
    fun applyLimit(
        perSecond: Double?,
        ageMillis: Long = 0,
    ): Boolean = limit.apply(perSecond, ageMillis)

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

    /** Pauses the upstream; the pause doubles with each call until a request succeeds. */
    fun pause() {
        pausedUntilMillis = nowMillis() + pauseMillis
        pauseMillis = minOf(MAX_PAUSE_MILLIS, pauseMillis * 2)
    }

    /** Records that the upstream has refused a request for a reason that concerns other requests as well. */
    fun recordRefusal(refusal: UpstreamRefusal) {
        if (refusal == UpstreamRefusal.AnotherUpstream) departed = true
        if (refusal == UpstreamRefusal.Full) fullUntilMillis = nowMillis() + FULL_PAUSE_MILLIS
    }
}
