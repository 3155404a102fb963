/*
 * Inference of what makes upstreams crash from the requests that were in progress at each crash. Requests and parts of
 * prompts that come back in enough crashes are found first, those with most crashes before others; what was in progress
 * only at crashes that are explained already is no cause. If crashes remain on a route that they don't explain, each of
 * its requests may be harmful by itself; then one crash is enough to suspect a request. A caller whose requests were in
 * progress at a series of such crashes may send more of them, each with another content. This is inferred only for
 * requests without a prompt: those with one have parts to be found, and an engine has many of them in progress.
 *
 * The number of crashes is meant to be some tens, with some tens of requests each.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.isContent

/** Number of crashes that are taken for a series with a common cause. */
internal const val CRASHES_IN_SERIES = 3

/** Minimum number of different times in a series under one request, since one event may take several upstreams. */
private const val MIN_REQUEST_MOMENTS = 2

/** Time after its last crash for which a request is refused; each trial after it may cost an upstream. */
private const val REQUEST_PAUSE_MILLIS = 600_000L

/** Time after its last crash for which a part is refused; shorter, since a sound part may have been there by chance. */
internal const val PART_PAUSE_MILLIS = 120_000L

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
 * A set of parts that explains crashes; a request that contains all [parts] is harmful. It is refused until
 * [pauseMillis] after the last crash.
 */
internal data class CrashCause(
    val parts: Set<String>,
    val lastCrashMillis: Long,
    val pauseMillis: Long = PART_PAUSE_MILLIS,
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
) {
    val isEmpty: Boolean get() = requests.isEmpty() && callers.isEmpty()
}

/** Returns what explains the crashes at which [suspects] and [repeated] requests were in progress. */
internal fun findCrashCauses(
    suspects: List<CrashSuspect>,
    repeated: List<CrashedRequestHistory>,
): CrashCauses {
    val explained = HashSet<Any>()
    val recurring = findRecurring(repeated.map(::candidateOf) + partCandidates(suspects), explained)
    val withoutPrompt = suspects.filter { it.parts.all(::isContent) }
    val callers = findCallers(withoutPrompt, recurring, explained)
    return CrashCauses(recurring + findSingleRequests(withoutPrompt, recurring, explained), callers)
}

private data class CrashTime(
    val crash: Any,
    val atMillis: Long,
)

/**
 * A request or prompt part that may be the cause of [crashes].
 *
 * @property answering number of crashes before which an answer had gone on for some time
 */
private class CandidateCause(
    val cause: CrashCause,
    val crashes: List<CrashTime>,
    val isRequest: Boolean,
    val answering: Int = 0,
) {
    val moments = countMoments(crashes.map { it.atMillis })

    /** Returns whether [unexplained] ones of its crashes are a series. */
    fun isSeries(unexplained: List<CrashTime>): Boolean {
        val minMoments = if (isRequest) MIN_REQUEST_MOMENTS else CRASHES_IN_SERIES
        return unexplained.size >= CRASHES_IN_SERIES && countMoments(unexplained.map { it.atMillis }) >= minMoments
    }
}

/** Of two candidates for the same crashes, the request itself is more specific than a part that it shares. */
private val mostLikelyFirst =
    compareByDescending<CandidateCause> { it.moments }.thenByDescending { it.isRequest }.thenBy { it.answering }

private fun candidateOf(request: CrashedRequestHistory): CandidateCause {
    val lastCrashMillis = request.crashes.maxOf { it.atMillis }
    return CandidateCause(
        CrashCause(setOf(request.content), lastCrashMillis, REQUEST_PAUSE_MILLIS),
        request.crashes.map { CrashTime(it.crash, it.atMillis) },
        isRequest = true,
        answering = request.crashes.count { it.answering },
    )
}

private fun partCandidates(suspects: List<CrashSuspect>): List<CandidateCause> {
    val suspectsOf = HashMap<String, MutableList<CrashSuspect>>()
    suspects.forEach { suspect ->
        suspect.parts.filterNot(::isContent).forEach { suspectsOf.getOrPut(it, ::ArrayList) += suspect }
    }
    return suspectsOf.values.map { all ->
        val common = all.map { it.parts }.reduce { common, parts -> common intersect parts }
        CandidateCause(
            CrashCause(common, lastCrashMillis(all)),
            all.map { CrashTime(it.crash, it.crashedAtMillis) },
            isRequest = false,
        )
    }
}

/** Returns the requests and parts that come back in a series of crashes, those that explain most crashes first. */
private fun findRecurring(
    candidates: List<CandidateCause>,
    explained: MutableSet<Any>,
): List<CrashCause> = candidates.sortedWith(mostLikelyFirst).mapNotNull { candidate ->
    val unexplained = candidate.crashes.filter { it.crash !in explained }
    if (!candidate.isSeries(unexplained)) return@mapNotNull null
    unexplained.mapTo(explained) { it.crash }
    candidate.cause
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

private fun countMoments(suspects: List<CrashSuspect>): Int = countMoments(suspects.map { it.crashedAtMillis })

/** Counts the different times among [crashesAtMillis]. */
@JvmName("countMomentsOfTimes")
private fun countMoments(crashesAtMillis: List<Long>): Int {
    var moments = 0
    var lastAtMillis: Long? = null
    crashesAtMillis.sorted().forEach { atMillis ->
        if (lastAtMillis.let { it == null || atMillis - it >= SAME_MOMENT_MILLIS }) moments++
        lastAtMillis = atMillis
    }
    return moments
}
