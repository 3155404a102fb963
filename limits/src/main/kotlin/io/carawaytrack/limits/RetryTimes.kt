/*
 * Times at which refused requests are told to return. Requests that are refused together must not return together: the
 * earliest refused return first, at the rate at which the queue drains, and those for which that is not fast enough
 * are spread by a hash.
 */
package io.carawaytrack.limits

/** Part of the remaining time up to which callers honour Retry-After. */
private const val HONOURED_PART = 3

/** Retry-After while the rate of the queue is unknown. */
private const val DEFAULT_RETRY_AFTER_MILLIS = 400.0

/** Minimum time until a return: requests that return sooner meet the same queue. */
private const val MIN_RETRY_AFTER_MILLIS = 20.0

/** Assigns return times to the refused requests of one pool. Not thread-safe. */
public class RetryTimes(
    private val nowMillis: () -> Long,
) {
    private var bookedUntilMillis = 0.0
    private var bookedMillis = 0.0

    /**
     * Returns the time until a refused request may return.
     *
     * @param expectedMillis time until capacity is expected for the request; null if unknown
     * @param serviceMillis time in which the queue serves this much work; null if unknown
     * @param remainingMillis time until the caller gives up
     * @param position hash of the request in the range from 0 to 1
     */
    public fun retryAfterMillis(
        expectedMillis: Double?,
        serviceMillis: Double?,
        remainingMillis: Long,
        position: Double,
    ): Long {
        val longestMillis = maxOf(1.0, remainingMillis.toDouble() / HONOURED_PART)
        // The returns are spread over as long again as the time until the first.
        val wantedMillis = maxOf(MIN_RETRY_AFTER_MILLIS, expectedMillis ?: DEFAULT_RETRY_AFTER_MILLIS)
        val baseMillis = minOf(wantedMillis, longestMillis / 2)
        return (baseMillis + offsetMillis(baseMillis, serviceMillis ?: baseMillis, position)).toLong()
    }

    private fun offsetMillis(
        baseMillis: Double,
        serviceMillis: Double,
        position: Double,
    ): Double {
        val now = nowMillis().toDouble()
        if (now >= bookedUntilMillis) {
            bookedUntilMillis = now + baseMillis
            bookedMillis = 0.0
        }
        val offset = bookedMillis + position * serviceMillis
        bookedMillis += serviceMillis
        return if (offset < baseMillis) offset else position * baseMillis
    }
}
