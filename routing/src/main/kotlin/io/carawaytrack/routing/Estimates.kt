/*
 * What has been learned of a version on one route: how its answers were rated and how long they were. Old observations
 * fade as new ones come in, so that a version that turns bad is seen to. None of it is thread-safe by itself.
 */
package io.carawaytrack.routing

import kotlin.math.sqrt

/** States a mean and how far it may be off. */
internal data class Estimate(
    val mean: Double,
    val standardError: Double,
)

/** Collects ratings in bins, so that the effect of any acceptance bound can be worked out later. */
internal class RatingHistogram(
    memoryRatings: Int,
) {
    private val keep = 1.0 - 1.0 / memoryRatings
    private val counts = DoubleArray(RATING_BINS)
    private val sums = DoubleArray(RATING_BINS)
    private val squares = DoubleArray(RATING_BINS)

    /** Ratings held, faded ones in part. */
    val total: Double get() = counts.sum()

    fun add(rating: Double) {
        val bounded = rating.coerceIn(0.0, 1.0)
        for (bin in counts.indices) {
            counts[bin] *= keep
            sums[bin] *= keep
            squares[bin] *= keep
        }
        val bin = (bounded * RATING_BINS).toInt().coerceAtMost(RATING_BINS - 1)
        counts[bin] += 1.0
        sums[bin] += bounded
        squares[bin] += bounded * bounded
    }

    /** Returns the mean rating, pulled towards [prior] as if that had been seen [priorRatings] times. */
    fun shrunkTo(
        prior: Double,
        priorRatings: Double,
    ): Estimate {
        val n = total
        val mean = (prior * priorRatings + sums.sum()) / (priorRatings + n)
        return Estimate(mean, deviation() * sqrt(n) / (priorRatings + n))
    }

    /** Returns the share of ratings below the lower edge of [bin]. */
    fun shareBelow(bin: Int): Double = counts.take(bin).sum() / total

    /**
     * Returns the mean rating when every answer rated below the lower edge of [bin] is replaced by one of the mean
     * rating [other].
     */
    fun meanWithReplacement(
        bin: Int,
        other: Estimate,
    ): Estimate {
        val n = total
        val below = counts.take(bin).sum()
        val mean = (sums.drop(bin).sum() + below * other.mean) / n
        val square = (squares.drop(bin).sum() + below * other.mean * other.mean) / n
        val own = (square - mean * mean).coerceAtLeast(LEAST_VARIANCE) / n
        val replaced = below / n * other.standardError
        return Estimate(mean, sqrt(own + replaced * replaced))
    }

    private fun deviation(): Double {
        val n = total
        if (n < 2.0) return UNKNOWN_DEVIATION
        val mean = sums.sum() / n
        return sqrt((squares.sum() / n - mean * mean).coerceAtLeast(LEAST_VARIANCE))
    }
}

/** Averages the tokens of a version's complete answers. */
internal class TokenMean(
    memoryRatings: Int,
) {
    private val keep = 1.0 - 1.0 / memoryRatings
    private var count = 0.0
    private var sum = 0.0

    val mean: Double? get() = if (count > 0.0) sum / count else null

    fun add(tokens: Long) {
        count = count * keep + 1.0
        sum = sum * keep + tokens
    }
}

/**
 * Holds what is known of one version on one route.
 *
 * @property unrated requests planned since the last rating came in
 */
internal class VersionEstimate(
    memoryRatings: Int,
) {
    val direct = RatingHistogram(memoryRatings)
    val escalated = RatingHistogram(memoryRatings)
    val tokens = TokenMean(memoryRatings)
    var unrated = 0

    val ratings: Double get() = direct.total + escalated.total
}

/** Bins between ratings of 0 and 1. */
internal const val RATING_BINS = 20

private const val UNKNOWN_DEVIATION = 0.25
private const val LEAST_VARIANCE = 1e-4
