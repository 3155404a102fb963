/*
 * Decides whether a roll-out continues, from tallies that can be summed over any number of entries. The test is
 * sequential: it may be evaluated after every observation without exceeding its significance level, so that a bad
 * version is rolled back as soon as the evidence suffices instead of at the end of a fixed window. It uses the normal
 * mixture confidence sequence for the difference of two means (Robbins 1970; Johari, Pekelis and Walsh 2015).
 */
package io.carawaytrack.routing

import kotlin.math.ln
import kotlin.math.sqrt

/**
 * Counts the observations of one version since a stage of its roll-out began; tallies of several entries can be summed.
 *
 * @property exposed attempts that the version completed or failed
 * @property slow complete answers that took longer than the operator's limit
 */
public data class VersionTally(
    val exposed: Long = 0,
    val completed: Long = 0,
    val failed: Long = 0,
    val slow: Long = 0,
    val ratings: Long = 0,
    val ratingSum: Double = 0.0,
    val ratingSquareSum: Double = 0.0,
) {
    /** Returns the sum of this tally and that of another entry. */
    public operator fun plus(other: VersionTally): VersionTally = VersionTally(
        exposed = exposed + other.exposed,
        completed = completed + other.completed,
        failed = failed + other.failed,
        slow = slow + other.slow,
        ratings = ratings + other.ratings,
        ratingSum = ratingSum + other.ratingSum,
        ratingSquareSum = ratingSquareSum + other.ratingSquareSum,
    )

    /** Returns this tally with one more observation; an answer over [slowMillisPerToken] for each token is slow. */
    public fun plus(
        observation: Observation,
        slowMillisPerToken: Double,
    ): VersionTally = when (observation) {
        is Observation.Rated ->
            copy(
                ratings = ratings + 1,
                ratingSum = ratingSum + observation.rating,
                ratingSquareSum = ratingSquareSum + observation.rating * observation.rating,
            )

        is Observation.Completed -> {
            val isSlow = observation.latencyMillis > observation.tokens * slowMillisPerToken
            copy(exposed = exposed + 1, completed = completed + 1, slow = if (isSlow) slow + 1 else slow)
        }

        Observation.Failed -> copy(exposed = exposed + 1, failed = failed + 1)
    }
}

/** Holds the tallies, over the same period, of the version that is replaced and of the one that replaces it. */
public data class RolloutEvidence(
    val from: VersionTally = VersionTally(),
    val to: VersionTally = VersionTally(),
) {
    /** Returns the sum of the evidence of two periods. */
    public operator fun plus(other: RolloutEvidence): RolloutEvidence =
        RolloutEvidence(from + other.from, to + other.to)
}

/** Decision on the stage of a roll-out. */
public enum class RolloutDecision {
    /** Stay at this stage: the evidence does not suffice for another decision. */
    Continue,

    /** Move on to the next stage. */
    Advance,

    /** Send no more requests to the new version until more ratings have arrived. */
    Hold,

    /** Return to the old version: the new one is worse. */
    RollBack,
}

/**
 * Configures the evaluator.
 *
 * @property significanceLevel probability that a version no worse than the old one is ever rolled back in a stage
 * @property ratingLossThreshold loss of mean rating from which a version counts as worse
 * @property ratingMargin loss of mean rating that must be ruled out before a stage advances
 * @property failureMargin rise of the failure rate, 0 to 1, that must be ruled out before a stage advances
 * @property slowMargin rise of the rate of slow answers, 0 to 1, that must be ruled out before a stage advances, and
 * from which a version counts as worse
 * @property maxExposedRequests requests of a stage after which an undecided roll-out is held
 * @property maxUnratedRequests requests of a stage after which a roll-out with too few ratings is held
 */
public data class RolloutEvaluatorSettings(
    val significanceLevel: Double = 0.01,
    val ratingLossThreshold: Double = 0.02,
    val ratingMargin: Double = 0.05,
    val failureMargin: Double = 0.05,
    val slowMargin: Double = 0.1,
    val maxExposedRequests: Long = 2_000,
    val maxUnratedRequests: Long = 150,
)

/** Evaluates a stage of a roll-out. */
public interface RolloutEvaluator {
    /**
     * Returns the decision on a stage from the evidence of its [periods], the oldest first. The periods are kept apart
     * because a version that degrades within the stage shows in the latest periods long before it shows in their sum.
     */
    public fun evaluate(periods: List<RolloutEvidence>): RolloutDecision
}

/** Creates an evaluator that applies sequential tests to ratings, failures and slow answers. */
public fun RolloutEvaluator(settings: RolloutEvaluatorSettings = RolloutEvaluatorSettings()): RolloutEvaluator =
    SequentialEvaluator(settings)

