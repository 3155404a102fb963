/*
 * Progress of a roll-out: the fraction of the requests that the new version receives over time, and the observations
 * that cause a rollback. The policy is designed for a service with a few tens of requests per second, where a third or
 * more of the new version's responses may fail or take several times as long, from the start, later, or on a single
 * route.
 */
package io.carawaytrack.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.math.exp
import kotlin.math.ln

/**
 * Limits on the exposure of requests to a bad version.
 *
 * @property exposureRatio maximum fraction of the service's requests that a bad version may receive
 * @property exposureSlack number of requests that it may receive beyond that fraction
 */
public data class RolloutBounds(
    val exposureRatio: Double = 0.15,
    val exposureSlack: Int = 30,
)

/** Fraction of requests without a session in the first half of a roll-out, as a ratio of the allowed exposure. */
private const val FIRST_HALF_EXPOSURE_RATIO = 0.5

/** Fraction of the requests without a session in the second half, as a ratio of the allowed exposure. */
private const val SECOND_HALF_EXPOSURE_RATIO = 0.85

/**
 * Fraction of the sessions in the second half, as a ratio of the allowed exposure. It may exceed 1 because sessions
 * keep their version in the first half, so that the fraction over the whole roll-out is half as high.
 */
private const val SESSION_EXPOSURE_RATIO = 1.5

/** Time before the end at which a version without detected faults receives all requests. */
private const val COMPLETE_BEFORE_END_MILLIS = 1_800L

/** Ratio of the duration before which no roll-out completes: sessions keep their version in the first half. */
private const val EARLIEST_COMPLETION_RATIO = 0.55

/** Failures of the new version below which its failure ratio does not cause a rollback. */
private const val MIN_FAILURES = 4

/** Excess of the new version's failure ratio over the old one's above which it is rolled back. */
private const val MAX_EXCESS_FAILURE_RATIO = 0.12

/** Timed attempts on a route below which their duration does not cause a rollback. */
private const val MIN_TIMED_ATTEMPTS = 5

/** Ratio of the new version's mean duration on a route to the old one's above which it is rolled back. */
private const val MAX_SLOWDOWN_RATIO = 2.5

/** Timed attempts over all routes below which their total duration does not cause a rollback. */
private const val MIN_TIMED_ATTEMPTS_OVERALL = 15

/** Slowdown over all routes above which a version is rolled back; lower, since more attempts make it reliable. */
private const val MAX_SLOWDOWN_RATIO_OVERALL = 1.6

/** Slowdown that does not keep a version from being completed: its upstreams have just started. */
private const val TOLERATED_SLOWDOWN_RATIO = 1.3

/** Probability up to which a version counts as slower if chance alone would end as few attempts as it has ended. */
private const val MAX_CHANCE_OF_SLOWNESS = 0.05

/** Streams with a known pace below which a version that streams does not show that it is as fast as the old one. */
private const val MIN_PACED_STREAMS = 3

/**
 * Ratio of the new version's shortest spans to the old one's above which it does not complete; lower than for
 * durations, since spans do not depend on the length of an answer.
 */
private const val MAX_SPAN_RATIO = 1.2

/** Successful attempts per unfinished one that a roll-out needs to complete. */
private const val MIN_GOOD_PER_UNFINISHED = 3

/**
 * Counts the attempts at one version on one route since a roll-out began; the tallies of several hosts can be added.
 *
 * @property good attempts that succeeded
 * @property unfinished attempts without a response after the usual response time, whether still open or abandoned
 * @property timeMillis total duration of the successful attempts, and of the unfinished ones so far
 * @property paced streams of which a span, a fixed number of successive pauses between events, has been timed
 * @property spanMillis total of the shortest span of each of these streams
 */
