/*
 * What another model's answer to a request is worth against what reading its prompt costs the others on busy engines.
 * Both are expressed in on-time requests of the most urgent rank. The load is tens of engines that read prompts of 100
 * to 54,600 tokens, the largest model ten times as slowly as the smallest.
 */
package io.carawaytrack.routing.load

/** Part of the requests that the smallest and the largest model, and those between them, answer well. */
private const val SMALLEST_ADEQUATE = 0.6
private const val MIDDLE_ADEQUATE = 0.667
private const val LARGEST_ADEQUATE = 0.97

/** Unread requests ahead on an engine, on average, up to which another read delays nobody noticeably. */
private const val IDLE_REQUESTS_AHEAD = 1.5

/** Part of the delayed requests that are late because of the delay, for each target's length of it. */
private const val LATE_RATIO = 0.25

/** Limit on the harm's factor, reached at a busy ratio of 0.97; more is not known to be worse. */
private const val MAX_HARM_FACTOR = 9.0

/** By how much a request counts for less with each rank below the most urgent. */
private const val RANK_STEP = 0.5

/** Returns the part of the requests that the model at [index] of [count], ordered by size, answers well. */
public fun adequateRatio(
    index: Int,
    count: Int,
): Double = when (index) {
    count - 1 -> LARGEST_ADEQUATE
    0 -> SMALLEST_ADEQUATE
    else -> MIDDLE_ADEQUATE
}

/**
 * A model that may answer a request.
 *
 * @property readMillis time that an engine takes to read the prompt for it; null if unknown
 * @property firstEventMillis expected time to its first event; null if unknown
 */
public data class ModelOption(
    val index: Int,
    val readMillis: Double?,
    val firstEventMillis: Double?,
)

/**
 * Weighs models for a request of [rank], 0 being the most urgent, in a pool that is used to [busyRatio] of its capacity
 * for a route with a target of [targetMillis].
 */
public class ModelTradeoff(
    busyRatio: Double,
    private val targetMillis: Long,
    rank: Int,
) {
    /** Requests on time that a read of the target's length costs the others. */
    private val harmFactor: Double = harmFactor(busyRatio)

    private val weight: Double = 1 / (1 + RANK_STEP * maxOf(0, rank))

    /** Whether another read delays nobody, so that quality and price alone decide. */
    public val isIdle: Boolean get() = harmFactor == 0.0

    /** Returns what reading for [readMillis] costs the others. */
    public fun harm(readMillis: Double): Double = harmFactor * readMillis / targetMillis

    /**
     * Returns the model of [larger] ones whose answer is worth most instead of one that is poor with
     * [poorProbability], of the model at [index] of [count]; null if none is worth its harm or is in time within
     * [remainingMillis].
     */
    public fun replacement(
        larger: List<ModelOption>,
        index: Int,
        count: Int,
        poorProbability: Double,
        remainingMillis: Long,
    ): ModelOption? = larger
        .filter { it.index > index && (it.firstEventMillis ?: 0.0) <= remainingMillis }
        .map { it to poorProbability * improvedRatio(index, it.index, count) * weight - harm(it.readMillis ?: 0.0) }
        .filter { (_, gain) -> gain > 0 }
        .maxByOrNull { (_, gain) -> gain }
        ?.first

    /** Returns the model whose first answer is worth most after its harm; null if no option is known. */
    public fun first(
        options: List<ModelOption>,
        count: Int,
    ): ModelOption? = options.maxByOrNull { adequateRatio(it.index, count) * weight - harm(it.readMillis ?: 0.0) }

    /** Returns the harm by the number n of requests that wait on an engine: the busy ratio is n / (n + 1). */
    private fun harmFactor(busyRatio: Double): Double {
        if (busyRatio >= 1) return MAX_HARM_FACTOR
        val ahead = maxOf(0.0, busyRatio) / (1 - busyRatio)
        return (LATE_RATIO * (ahead - IDLE_REQUESTS_AHEAD)).coerceIn(0.0, MAX_HARM_FACTOR)
    }

    /** Returns how often the model at [larger] answers a request well that the one at [index] does not. */
    private fun improvedRatio(
        index: Int,
        larger: Int,
        count: Int,
    ): Double {
        val inadequate = 1 - adequateRatio(index, count)
        return (adequateRatio(larger, count) - adequateRatio(index, count)) / inadequate
    }
}
