/*
 * Retry budget: limits retries to a share of the recent requests, so that retries do not add to the load of an
 * overloaded fleet. Counters are divided over threads and over slices of time.
 */
package io.carawaytrack.limits

import java.util.concurrent.atomic.AtomicReferenceArray
import java.util.concurrent.atomic.LongAdder

/**
 * Configures a retry budget.
 *
 * @property retryRatio retries allowed for each request in the window
 * @property minRetries retries allowed in a window regardless of the number of requests
 * @property windowMillis length of the sliding window
 */
public data class RetrySettings(
    val retryRatio: Double = 0.1,
    val minRetries: Int = 3,
    val windowMillis: Long = 10_000,
)

/** Decides whether a request may be retried. */
public interface RetryBudget {
    /** Counts a request; called at its first attempt only. */
    public fun recordRequest()

    /** Takes one retry from the budget; returns false when it is exhausted. */
    public fun tryAcquire(): Boolean
}

/** Creates an empty retry budget. Threads that take a retry concurrently may exceed the limit by one each. */
public fun RetryBudget(
    settings: RetrySettings,
    nowMillis: () -> Long,
): RetryBudget = SlicedRetryBudget(settings, nowMillis)

private class Slice(
    val number: Long,
) {
    val requests = LongAdder()
    val retries = LongAdder()
}

private class SlicedRetryBudget(
    private val settings: RetrySettings,
    private val nowMillis: () -> Long,
) : RetryBudget {
    private val sliceMillis = maxOf(1, settings.windowMillis / SLICE_COUNT)
    private val slices = AtomicReferenceArray<Slice>(SLICE_COUNT)

    override fun recordRequest(): Unit = currentSlice().requests.increment()

    override fun tryAcquire(): Boolean {
        val current = currentSlice()
        val recent =
            (0 until SLICE_COUNT)
                .mapNotNull { slices[it] }
                .filter { it.number > current.number - SLICE_COUNT }
        val allowed = maxOf(settings.minRetries.toDouble(), recent.sumOf { it.requests.sum() } * settings.retryRatio)
        if (recent.sumOf { it.retries.sum() } + 1 > allowed) return false
        current.retries.increment()
        return true
    }

    private fun currentSlice(): Slice {
        val number = nowMillis() / sliceMillis
        val index = Math.floorMod(number, SLICE_COUNT)
        return slices.updateAndGet(index) { if (it == null || it.number < number) Slice(number) else it }
    }

    private companion object {
        const val SLICE_COUNT = 10
    }
}
