/*
 * Inference of what makes upstreams crash from the requests that were in progress at each crash. Parts of prompts that
 * come back in enough crashes are found first. If crashes remain on a route that they don't explain, each of its
 * requests may be harmful by itself; then one crash is enough to suspect a request. A caller whose requests were in
 * progress at a series of such crashes may send more of them, each with another content. This is inferred only for
 * requests without a prompt: those with one have parts to be found, and an engine has many of them in progress.
 *
 * The number of crashes is meant to be some tens, with some tens of requests each.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.isContent

/** Number of crashes at different times that are taken for a series with a common cause. */
internal const val CRASHES_IN_SERIES = 3

/** Crashes closer to each other than this count as one: a cause outside the requests takes several upstreams. */
private const val SAME_MOMENT_MILLIS = 50L

/**
 * Describes a request that was in progress on an upstream when it crashed.
 *
 * @property crash identity of the crash; the same for all requests that were in progress
 * @property route route of the request; null if it isn't known
 * @property caller organisation and route of the request; null if either isn't known
 * @property parts parts of its prompt that no upstream has answered since or shortly before
 */
internal data class CrashSuspect(
    val crash: Any,
    val crashedAtMillis: Long,
    val route: String?,
    val caller: String?,
    val parts: Set<String>,
)

/**
 * A set of parts that explains crashes, the last of which was at [lastCrashMillis]; a request that contains all [parts]
 * is harmful.
 */
internal data class CrashCause(
    val parts: Set<String>,
    val lastCrashMillis: Long,
)

/**
 * A caller with requests in progress at a series of crashes that no recurring part explains.
 *
 * @property crashes number of crashes at different times
 */
internal data class CrashingCaller(
    val caller: String,
    val crashes: Int,
    val lastCrashMillis: Long,
)

/** What explains the known crashes. */
internal data class CrashCauses(
    val requests: List<CrashCause>,
    val callers: List<CrashingCaller>,
)

/** Returns what explains the crashes at which [suspects] were in progress. */
internal fun findCrashCauses(suspects: List<CrashSuspect>): CrashCauses {
    val explained = HashSet<Any>()
    val recurring = findRecurringParts(suspects, explained)
    val withoutPrompt = suspects.filter { it.parts.all(::isContent) }
    val callers = findCallers(withoutPrompt, recurring, explained)
    return CrashCauses(recurring + findSingleRequests(withoutPrompt, recurring, explained), callers)
}

/** Returns the parts that come back in the crashes of a series, those that explain most crashes first. */
private fun findRecurringParts(
    suspects: List<CrashSuspect>,
    explained: MutableSet<Any>,
): List<CrashCause> {
    val suspectsOf = HashMap<String, MutableList<CrashSuspect>>()
    suspects.forEach { suspect -> suspect.parts.forEach { suspectsOf.getOrPut(it, ::ArrayList) += suspect } }
    val causes = ArrayList<CrashCause>()
    suspectsOf.values.sortedByDescending(::countMoments).forEach { all ->
        val unexplained = all.filter { it.crash !in explained }
        if (countMoments(unexplained) < CRASHES_IN_SERIES) return@forEach
        val common = all.map { it.parts }.reduce { common, parts -> common intersect parts }
        causes += CrashCause(common, lastCrashMillis(all))
        unexplained.mapTo(explained) { it.crash }
    }
    return causes
}

/** Returns the callers with requests in progress at a series of crashes that [recurring] causes don't explain. */
private fun findCallers(
    suspects: List<CrashSuspect>,
    recurring: List<CrashCause>,
    explained: Set<Any>,
): List<CrashingCaller> {
    val byCaller = suspects.groupBy { it.caller }
    return byCaller.mapNotNull { (caller, all) ->
        val crashes = countInSeries(all, recurring, explained)
        if (caller == null || crashes < CRASHES_IN_SERIES) return@mapNotNull null
        CrashingCaller(caller, crashes, lastCrashMillis(all))
    }
}

/** Returns the requests of routes with a series of crashes that [recurring] causes don't explain. */
private fun findSingleRequests(
    suspects: List<CrashSuspect>,
    recurring: List<CrashCause>,
    explained: MutableSet<Any>,
): List<CrashCause> {
    val byRoute = suspects.filter { it.route != null }.groupBy { it.route }.values
    val causes = ArrayList<CrashCause>()
    byRoute.sortedByDescending(::countMoments).forEach { all ->
        if (countInSeries(all, recurring, explained) < CRASHES_IN_SERIES) return@forEach
        val unexplained = all.filter { it.crash !in explained }
        unexplained.mapTo(causes) { CrashCause(it.parts, it.crashedAtMillis) }
        unexplained.mapTo(explained) { it.crash }
    }
    return causes
}

/** Counts the crashes in a series of [suspects]; a recurring cause counts as one, however many upstreams it took. */
private fun countInSeries(
    suspects: List<CrashSuspect>,
    recurring: List<CrashCause>,
    explained: Set<Any>,
): Int {
    val recurringAmong = recurring.count { cause -> suspects.any { it.parts.containsAll(cause.parts) } }
    return countMoments(suspects.filter { it.crash !in explained }) + recurringAmong
}

private fun lastCrashMillis(suspects: List<CrashSuspect>) = suspects.maxOf { it.crashedAtMillis }

private fun countMoments(suspects: List<CrashSuspect>): Int {
    var moments = 0
    var lastAtMillis: Long? = null
    suspects.map { it.crashedAtMillis }.sorted().forEach { atMillis ->
        if (lastAtMillis.let { it == null || atMillis - it >= SAME_MOMENT_MILLIS }) moments++
        lastAtMillis = atMillis
    }
    return moments
}
