/*
 * How a roll-out proceeds: which share of new sessions the new version gets at which time, and when what was seen of
 * it is enough to go back. The load it answers: one service of a few tens of requests a second, a new version of which
 * a third or more of the answers may be failures or several times slower, from the start, later, or on one route only.
 */
package io.carawaytrack.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Bounds a roll-out.
 *
 * @property exposureShare share of the service's requests that a bad version may have received
 * @property exposureSlack requests that it may have received beyond that share
 */
public data class RolloutBounds(
    val exposureShare: Double = 0.15,
    val exposureSlack: Int = 30,
)

/** Share of new sessions in the first half of a roll-out, as a part of the allowed exposure. */
private const val FIRST_HALF_PART = 0.5

/** Share of new sessions in the second half, as a part of the allowed exposure. */
private const val SECOND_HALF_PART = 0.85

/** Time before the end at which a version that has shown no fault takes all requests, in milliseconds. */
private const val COMPLETE_BEFORE_END_MILLIS = 1_800L

/** Part of the duration before which no roll-out is completed: sessions stay where they are in the first half. */
private const val EARLIEST_COMPLETION = 0.55

/** Failures of the new version below which it is never judged bad by failures. */
private const val LEAST_FAILURES = 4

/** Share of failures beyond that of the old version from which the new one is bad. */
private const val BAD_FAILURE_SHARE = 0.12

/** Attempts on one route below which the new version is never judged bad by their time. */
private const val LEAST_TIMED = 5

/** Factor on the old version's mean time from which the new one is bad. */
private const val BAD_TIME_FACTOR = 2.5

/** Attempts over all routes below which the new version is never judged bad by the time of all. */
private const val LEAST_TIMED_OVERALL = 15

/** Factor on the old version's time over all routes from which the new one is bad: more attempts need less of it. */
private const val BAD_TIME_FACTOR_OVERALL = 1.6

/** Well-ended attempts for each unfinished one that a version needs to take all requests. */
private const val ENDED_FOR_EACH_UNFINISHED = 3

/**
 * Counts what was seen of one version on one route since a roll-out's order; tallies of several hosts add up.
 *
 * @property unfinished attempts that are still unanswered after an ordinary answer's time, or were left so
 * @property timeMillis sum of the times of good answers, and of the unfinished attempts so far
 */
@Serializable
public data class RouteTally(
    val route: String,
    val good: Int = 0,
    val failed: Int = 0,
    val timeMillis: Long = 0,
    val unfinished: Int = 0,
) {
    /** Attempts of which a time is known, or a time that it exceeds. */
    public val timed: Int get() = good + unfinished

    /** Mean time of an attempt in milliseconds; zero before there is one. */
    public val meanMillis: Double get() = if (timed == 0) 0.0 else timeMillis.toDouble() / timed

    /** Adds what another host saw on the same route. */
    public operator fun plus(other: RouteTally): RouteTally = copy(
        good = good + other.good,
        failed = failed + other.failed,
        timeMillis = timeMillis + other.timeMillis,
        unfinished = unfinished + other.unfinished,
    )
}

/** Holds the tallies of both versions of a roll-out. */
@Serializable
public data class RolloutTally(
    @SerialName("order") val rolloutId: Long,
    val old: List<RouteTally> = emptyList(),
    val new: List<RouteTally> = emptyList(),
) {
    /** Adds what another host saw of the same roll-out. */
    public operator fun plus(other: RolloutTally): RolloutTally =
        copy(old = (old + other.old).summed(), new = (new + other.new).summed())
}

private fun List<RouteTally>.summed(): List<RouteTally> =
    groupBy { it.route }.values.map { tallies -> tallies.reduce(RouteTally::plus) }

/** Returns the share of new sessions, 0 to 1, that the new version gets [elapsedMillis] after the order. */
public fun FleetRollout.newVersionShareAt(
    elapsedMillis: Long,
    bounds: RolloutBounds,
): Double = when (phase) {
    FleetRolloutPhase.Completed -> 1.0
    FleetRolloutPhase.RolledBack -> 0.0
    FleetRolloutPhase.Running ->
        if (elapsedMillis * 2 < durationMillis) {
            bounds.exposureShare * FIRST_HALF_PART
        } else {
            bounds.exposureShare * SECOND_HALF_PART
        }
}

/** Returns the phase that the roll-out is to move to now, given all that was seen, or null while it goes on. */
public fun FleetRollout.nextPhase(
    tally: RolloutTally,
    elapsedMillis: Long,
    newVersionReady: Boolean,
): FleetRolloutPhase? {
    if (phase != FleetRolloutPhase.Running) return null
    val earliest = durationMillis * EARLIEST_COMPLETION
    val due = elapsedMillis >= maxOf(earliest.toLong(), durationMillis - COMPLETE_BEFORE_END_MILLIS)
    return when {
        tally.isBad() -> FleetRolloutPhase.RolledBack
        !due -> null
        newVersionReady && tally.endsWell() -> FleetRolloutPhase.Completed
        // Too little good was seen of it by the end: keeping the old version is the safe side.
        else -> FleetRolloutPhase.RolledBack
    }
}

private fun RolloutTally.isBad(): Boolean =
    failsMore() || isSlowOverall() || new.any { it.failsMoreThan(oldOf(it)) || it.isSlow(oldOf(it)) }

private fun RolloutTally.endsWell(): Boolean {
    val good = new.sumOf { it.good }
    return good > 0 && good >= new.sumOf { it.unfinished } * ENDED_FOR_EACH_UNFINISHED
}

/** Compares the time of all the new version's attempts with what the old one takes for as many on the same routes. */
private fun RolloutTally.isSlowOverall(): Boolean {
    val comparable = new.filter { oldOf(it).good >= LEAST_TIMED }
    if (comparable.sumOf { it.timed } < LEAST_TIMED_OVERALL) return false
    val expectedMillis = comparable.sumOf { it.timed * oldOf(it).meanMillis }
    return comparable.sumOf { it.timeMillis } > BAD_TIME_FACTOR_OVERALL * expectedMillis
}

private fun RolloutTally.oldOf(tally: RouteTally): RouteTally =
    old.firstOrNull { it.route == tally.route } ?: RouteTally(tally.route)

private fun RolloutTally.failsMore(): Boolean {
    val all = RouteTally("all")
    val sumOfNew = new.fold(all) { sum, tally -> sum + tally }
    return sumOfNew.failsMoreThan(old.fold(all) { sum, tally -> sum + tally })
}

private fun RouteTally.failsMoreThan(old: RouteTally): Boolean =
    failed >= LEAST_FAILURES && failureShare() > old.failureShare() + BAD_FAILURE_SHARE

private fun RouteTally.failureShare(): Double = failed.toDouble() / maxOf(1, good + failed)

private fun RouteTally.isSlow(old: RouteTally): Boolean {
    if (timed < LEAST_TIMED || old.good < LEAST_TIMED) return false
    return meanMillis > BAD_TIME_FACTOR * old.meanMillis
}
