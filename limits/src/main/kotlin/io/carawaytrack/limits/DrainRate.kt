/*
 * Rate at which the queue of a pool is served, measured while requests are queued: an empty queue says nothing about
 * how much the pool could serve.
 */
package io.carawaytrack.limits

import kotlin.math.exp

/** Part of the averaging time for which requests must have been queued before the rate is known. */
private const val MIN_MEASURED_RATIO = 0.3

/** Time without queued requests after which the rate is unknown again. */
private const val VALID_MILLIS = 3_000L

/**
 * Moving average of the work that is served while requests are queued. Not thread-safe.
 *
 * @param averageMillis time constant of the average: several requests are to be served in it
 */
public class DrainRate(
    private val averageMillis: Double,
    private val nowMillis: () -> Long,
) {
    private var isQueued = false
    private var updatedAtMillis = nowMillis()
    private var measuredMillis = 0.0
    private var served = 0.0
    private var latestWork = 0.0

    /**
     * Work that is served in a millisecond; null while it is unknown. It counts one request more than were served: the
     * next one may be about to be served, which matters where few requests are served.
     */
    public val perMilli: Double?
        get() {
            advance()
            val isKnown = latestWork > 0 && measuredMillis >= averageMillis * MIN_MEASURED_RATIO
            return if (isKnown) (served + latestWork) / measuredMillis else null
        }

    /** Records whether requests are queued from now on. */
    public fun queueChanged(isQueued: Boolean) {
        advance()
        if (isQueued && !this.isQueued) updatedAtMillis = nowMillis()
        this.isQueued = isQueued
    }

    /** Records that queued [work] was sent to an upstream. */
    public fun recordServed(work: Double) {
        advance()
        served += work
        latestWork = work
    }

    private fun advance() {
        val elapsedMillis = nowMillis() - updatedAtMillis
        if (isQueued && elapsedMillis > 0) {
            val kept = exp(-elapsedMillis / averageMillis)
            measuredMillis = measuredMillis * kept + averageMillis * (1 - kept)
            served *= kept
            updatedAtMillis += elapsedMillis
        } else if (!isQueued && elapsedMillis > VALID_MILLIS) {
            measuredMillis = 0.0
            served = 0.0
            latestWork = 0.0
            updatedAtMillis += elapsedMillis
        }
    }
}
