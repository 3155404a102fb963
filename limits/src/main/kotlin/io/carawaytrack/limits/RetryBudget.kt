/*
 * Retries as a bounded share of the requests of the last seconds, so that a fleet in trouble is not given more work by
 * those who retry. Counters are sharded over threads and over slices of time.
 */
package io.carawaytrack.limits

import java.util.concurrent.atomic.AtomicReferenceArray
import java.util.concurrent.atomic.LongAdder

/**
 * Sets up a retry budget.
 *
 * @property retryRatio retries allowed for each request of the window
 * @property minRetries retries allowed in a window however few requests there were
 * @property windowMillis length of the window
 */
public data class RetrySettings(
    val retryRatio: Double = 0.1,
    val minRetries: Int = 3,
    val windowMillis: Long = 10_000,
)

/** Decides whether a request may be tried again. */
public interface RetryBudget {
    /** Counts a request, when it is first tried. */
    public fun recordRequest()

    /** Takes one retry from the budget; returns false when there is none. */
    public fun tryAcquire(): Boolean
}

/** Creates a retry budget with no request counted. Threads that ask at once may pass the bound by one retry each. */
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
    private val sliceMillis = maxOf(1, settings.windowMillis / SLICES)
    private val slices = AtomicReferenceArray<Slice>(SLICES)

    override fun recordRequest(): Unit = currentSlice().requests.increment()

    override fun tryAcquire(): Boolean {
        val current = currentSlice()
        val recent =
            (0 until SLICES)
                .mapNotNull { slices[it] }
                .filter { it.number > current.number - SLICES }
        val allowed = maxOf(settings.minRetries.toDouble(), recent.sumOf { it.requests.sum() } * settings.retryRatio)
        if (recent.sumOf { it.retries.sum() } + 1 > allowed) return false
        current.retries.increment()
        return true
    }

    private fun currentSlice(): Slice {
        val number = nowMillis() / sliceMillis
        val index = Math.floorMod(number, SLICES)
        return slices.updateAndGet(index) { if (it == null || it.number < number) Slice(number) else it }
    }

    private companion object {
        const val SLICES = 10
    }
}
