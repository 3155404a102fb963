/*
 * Fixes the usage windows in the agreed state and reports the fixed ones in order. Only fixed windows are reported, so
 * that a successor repeats exactly the same report.
 */
package io.carawaytrack.duties

import io.carawaytrack.fleet.UsageWindow
import io.carawaytrack.telemetry.event
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level

private val logger = KotlinLogging.logger {}

/** Time after the end of a window at which it is fixed: two reports of each host, at 1,000 ms, and their way. */
private const val FIX_DELAY_MILLIS = 2_500L

/** Time for which a new holder collects counts: one that has just started has not received those of all hosts yet. */
private const val COLLECT_MILLIS = 2_000L

/** Time after a report is due for which it is still tried; a late report may count for part. */
private const val GIVE_UP_MARGIN_MILLIS = 5_000L

/** Time after which an unanswered proposal to fix a window is repeated; only the first one has an effect. */
private const val FIX_TIMEOUT_MILLIS = 2_000L

/** Maximum number of fixed windows without a report; the agreed state keeps no more. */
private const val MAX_UNREPORTED = 8

internal class UsageReporter(
    private val settings: DutySettings,
    private val ports: DutyPorts,
    private val hold: DutyHold,
    private val caller: DutyCaller,
    private val clocks: TwoClocks,
) {
    private var fixing: Moment? = null
    private var firstWindow: Long? = null
    private var lastFailure: String? = null
    private var ownSettledThrough = Long.MIN_VALUE

    /** Newest window that has been reported or given up. */
    private val settledThrough: Long get() = maxOf(ownSettledThrough, ports.deliveredThrough())

    /** Time since the end of the oldest window that is neither reported nor given up; null if there is none. */
    val oldestUnreportedAgeMillis: Long?
        get() {
            val oldest = unreported().firstOrNull()?.windowId ?: nextWindow() ?: return null
            return ports.agreedNowMillis() - endMillis(oldest)
        }

    fun tick(token: Long) {
        if (firstWindow == null) firstWindow = Math.floorDiv(ports.agreedNowMillis(), settings.windowMillis)
        giveUpExpired()
        fixNext(token)
        reportNext(token)
    }

    private fun endMillis(windowId: Long) = (windowId + 1) * settings.windowMillis

    private fun isExpired(windowId: Long) =
        ports.agreedNowMillis() >= endMillis(windowId) + settings.lateMillis + GIVE_UP_MARGIN_MILLIS

    private fun unreported(): List<UsageWindow> {
        val through = settledThrough
        return ports.fixedWindows().filter { it.windowId > through }.sortedBy { it.windowId }
    }

    private fun giveUpExpired() {
        val inFlight = (caller.inFlight as? DutyMessage.Usage)?.window
        unreported().takeWhile { isExpired(it.windowId) && it != inFlight }.forEach { window ->
            giveUp(window.windowId, window.windowId, lastFailure ?: "not sent in time")
            ownSettledThrough = window.windowId
        }
    }

    private fun giveUp(
        first: Long,
        last: Long,
        reason: String,
    ) = logger.event("usage_not_reported", mapOf("window" to first, "through" to last, "reason" to reason), Level.WARN)

    private fun fixNext(token: Long) {
        fixing?.let { if (clocks.isWithin(it, FIX_TIMEOUT_MILLIS)) return }
        if (unreported().size >= MAX_UNREPORTED || hold.heldMillis < COLLECT_MILLIS) return
        val next = nextWindow() ?: return
        val newest = newestFixed()
        val begun = clocks.moment().also { fixing = it }
        ports.fix(UsageFix(token, ports.usageOf(next), settledThrough)) { fixed ->
            if (fixing === begun) fixing = null
            if (fixed) logFixed(next, newest)
        }
    }

    private fun newestFixed(): Long? = ports.fixedWindows().maxOfOrNull { it.windowId }

    /** Returns the next window to fix if it ended long enough ago; leaves out those too late to be reported. */
    private fun nextWindow(): Long? {
        val nowMillis = ports.agreedNowMillis()
        val due = Math.floorDiv(nowMillis - FIX_DELAY_MILLIS, settings.windowMillis) - 1
        val oldestMillis = nowMillis - settings.lateMillis - GIVE_UP_MARGIN_MILLIS
        val oldest = Math.floorDiv(oldestMillis, settings.windowMillis)
        val newest = newestFixed()
        val next = if (newest == null) firstOf(oldest, due) else maxOf(newest + 1, oldest)
        return next.takeIf { it <= due }
    }

    /**
     * Returns the first window that this group fixes: the one in which this host became the holder, or an earlier one
     * for which there are counts.
     */
    private fun firstOf(
        oldest: Long,
        due: Long,
    ): Long {
        val began = firstWindow ?: due
        return (oldest..due).firstOrNull { it >= began || ports.usageOf(it).counts.isNotEmpty() } ?: (due + 1)
    }

    private fun logFixed(
        windowId: Long,
        previous: Long?,
    ) {
        val window = ports.fixedWindows().firstOrNull { it.windowId == windowId } ?: return
        if (previous != null && windowId > previous + 1) giveUp(previous + 1, windowId - 1, "not fixed in time")
        logger.event("usage_fixed", fieldsOf(window))
    }

    private fun reportNext(token: Long) {
        val window = unreported().firstOrNull() ?: return
        if (!caller.isReady() || !hold.holds(token)) return
        caller.call(token, DutyMessage.Usage(window)) { outcome ->
            when (outcome) {
                CallOutcome.Delivered -> {
                    ownSettledThrough = maxOf(ownSettledThrough, window.windowId)
                    lastFailure = null
                    val lateMillis = ports.agreedNowMillis() - endMillis(window.windowId)
                    logger.event(
                        "usage_reported",
                        fieldsOf(window) + mapOf("token" to token, "ageMillis" to lateMillis),
                    )
                    reportNext(token)
                }
                CallOutcome.Expired -> lastFailure = "confirmation expired"
                is CallOutcome.Failed -> lastFailure = outcome.reason
            }
        }
    }
}

private fun fieldsOf(window: UsageWindow): Map<String, Any?> =
    mapOf("window" to window.windowId, "organisations" to window.counts.size, "requests" to window.counts.values.sum())
