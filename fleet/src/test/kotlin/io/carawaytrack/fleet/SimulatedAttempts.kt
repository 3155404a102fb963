/*
 * Tallies of simulated attempts as hosts report them at one moment: start and duration in milliseconds, and whether the
 * attempt is on the new version.
 */
package io.carawaytrack.fleet

internal class PacedStream(
    val attempt: Triple<Long, Long, Boolean>,
    val pauseMillis: Long,
)

/** Returns the spans of four pauses that hosts have timed by [nowMillis], of streams that begin after 80 ms. */
internal fun paceAt(
    nowMillis: Long,
    streams: List<PacedStream>,
    route: String,
): RolloutTally {
    fun tally(spans: List<Long>) = RouteTally(route, paced = spans.size, spanMillis = spans.sum())

    fun spanOf(stream: PacedStream): Long? {
        val elapsedMillis = minOf(nowMillis - stream.attempt.first, stream.attempt.second) - 80
        return (stream.pauseMillis * 4).takeIf { elapsedMillis >= it }
    }
    val (new, old) = streams.partition { it.attempt.third }
    val oldTally = tally(old.mapNotNull(::spanOf))
    val overdue =
        new
            .filter { spanOf(it) == null && it.attempt.first + it.attempt.second > nowMillis }
            .map { nowMillis - it.attempt.first - 80 }
            .filter { it > oldTally.meanSpanMillis }
    return RolloutTally(1, listOf(oldTally), listOf(tally(new.mapNotNull(::spanOf) + overdue)))
}

internal fun tallyAt(
    nowMillis: Long,
    started: List<Triple<Long, Long, Boolean>>,
    route: String = "r",
): RolloutTally {
    val (new, old) = started.partition { it.third }
    val ended = old.filter { it.first + it.second <= nowMillis }
    val usualMillis = if (ended.isEmpty()) 0.0 else ended.sumOf { it.second }.toDouble() / ended.size
    return RolloutTally(
        1,
        listOf(tallyOf(old, nowMillis, usualMillis, route)),
        listOf(tallyOf(new, nowMillis, usualMillis, route)),
    )
}

private fun tallyOf(
    attempts: List<Triple<Long, Long, Boolean>>,
    nowMillis: Long,
    usualMillis: Double,
    route: String,
): RouteTally {
    val (ended, open) = attempts.partition { it.first + it.second <= nowMillis }
    val late = open.filter { nowMillis - it.first > usualMillis }
    val timeMillis = ended.sumOf { it.second } + late.sumOf { nowMillis - it.first }
    return RouteTally(route, good = ended.size, timeMillis = timeMillis, unfinished = late.size)
}