@Serializable
public data class RouteTally(
    val route: String,
    val good: Int = 0,
    val failed: Int = 0,
    val timeMillis: Long = 0,
    val unfinished: Int = 0,
    val paced: Int = 0,
    val spanMillis: Long = 0,
) {
    /** Number of attempts with a known duration, or a known lower bound of it. */
    public val timed: Int get() = good + unfinished

    /** Mean duration of the timed attempts in milliseconds; zero if there are none. */
    public val meanMillis: Double get() = if (timed == 0) 0.0 else timeMillis.toDouble() / timed

    /** Mean of the shortest spans in milliseconds; zero if there are none. */
    public val meanSpanMillis: Double get() = if (paced == 0) 0.0 else spanMillis.toDouble() / paced

    /** Adds the counts of another host for the same route. */
    public operator fun plus(other: RouteTally): RouteTally = copy(
        good = good + other.good,
        failed = failed + other.failed,
        timeMillis = timeMillis + other.timeMillis,
        unfinished = unfinished + other.unfinished,
        paced = paced + other.paced,
        spanMillis = spanMillis + other.spanMillis,
    )
}

/** Tallies of both versions of a roll-out, one for each route. */
@Serializable
public data class RolloutTally(
    @SerialName("order") val rolloutId: Long,
    val old: List<RouteTally> = emptyList(),
    val new: List<RouteTally> = emptyList(),
) {
    /** Adds the tallies of another host for the same roll-out. */
    public operator fun plus(other: RolloutTally): RolloutTally =
        copy(old = (old + other.old).mergedByRoute(), new = (new + other.new).mergedByRoute())
}

private fun List<RouteTally>.mergedByRoute(): List<RouteTally> =
    groupBy { it.route }.values.map { tallies -> tallies.reduce(RouteTally::plus) }

/**
 * Returns the fraction of requests, 0 to 1, that the new version receives [elapsedMillis] after the start. Sessions
 * move to the new version in the second half only: a host cannot tell whether a session that it sees for the first time
 * is already in progress on the old version through another host.
 */
public fun FleetRollout.newVersionRatioAt(
    elapsedMillis: Long,
    bounds: RolloutBounds,
    inSession: Boolean = false,
): Double = when (phase) {
    FleetRolloutPhase.Completed -> 1.0
    FleetRolloutPhase.RolledBack -> 0.0
    FleetRolloutPhase.Running -> {
        val firstHalf = elapsedMillis * 2 < durationMillis
        bounds.exposureRatio * if (inSession) sessionExposureRatio(firstHalf) else exposureRatio(firstHalf)
    }
}

private fun sessionExposureRatio(firstHalf: Boolean) = if (firstHalf) 0.0 else SESSION_EXPOSURE_RATIO

private fun exposureRatio(firstHalf: Boolean) = if (firstHalf) FIRST_HALF_EXPOSURE_RATIO else SECOND_HALF_EXPOSURE_RATIO

/** Returns the phase to which the roll-out moves given [tally], or null if it stays in the current phase. */
public fun FleetRollout.nextPhase(
    tally: RolloutTally,
    elapsedMillis: Long,
    newVersionReady: Boolean,
): FleetRolloutPhase? {
    if (phase != FleetRolloutPhase.Running) return null
    val earliestMillis = durationMillis * EARLIEST_COMPLETION_RATIO
    val due = elapsedMillis >= maxOf(earliestMillis.toLong(), durationMillis - COMPLETE_BEFORE_END_MILLIS)
    return when {
        tally.isBad() -> FleetRolloutPhase.RolledBack
        !due -> null
        newVersionReady && tally.canComplete() -> FleetRolloutPhase.Completed
        // Not enough successful attempts by the end: keeping the old version is the safe choice.
        else -> FleetRolloutPhase.RolledBack
    }
}

private fun RolloutTally.isBad(): Boolean =
    failsMoreOverall() || isSlowOverall() || new.any { it.failsMoreThan(oldTallyFor(it)) || it.isSlow(oldTallyFor(it)) }

/** Returns whether the version has shown on each route, and on all together, that it ends its attempts in time. */
private fun RolloutTally.canComplete(): Boolean {
    val good = new.sumOf { it.good }
    val enough = good > 0 && good >= new.sumOf { it.unfinished } * MIN_GOOD_PER_UNFINISHED
    return enough && new.none { it.unfinished > it.good } && !endsTooFew() && keepsPace()
}

