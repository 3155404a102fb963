/*
 * Decides whether a roll-out goes on, from sums that any number of entries can add up. The test is sequential: it may
 * be asked after every observation without losing its stated error, so that a bad version is left as soon as the
 * evidence is there and not when a window ends. It uses the normal mixture confidence sequence for the difference of
 * two means (Robbins 1970; Johari, Pekelis and Walsh 2015).
 */
package io.carawaytrack.routing

import kotlin.math.ln
import kotlin.math.sqrt

/**
 * Sums what was seen of one version since a stage of its roll-out began; tallies of several entries add up.
 *
 * @property exposed requests sent to the version
 * @property slow complete answers that took longer than the operator's bound
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
    /** Adds what another entry saw. */
    public operator fun plus(other: VersionTally): VersionTally = VersionTally(
        exposed = exposed + other.exposed,
        completed = completed + other.completed,
        failed = failed + other.failed,
        slow = slow + other.slow,
        ratings = ratings + other.ratings,
        ratingSum = ratingSum + other.ratingSum,
        ratingSquareSum = ratingSquareSum + other.ratingSquareSum,
    )

    /** Adds one observation; an answer is slow when it took over [slowMillisPerToken] for each token. */
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

/** Holds what was seen, over the same time, of the version that is replaced and of the one that replaces it. */
public data class RolloutEvidence(
    val from: VersionTally = VersionTally(),
    val to: VersionTally = VersionTally(),
) {
    /** Adds what was seen over another time. */
    public operator fun plus(other: RolloutEvidence): RolloutEvidence =
        RolloutEvidence(from + other.from, to + other.to)
}

/** Tells what to do with a roll-out. */
public enum class RolloutDecision {
    /** Stay at this stage; nothing is decided yet. */
    Continue,

    /** Go on to the next stage. */
    Advance,

    /** Send no further request until more ratings are in. */
    Hold,

    /** Go back; the new version is worse. */
    RollBack,
}

/**
 * Tunes the verdicts.
 *
 * @property errorShare probability that a version no worse than the old one is ever rolled back in a stage
 * @property ratingLoss loss of mean rating from which a version counts as worse
 * @property ratingMargin loss of mean rating that is ruled out before a stage is passed
 * @property failureMargin rise of the share of failures, 0 to 1, that is ruled out before a stage is passed
 * @property slowMargin rise of the share of slow answers, 0 to 1, that is ruled out before a stage is passed
 * @property exposureLimit requests of a stage after which an undecided roll-out is held
 * @property unratedLimit requests of a stage after which a roll-out with hardly any rating is held
 */
public data class RolloutEvaluatorSettings(
    val errorShare: Double = 0.01,
    val ratingLoss: Double = 0.02,
    val ratingMargin: Double = 0.05,
    val failureMargin: Double = 0.05,
    val slowMargin: Double = 0.1,
    val exposureLimit: Long = 2_000,
    val unratedLimit: Long = 150,
)

/** Judges a stage of a roll-out. */
public interface RolloutEvaluator {
    /**
     * Returns what to do, given what was seen in the [periods] of the stage, the oldest first. A version that turns
     * bad within the stage shows in the latest periods long before it shows in their sum.
     */
    public fun evaluate(periods: List<RolloutEvidence>): RolloutDecision
}

/** Creates a judge that tests ratings, failures and slow answers one after another as they come in. */
public fun RolloutEvaluator(settings: RolloutEvaluatorSettings = RolloutEvaluatorSettings()): RolloutEvaluator =
    SequentialEvaluator(settings)

