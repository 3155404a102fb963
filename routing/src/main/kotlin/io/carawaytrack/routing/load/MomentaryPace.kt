/*
 * Momentary slowness of an upstream as it states it itself: how long work takes on it at this moment, where 100 means
 * as usual. The state changes several times a second, so a figure counts for some 100 ms and fades to 100 meanwhile.
 *
 * Some upstreams state their lasting speed in the same figure. Their usual figure, the median of the newest ones, then
 * differs from 100; it is the lasting part, and what the newest figure exceeds it by is the momentary part.
 */
package io.carawaytrack.routing.load

/** Age at which a figure no longer counts; affected upstreams change several times a second. */
private const val FADE_MILLIS = 400.0

private const val USUAL_PERCENT = 100
private const val PERCENT = 100.0

/** Figures outside of this range are implausible and count as unknown. */
private const val MIN_PERCENT = 10
private const val MAX_PERCENT = 3_000

/** Number of newest figures whose median is the usual one, and the number from which on it is known. */
private const val REMEMBERED_FIGURES = 15
private const val MIN_FIGURES = 5

/** Returns [percent] when it is a plausible figure, or null. */
public fun plausiblePace(percent: Int?): Int? = percent?.takeIf { it in MIN_PERCENT..MAX_PERCENT }

public class MomentaryPace {
    private var percent = USUAL_PERCENT
    private var statedAtMillis = Long.MIN_VALUE / 2

    /** Whether the upstream has stated a plausible figure since its start. */
    public var isStated: Boolean = false
        private set

    private var isKnown = false
    private val newest = IntArray(REMEMBERED_FIGURES)
    private var recorded = 0

    /** Usual figure as a factor; 1 until enough figures are known. */
    public var usualRatio: Double = 1.0
        private set

    /** Records the figure of a report of [atMillis] unless a newer one is known; an implausible one counts as 100. */
    public fun record(
        percent: Int?,
        atMillis: Long,
    ) {
        if (atMillis < statedAtMillis) return
        val plausible = plausiblePace(percent)
        if (plausible != null) isStated = true
        this.percent = plausible ?: USUAL_PERCENT
        isKnown = plausible != null
        statedAtMillis = atMillis
        if (plausible != null) remember(plausible)
    }

    private fun remember(percent: Int) {
        newest[recorded++ % REMEMBERED_FIGURES] = percent
        if (recorded < MIN_FIGURES) return
        val known = newest.copyOf(minOf(recorded, REMEMBERED_FIGURES))
        known.sort()
        usualRatio = known[known.size / 2] / PERCENT
    }

    /** Returns the stated factor at [nowMillis]. */
    public fun ratioAt(nowMillis: Long): Double = fading(percent / PERCENT, nowMillis)

    /** Returns the factor by which work takes longer at [nowMillis] than it usually does on this upstream. */
    public fun momentaryAt(nowMillis: Long): Double = fading(percent / PERCENT / usualRatio, nowMillis)

    private fun fading(
        ratio: Double,
        nowMillis: Long,
    ): Double {
        val ageMillis = nowMillis - statedAtMillis
        if (!isKnown || ageMillis >= FADE_MILLIS) return 1.0
        return 1.0 + (ratio - 1.0) * (1.0 - maxOf(0L, ageMillis) / FADE_MILLIS)
    }
}