/**
 * Returns whether the streams of the new version come about as fast as the old one's. Durations and mean pauses grow
 * with the load, of which the new version has little before it completes; the shortest spans hardly do. Versions
 * without streams, and hosts that do not time spans, are not held to it.
 */
private fun RolloutTally.keepsPace(): Boolean {
    if (old.none { it.paced >= MIN_TIMED_ATTEMPTS }) return true
    val comparable = new.filter { oldTallyFor(it).paced >= MIN_TIMED_ATTEMPTS }
    val usualMillis = comparable.sumOf { it.paced * oldTallyFor(it).meanSpanMillis }
    val paced = comparable.sumOf { it.paced }
    return paced >= MIN_PACED_STREAMS && comparable.sumOf { it.spanMillis } <= MAX_SPAN_RATIO * usualMillis
}

/**
 * Returns whether the new version has ended fewer attempts, on one route or on all together, than a version that is
 * slower by the tolerated ratio ends in the same time. The time of unfinished attempts counts, so that the slowest ones
 * are not left out.
 */
private fun RolloutTally.endsTooFew(): Boolean {
    val routes = new.mapNotNull { tally -> oldTallyFor(tally).goodIn(tally.timeMillis)?.let { tally.good to it } }
    val all = routes.sumOf { it.first } to routes.sumOf { it.second }
    return (routes + all).any { (good, usual) ->
        chanceOfAtMost(good, usual / TOLERATED_SLOWDOWN_RATIO) < MAX_CHANCE_OF_SLOWNESS
    }
}

/** Returns how many attempts end well in [millis] at this tally's pace; null if it has too few to tell. */
private fun RouteTally.goodIn(millis: Long): Double? =
    if (good < MIN_TIMED_ATTEMPTS || timeMillis == 0L) null else millis.toDouble() * good / timeMillis

/** Returns the probability of at most [count] events of which [expected] occur on average (Poisson distribution). */
private fun chanceOfAtMost(
    count: Int,
    expected: Double,
): Double {
    // Summed from the largest term down: the first one, for no event, is zero in floating point for large numbers.
    var term = exp((1..count).sumOf { ln(expected / it) } - expected)
    var sum = term
    for (events in count downTo 1) {
        term *= events / expected
        sum += term
    }
    return sum
}

/** Compares the new version's total duration with the old one's for the same number of attempts on each route. */
private fun RolloutTally.isSlowOverall(): Boolean {
    val comparable = new.filter { oldTallyFor(it).good >= MIN_TIMED_ATTEMPTS }
    if (comparable.sumOf { it.timed } < MIN_TIMED_ATTEMPTS_OVERALL) return false
    val expectedMillis = comparable.sumOf { it.timed * oldTallyFor(it).meanMillis }
    return comparable.sumOf { it.timeMillis } > MAX_SLOWDOWN_RATIO_OVERALL * expectedMillis
}

private fun RolloutTally.oldTallyFor(tally: RouteTally): RouteTally =
    old.firstOrNull { it.route == tally.route } ?: RouteTally(tally.route)

private fun RolloutTally.failsMoreOverall(): Boolean {
    val empty = RouteTally("all")
    val newTotal = new.fold(empty) { sum, tally -> sum + tally }
    return newTotal.failsMoreThan(old.fold(empty) { sum, tally -> sum + tally })
}

private fun RouteTally.failsMoreThan(old: RouteTally): Boolean =
    failed >= MIN_FAILURES && failureRatio() > old.failureRatio() + MAX_EXCESS_FAILURE_RATIO

private fun RouteTally.failureRatio(): Double = failed.toDouble() / maxOf(1, good + failed)

private fun RouteTally.isSlow(old: RouteTally): Boolean {
    if (timed < MIN_TIMED_ATTEMPTS || old.good < MIN_TIMED_ATTEMPTS) return false
    return meanMillis > MAX_SLOWDOWN_RATIO * old.meanMillis
}