private class SequentialEvaluator(
    private val settings: RolloutEvaluatorSettings,
) : RolloutEvaluator {
    override fun evaluate(periods: List<RolloutEvidence>): RolloutDecision {
        val total = periods.fold(RolloutEvidence()) { sum, period -> sum + period }
        val suffixes = periods.map { it.to }.suffixSums()
        return when {
            suffixes.any { isWorse(total.from, it, suffixes.size) } -> RolloutDecision.RollBack
            isNoWorse(total.from, total.to) -> RolloutDecision.Advance
            isExhausted(total.to) -> RolloutDecision.Hold
            else -> RolloutDecision.Continue
        }
    }

    /** Tests one of [suffixCount] suffixes of the stage; they divide the significance level between them. */
    private fun isWorse(
        old: VersionTally,
        new: VersionTally,
        suffixCount: Int,
    ): Boolean {
        val significanceLevel = settings.significanceLevel / suffixCount
        return ratingRise(old, new, significanceLevel).endInclusive < -settings.ratingLossThreshold ||
            rise(failures(old), failures(new), significanceLevel).start > 0.0 ||
            rise(slowAnswers(old), slowAnswers(new), significanceLevel).start > settings.slowMargin
    }

    private fun isNoWorse(
        old: VersionTally,
        new: VersionTally,
    ): Boolean = ratingRise(old, new, settings.significanceLevel).start > -settings.ratingMargin &&
        rise(failures(old), failures(new), settings.significanceLevel).endInclusive < settings.failureMargin &&
        rise(slowAnswers(old), slowAnswers(new), settings.significanceLevel).endInclusive < settings.slowMargin

    /** Returns for each period the sum of itself and all later ones. */
    private fun List<VersionTally>.suffixSums(): List<VersionTally> =
        asReversed().runningReduce { sum, tally -> sum + tally }

    private fun isExhausted(tally: VersionTally): Boolean {
        val lacksRatings = tally.ratings < MIN_RATINGS && tally.exposed >= settings.maxUnratedRequests
        return lacksRatings || tally.exposed >= settings.maxExposedRequests
    }

    /**
     * Returns an interval that contains the rise of the mean from [old] to [new] at all times, with an error
     * probability of [significanceLevel] divided by the number of tests.
     */
    private fun rise(
        old: Sample,
        new: Sample,
        significanceLevel: Double,
    ): ClosedFloatingPointRange<Double> {
        if (old.count < MIN_RATINGS || new.count < MIN_NEW_SAMPLE) return -1.0..1.0
        val variance = old.variance / old.count + new.variance / new.count
        val mixtureVariance = variance + MIXTURE_DEVIATION * MIXTURE_DEVIATION
        val scaledVariance = variance * mixtureVariance / (MIXTURE_DEVIATION * MIXTURE_DEVIATION)
        val radius = sqrt(scaledVariance * (2 * ln(TEST_COUNT / significanceLevel) + ln(mixtureVariance / variance)))
        val difference = new.mean - old.mean
        return difference - radius..difference + radius
    }

    /**
     * Returns the interval of the rise of the mean rating. The variance of [old] serves as the prior variance of [new],
     * which may have few ratings.
     */
    private fun ratingRise(
        old: VersionTally,
        new: VersionTally,
        significanceLevel: Double,
    ): ClosedFloatingPointRange<Double> {
        val oldSample = ratings(old, DEFAULT_RATING_VARIANCE)
        return rise(oldSample, ratings(new, oldSample.variance), significanceLevel)
    }

    private fun ratings(
        tally: VersionTally,
        priorVariance: Double,
    ): Sample {
        val count = tally.ratings.toDouble()
        if (count == 0.0) return Sample(0.0, 0.0, priorVariance)
        val mean = tally.ratingSum / count
        val observedVariance = (tally.ratingSquareSum / count - mean * mean).coerceAtLeast(0.0)
        val smoothed = (observedVariance * count + priorVariance * PRIOR_RATINGS) / (count + PRIOR_RATINGS)
        return Sample(count, mean, smoothed)
    }

    private fun failures(tally: VersionTally): Sample = proportion(tally.failed, tally.completed + tally.failed)

    private fun slowAnswers(tally: VersionTally): Sample = proportion(tally.slow, tally.completed)

    /**
     * Returns a sample of yes-or-no outcomes. Its variance is computed with one more outcome of each kind, so that it
     * is not zero in a short sample.
     */
    private fun proportion(
        positives: Long,
        all: Long,
    ): Sample {
        val smoothed = (positives + 1.0) / (all + 2.0)
        return Sample(all.toDouble(), if (all == 0L) 0.0 else positives.toDouble() / all, smoothed * (1 - smoothed))
    }

    private data class Sample(
        val count: Double,
        val mean: Double,
        val variance: Double,
    )

    private companion object {
        const val MIN_RATINGS = 10
        const val MIN_NEW_SAMPLE = 4
        const val TEST_COUNT = 3.0
        const val MIXTURE_DEVIATION = 0.2
        const val DEFAULT_RATING_VARIANCE = 0.06
        const val PRIOR_RATINGS = 2.0
    }
}
