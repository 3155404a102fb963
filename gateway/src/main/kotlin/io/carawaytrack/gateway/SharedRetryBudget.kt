/*
 * One host's part of a budget for retries that all hosts share without coordination. In every window of time, all hosts
 * together may retry at most the ratio of the requests plus the slack, even when hosts start again in between.
 *
 * Each part is a token bucket. A request adds a fraction of a token, and time adds the host's part of the slack. The
 * capacity bounds what is carried over from an earlier window. A bucket starts empty, so a restart never adds tokens.
 */
package io.carawaytrack.gateway

import io.carawaytrack.limits.RetrySettings

/**
 * Part of the ratio that each request adds to the bucket; a retry takes a whole token. It is sent up to a queue's wait
 * after it was granted, so that a window may hold the retries granted in a longer span. This part and [CARRIED_RATIO],
 * like the two parts of the slack, stay below the whole for waits of up to a seventh of the window.
 */
private const val EARNED_RATIO = 0.78

/** Part of the ratio that the requests of the last window add to the capacity. */
private const val CARRIED_RATIO = 0.1

/** Part of the slack that is added evenly over each window. */
private const val ADDED_SLACK_RATIO = 0.48

/** Part of the slack that may be carried over from an earlier window. */
private const val CARRIED_SLACK_RATIO = 0.45

/** Slices in which the requests of the last window are counted. */
private const val SLICE_COUNT = 10

/** Time after its start within which a host may not know of the others yet; no slack is added during it. */
private const val HOSTS_UNKNOWN_MILLIS = 2_000L

/** Permit for one retry. */
internal fun interface RetryPermit {
    /** Gives the permit back; called only if the retry was not sent. */
    fun cancel()
}

/**
 * One host's part of a shared budget.
 *
 * @property share fraction of the whole budget that this bucket may use, 0 to 1
 * @property hosts present number of hosts that share the budget
 */
internal class SharedRetryBudget(
    private val settings: RetrySettings,
    private val share: Double,
    private val hosts: () -> Int,
    hostStartedAtMillis: Long,
    private val nowMillis: () -> Long,
    private val random: () -> Double,
) {
    private val sliceMillis = maxOf(1, settings.windowMillis / SLICE_COUNT)
    private val slices = LongArray(SLICE_COUNT)
    private var newestSlice = nowMillis() / sliceMillis
    private var tokens = 0.0
    private var refilledAtMillis = hostStartedAtMillis + HOSTS_UNKNOWN_MILLIS

    private val hostSlack get() = settings.minRetries * share / maxOf(1, hosts())
    private val capacity
        get() = hostSlack * CARRIED_SLACK_RATIO + settings.retryRatio * share * CARRIED_RATIO * slices.sum()

    /** Counts a request; called at its arrival only. */
    fun recordRequest() {
        refill()
        slices[Math.floorMod(newestSlice, SLICE_COUNT)]++
        add(settings.retryRatio * share * EARNED_RATIO)
    }

    /** Takes one retry from the budget; returns null when it is exhausted. */
    fun tryAcquire(): RetryPermit? {
        refill()
        val granted = tokens >= 1 || (capacity < 1 && drawWholeToken())
        if (!granted) return null
        tokens -= 1
        return RetryPermit(::giveBack)
    }

    /** Exchanges a fraction of a token for a whole one with a probability that keeps the expected number of retries. */
    private fun drawWholeToken(): Boolean {
        val drawn = random() < tokens
        tokens = if (drawn) 1.0 else minOf(tokens, 0.0)
        return drawn
    }

    private fun giveBack() {
        refill()
        add(1.0)
    }

    private fun refill() {
        val now = nowMillis()
        val slice = now / sliceMillis
        val outdated = minOf(slice - newestSlice, SLICE_COUNT.toLong())
        for (number in slice - outdated + 1..slice) slices[Math.floorMod(number, SLICE_COUNT)] = 0
        newestSlice = slice
        val elapsedMillis = maxOf(0, now - refilledAtMillis)
        refilledAtMillis += elapsedMillis
        add(hostSlack * ADDED_SLACK_RATIO * elapsedMillis / settings.windowMillis)
    }

    private fun add(added: Double) {
        tokens = minOf(capacity, tokens + added)
    }
}
