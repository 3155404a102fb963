/*
 * Whether an attempt on an engine is abandoned for another engine. Abandoning a busy engine has the prompt read again
 * elsewhere, which makes the next engine late too; so a live engine is left only for one that is clearly faster.
 */
package io.carawaytrack.routing.load

/** Time without progress after which a stream leaves an engine that is gone, or whose running streams stand still. */
private const val GONE_TIMEOUT_MILLIS = 1_500L

/** Time without progress after which an attempt leaves a dead engine. */
private const val DEAD_TIMEOUT_MILLIS = 900L

/** Part of the latency target after which an attempt without events leaves a dead engine if that is earlier. */
private const val DEAD_TARGET_RATIO = 0.45

/** Minimum time without progress after which a stream leaves an engine that is alive for no other reason. */
private const val ALIVE_TIMEOUT_MILLIS = 3_000L

/** Longest pause between the events of a healthy stream, relative to the route's target for pauses. */
private const val MAX_PAUSE_TARGET_RATIO = 2L

/** Part of the latency target by which another engine must be faster, and by which an answer counts as late. */
private const val MARGIN_TARGET_RATIO = 0.3

/** Part of the expected time by which an answer may be late: expected times are off by about as much. */
private const val MARGIN_EXPECTED_RATIO = 0.5

/** Multiple of the usual timeout while no other engine is faster, or while the engine works through its queue. */
private const val PATIENT_RATIO = 2L

/** Busy ratio at which about nine requests wait on each engine. */
private const val OVERLOADED_BUSY_RATIO = 0.9

/** Reasons for which an attempt leaves an engine. */
public enum class AbandonReason {
    /** Nothing has arrived from the upstream for too long; used in pools that are not time-critical. */
    Silent,

    /** The engine has deregistered. */
    Departed,

    /** The engine does not answer health checks, or its announcements have stopped too. */
    Dead,

    /** The engine answers health checks only. */
    Stalled,

    /** The engine is alive but late, and another one is expected to begin the answer clearly earlier. */
    Slow,

    /** The engine is alive, but the attempt has made no progress for too long. */
    Overdue,
    ;

    /** Whether it counts as a failure of the engine; one that is only slow must not be paused as well. */
    public val isFailure: Boolean get() = this != Slow
}

/**
 * What one attempt has been waiting for.
 *
 * @property sinceProgressMillis time since it was sent or since its last complete event
 * @property hasEvents whether the attempt's request has received events
 * @property expectedMillis expected time from sending to the first event; null if unknown
 * @property onTimeRemainingMillis time until the answer is late for the caller; negative after that
 */
public data class AttemptWait(
    val sinceProgressMillis: Long,
    val hasEvents: Boolean,
    val expectedMillis: Double?,
    val targetMillis: Long,
    val pauseTargetMillis: Long,
    val onTimeRemainingMillis: Long,
) {
    private val marginMillis
        get() = maxOf(targetMillis * MARGIN_TARGET_RATIO, (expectedMillis ?: 0.0) * MARGIN_EXPECTED_RATIO)

    /** Time by which the first event is later than expected, beyond a margin; null if it is unknown when it is due. */
    public val lateMillis: Double?
        get() = if (hasEvents) null else expectedMillis?.let { sinceProgressMillis - it - marginMillis }

    /**
     * Returns why the attempt is to leave its engine, which shows these [signs], or null to await the answer. The
     * [outlook] for [work], which the request causes elsewhere, is asked for only if the decision depends on it.
     */
    public fun abandonReason(
        signs: LifeSigns,
        outlook: PoolOutlook,
        work: () -> PromptWork,
    ): AbandonReason? = when (signs.liveness) {
        Liveness.Dead -> AbandonReason.Dead.takeIf { sinceProgressMillis > deadTimeoutMillis() }
        Liveness.Stalled -> AbandonReason.Stalled.takeIf { sinceProgressMillis > stalledTimeoutMillis() }
        Liveness.Alive, Liveness.Unproven -> leaveLiveEngine(signs.isWorking, outlook, work)
    }

    private fun deadTimeoutMillis(): Long =
        if (hasEvents) DEAD_TIMEOUT_MILLIS else minOf(DEAD_TIMEOUT_MILLIS, targetPart(DEAD_TARGET_RATIO))

    private fun stalledTimeoutMillis(): Long = when {
        hasEvents -> maxOf(GONE_TIMEOUT_MILLIS, pauseTargetMillis * MAX_PAUSE_TARGET_RATIO)
        else -> minOf(GONE_TIMEOUT_MILLIS, targetPart(DEAD_TARGET_RATIO))
    }

    private fun leaveLiveEngine(
        working: Boolean,
        outlook: PoolOutlook,
        work: () -> PromptWork,
    ): AbandonReason? {
        val timeoutMillis = maxOf(ALIVE_TIMEOUT_MILLIS, targetMillis)
        val late = lateMillis?.let { it > 0 } == true
        if (!late && sinceProgressMillis <= timeoutMillis) return null
        val elsewhereMillis = outlook.firstEventMillis(work())
        val faster = elsewhereMillis != null && isFaster(elsewhereMillis, outlook.busyRatio)
        if (late && faster && elsewhereMillis <= onTimeRemainingMillis) return AbandonReason.Slow
        val overdue = overdueMillis(working, faster || elsewhereMillis == null, outlook.busyRatio)
        return AbandonReason.Overdue.takeIf { sinceProgressMillis > overdue }
    }

    /** Returns the time without progress after which the attempt leaves an engine that is alive. */
    private fun overdueMillis(
        working: Boolean,
        faster: Boolean,
        busyRatio: Double,
    ): Long {
        val timeoutMillis = maxOf(ALIVE_TIMEOUT_MILLIS, targetMillis)
        return when {
            // An overloaded engine that works through its queue reaches the request; the others' are as long.
            working && !hasEvents && busyRatio >= OVERLOADED_BUSY_RATIO -> Long.MAX_VALUE
            (working && !hasEvents) || !faster -> timeoutMillis * PATIENT_RATIO
            else -> timeoutMillis
        }
    }

    /**
     * Returns whether an engine that begins the answer in [elsewhereMillis] is clearly faster than awaiting the current
     * one. An answer that is late is expected to take about as long again as it is late. Expected times are the less
     * certain the busier the engines are, so they count for more by [busyRatio].
     */
    private fun isFaster(
        elsewhereMillis: Double,
        busyRatio: Double,
    ): Boolean {
        val remainingMillis = sinceProgressMillis - (if (hasEvents) 0.0 else expectedMillis ?: 0.0)
        return elsewhereMillis * (1 + maxOf(0.0, busyRatio)) + targetPart(MARGIN_TARGET_RATIO) < remainingMillis
    }

    private fun targetPart(ratio: Double): Long = (targetMillis * ratio).toLong()

    public companion object {
        /** Time without progress after which a stream leaves an engine that has deregistered. */
        public const val DEPARTED_TIMEOUT_MILLIS: Long = GONE_TIMEOUT_MILLIS
    }
}
