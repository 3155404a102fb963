/*
 * Inference of what makes upstreams crash from the requests that were in progress at each crash. Parts of prompts that
 * come back in enough crashes are found first. If crashes remain on a route that they don't explain, each of its
 * requests may be harmful by itself; then one crash is enough to suspect a request.
 *
 * The number of crashes is meant to be some tens, with some tens of requests each.
 */
package io.carawaytrack.gateway

/** Number of crashes at different times that are taken for a series with a common cause. */
private const val CRASHES_IN_SERIES = 3

/** Crashes closer to each other than this count as one: a cause outside the requests takes several upstreams at once. */
private const val SAME_MOMENT_MILLIS = 50L

/**
 * Describes a request that was in progress on an upstream when it crashed.
 *
 * @property crash identity of the crash; the same for all requests that were in progress
 * @property route route of the request; null if it isn't known
 * @property parts parts of its prompt that no upstream has answered since or shortly before
 */
internal data class CrashSuspect(
    val crash: Any,
    val crashedAtMillis: Long,
    val route: String?,
    val parts: Set<String>,
)

/** Returns the sets of parts that explain the crashes; a request that contains all parts of a set is harmful. */
internal fun findCrashCauses(suspects: List<CrashSuspect>): List<Set<String>> {
    val explained = HashSet<Any>()
    val recurring = findRecurringParts(suspects, explained)
    return recurring + findSingleRequests(suspects, recurring, explained)
}

/** Returns the parts that come back in the crashes of a series, those that explain most crashes first. */
private fun findRecurringParts(
    suspects: List<CrashSuspect>,
    explained: MutableSet<Any>,
): List<Set<String>> {
    val suspectsOf = HashMap<String, MutableList<CrashSuspect>>()
    suspects.forEach { suspect -> suspect.parts.forEach { suspectsOf.getOrPut(it, ::ArrayList) += suspect } }
    val causes = ArrayList<Set<String>>()
    suspectsOf.values.sortedByDescending(::countMoments).forEach { all ->
        val unexplained = all.filter { it.crash !in explained }
        if (countMoments(unexplained) < CRASHES_IN_SERIES) return@forEach
        causes += all.map { it.parts }.reduce { common, parts -> common intersect parts }
        unexplained.mapTo(explained) { it.crash }
    }
    return causes
}

/**
 * Returns the requests of routes with a series of crashes that have no common part. A recurring cause counts as one
 * crash of the series, however many upstreams it took.
 */
private fun findSingleRequests(
    suspects: List<CrashSuspect>,
    recurring: List<Set<String>>,
    explained: MutableSet<Any>,
): List<Set<String>> {
    val byRoute = suspects.filter { it.route != null }.groupBy { it.route }.values
    val causes = ArrayList<Set<String>>()
    byRoute.sortedByDescending(::countMoments).forEach { all ->
        val unexplained = all.filter { it.crash !in explained }
        val recurringOnRoute = recurring.count { cause -> all.any { it.parts.containsAll(cause) } }
        if (countMoments(unexplained) + recurringOnRoute < CRASHES_IN_SERIES) return@forEach
        causes += unexplained.map { it.parts }
        unexplained.mapTo(explained) { it.crash }
    }
    return causes
}

private fun countMoments(suspects: List<CrashSuspect>): Int {
    var moments = 0
    var lastAtMillis: Long? = null
    suspects.map { it.crashedAtMillis }.sorted().forEach { atMillis ->
        if (lastAtMillis.let { it == null || atMillis - it >= SAME_MOMENT_MILLIS }) moments++
        lastAtMillis = atMillis
    }
    return moments
}
