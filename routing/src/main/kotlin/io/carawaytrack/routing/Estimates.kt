/*
 * Statistics on one version on one route: the ratings and the lengths of its answers. The weight of old observations
 * decays exponentially as new ones arrive, so that a drop in quality shows soon. The classes are not thread-safe.
 */
package io.carawaytrack.routing

import kotlin.math.sqrt

/** Describes an estimated mean and its standard error. */
internal data class Estimate(
    val mean: Double,
    val standardError: Double,
)

/** Collects ratings in bins, so that the effect of any acceptance threshold can be computed afterwards. */
internal class RatingHistogram(
    decayRatings: Int,
) {
    private val decayFactor = 1.0 - 1.0 / decayRatings
    private val counts = DoubleArray(RATING_BIN_COUNT)
    private val sums = DoubleArray(RATING_BIN_COUNT)
    private val squares = DoubleArray(RATING_BIN_COUNT)

    /** Sum of the decayed weights of all ratings. */
    val total: Double get() = counts.sum()

    fun add(rating: Double) {
        val bounded = rating.coerceIn(0.0, 1.0)
        for (bin in counts.indices) {
            counts[bin] *= decayFactor
            sums[bin] *= decayFactor
            squares[bin] *= decayFactor
        }
        val bin = (bounded * RATING_BIN_COUNT).toInt().coerceAtMost(RATING_BIN_COUNT - 1)
        counts[bin] += 1.0
        sums[bin] += bounded
        squares[bin] += bounded * bounded
    }

    /** Returns the mean rating shrunk towards [prior], which weighs as much as [priorRatings] ratings. */
    fun shrunkTo(
        prior: Double,
        priorRatings: Double,
    ): Estimate {
        val n = total
        val mean = (prior * priorRatings + sums.sum()) / (priorRatings + n)
        return Estimate(mean, standardDeviation() * sqrt(n) / (priorRatings + n))
    }

    /** Returns the fraction of ratings below the lower edge of [bin]. */
    fun ratioBelow(bin: Int): Double = counts.take(bin).sum() / total

    /**
     * Returns the mean rating if every answer rated below the lower edge of [bin] were replaced by an answer with the
     * mean rating [replacement].
     */
    fun meanWithReplacement(
        bin: Int,
        replacement: Estimate,
    ): Estimate {
        val n = total
        val below = counts.take(bin).sum()
        val mean = (sums.drop(bin).sum() + below * replacement.mean) / n
        val meanSquare = (squares.drop(bin).sum() + below * replacement.mean * replacement.mean) / n
        val ownVariance = (meanSquare - mean * mean).coerceAtLeast(MIN_VARIANCE) / n
        val replacementError = below / n * replacement.standardError
        return Estimate(mean, sqrt(ownVariance + replacementError * replacementError))
    }

    private fun standardDeviation(): Double {
        val n = total
        if (n < 2.0) return DEFAULT_DEVIATION
        val mean = sums.sum() / n
        return sqrt((squares.sum() / n - mean * mean).coerceAtLeast(MIN_VARIANCE))
    }
}

/** Computes the decayed mean number of tokens in a version's complete answers. */
internal class TokenMean(
    decayRatings: Int,
) {
    private val decayFactor = 1.0 - 1.0 / decayRatings
    private var count = 0.0
    private var sum = 0.0

    val mean: Double? get() = if (count > 0.0) sum / count else null

    fun add(tokens: Long) {
        count = count * decayFactor + 1.0
        sum = sum * decayFactor + tokens
    }
}

/**
 * Holds the estimates of one version on one route.
 *
 * @property direct ratings of answers to requests that were sent to this version first
 * @property escalated ratings of answers to requests for which a cheaper version's answer was rejected
 * @property plannedSinceRating requests planned since the last rating arrived
 */
internal class VersionEstimate(
    decayRatings: Int,
) {
    val direct = RatingHistogram(decayRatings)
    val escalated = RatingHistogram(decayRatings)
    val tokens = TokenMean(decayRatings)
    var plannedSinceRating = 0

    val ratings: Double get() = direct.total + escalated.total
}

/** Number of histogram bins between the ratings 0 and 1. */
internal const val RATING_BIN_COUNT = 20

private const val DEFAULT_DEVIATION = 0.25
private const val MIN_VARIANCE = 1e-4