private class SequentialEvaluator(
    private val settings: RolloutEvaluatorSettings,
) : RolloutEvaluator {
    override fun evaluate(periods: List<RolloutEvidence>): RolloutDecision {
        val whole = periods.fold(RolloutEvidence()) { sum, period -> sum + period }
        val sinceEach = periods.map { it.to }.runningSumFromLast()
        return when {
            sinceEach.any { isWorse(whole.from, it, sinceEach.size) } -> RolloutDecision.RollBack
            isNoWorse(whole.from, whole.to) -> RolloutDecision.Advance
            isUsedUp(whole.to) -> RolloutDecision.Hold
            else -> RolloutDecision.Continue
        }
    }

    /** Tests one of [starts] stretches of the stage; they share the error between them. */
    private fun isWorse(
        old: VersionTally,
        new: VersionTally,
        starts: Int,
    ): Boolean {
        val errorShare = settings.errorShare / starts
        return ratingRise(old, new, errorShare).endInclusive < -settings.ratingLoss ||
            rise(failures(old), failures(new), errorShare).start > 0.0 ||
            rise(slowness(old), slowness(new), errorShare).start > settings.slowMargin
    }

    private fun isNoWorse(
        old: VersionTally,
        new: VersionTally,
    ): Boolean = ratingRise(old, new, settings.errorShare).start > -settings.ratingMargin &&
        rise(failures(old), failures(new), settings.errorShare).endInclusive < settings.failureMargin &&
        rise(slowness(old), slowness(new), settings.errorShare).endInclusive < settings.slowMargin

    /** Returns for each period the sum of itself and all later ones. */
    private fun List<VersionTally>.runningSumFromLast(): List<VersionTally> =
        asReversed().runningReduce { sum, tally -> sum + tally }

    private fun isUsedUp(tally: VersionTally): Boolean {
        val isUnrated = tally.ratings < LEAST_RATINGS && tally.exposed >= settings.unratedLimit
        return isUnrated || tally.exposed >= settings.exposureLimit
    }

    /**
     * Returns the interval that holds the rise of the mean from [old] to [new] at all times, but for the error share;
     * a third of that falls to each of the three tests.
     */
    private fun rise(
        old: Sample,
        new: Sample,
        errorShare: Double,
    ): ClosedFloatingPointRange<Double> {
        if (old.count < LEAST_RATINGS || new.count < LEAST_SAMPLE) return -1.0..1.0
        val variance = old.variance / old.count + new.variance / new.count
        val mixed = variance + MIXTURE_DEVIATION * MIXTURE_DEVIATION
        val spread = variance * mixed / (MIXTURE_DEVIATION * MIXTURE_DEVIATION)
        val radius = sqrt(spread * (2 * ln(TESTS / errorShare) + ln(mixed / variance)))
        val difference = new.mean - old.mean
        return difference - radius..difference + radius
    }

    /** Returns the rise of the mean rating; the few ratings of [new] are taken to scatter much as those of [old] do. */
    private fun ratingRise(
        old: VersionTally,
        new: VersionTally,
        errorShare: Double,
    ): ClosedFloatingPointRange<Double> {
        val known = ratings(old, UNKNOWN_VARIANCE)
        return rise(known, ratings(new, known.variance), errorShare)
    }

    private fun ratings(
        tally: VersionTally,
        usualVariance: Double,
    ): Sample {
        val count = tally.ratings.toDouble()
        if (count == 0.0) return Sample(0.0, 0.0, usualVariance)
        val mean = tally.ratingSum / count
        val seen = (tally.ratingSquareSum / count - mean * mean).coerceAtLeast(0.0)
        val smoothed = (seen * count + usualVariance * USUAL_RATINGS) / (count + USUAL_RATINGS)
        return Sample(count, mean, smoothed)
    }

    private fun failures(tally: VersionTally): Sample = share(tally.failed, tally.completed + tally.failed)

    private fun slowness(tally: VersionTally): Sample = share(tally.slow, tally.completed)

    /** Returns a share of yes and no; one more of each keeps the variance of a short sample from vanishing. */
    private fun share(
        yes: Long,
        all: Long,
    ): Sample {
        val smoothed = (yes + 1.0) / (all + 2.0)
        return Sample(all.toDouble(), if (all == 0L) 0.0 else yes.toDouble() / all, smoothed * (1 - smoothed))
    }

    private data class Sample(
        val count: Double,
        val mean: Double,
        val variance: Double,
    )

    private companion object {
        const val LEAST_RATINGS = 10
        const val LEAST_SAMPLE = 4
        const val TESTS = 3.0
        const val MIXTURE_DEVIATION = 0.2
        const val UNKNOWN_VARIANCE = 0.06
        const val USUAL_RATINGS = 2.0
    }
}
