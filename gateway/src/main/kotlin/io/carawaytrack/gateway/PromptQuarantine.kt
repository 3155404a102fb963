/*
 * Quarantine of requests and prompt parts that crash the upstreams that answer them.
 *
 * A request (see RequestTraits.kt) is quarantined after three crashes at two times during which it was in progress,
 * whether or not its answer had begun, unless another request or part explains them. It is cleared by a complete answer
 * to itself within two seconds before a crash or at any time after it, and by nothing else. Ten minutes after its last
 * crash it is tried again, and an hour after it is forgotten.
 *
 * A part of prompts is quarantined after three crashes at different times, each at the beginning of an answer to a
 * prompt with it. It is cleared by any answer to a prompt with it that goes on or ends well: requests are refused if
 * they contain a quarantined part and all parts that always came with it, so that a request that shares some of those
 * parts can still clear them. A request without a prompt counts as one part.
 *
 * On a route whose crashes have no request or part in common, each implicated request is refused when it comes again. A
 * caller whose requests were in progress at such crashes, and which got few answers meanwhile, is refused on that route
 * for a time that doubles with each crash, since nothing distinguishes its next requests from those.
 *
 * The quarantine is meant for a few crashes in a minute. It has neither a network nor a timer; hosts exchange reports.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CrashReport
import io.carawaytrack.fleet.CrashedRequest
import io.carawaytrack.fleet.PromptParts
import io.carawaytrack.fleet.SoundPart
import io.carawaytrack.fleet.UpstreamCrash
import io.carawaytrack.fleet.callerOf
import io.carawaytrack.fleet.isContent
import io.carawaytrack.fleet.isOrigin
import io.carawaytrack.fleet.routeOf
import io.carawaytrack.model.UpstreamId

/** Time before a crash within which an answer clears its request and the parts of its prompt. */
internal const val CLEARED_BEFORE_MILLIS = 2_000L

/** Time after which a crash says nothing more about parts and callers. */
private const val CRASH_EXPIRY_MILLIS = PART_PAUSE_MILLIS

/** Time for which a caller is refused after the first crash that suffices: several restarts of an upstream. */
internal const val MIN_CALLER_PAUSE_MILLIS = 10_000L

/** Answers for each crash from which on a caller is served: it was there by chance, or is rarely harmful. */
private const val ANSWERS_PER_CRASH_TO_SERVE = 4

/** Minimum time between two reports that the same part is sound. */
private const val SOUND_REPORT_INTERVAL_MILLIS = 1_000L

private const val MAX_PAUSE_DOUBLINGS = 4
private const val MAX_CRASHES = 64
private const val MAX_PROMPTS_PER_CRASH = 64

/** Several times the requests that an engine runs at once, as hosts add those that each of them had on it. */
private const val MAX_REQUESTS_PER_CRASH = 256
private const val MAX_SOUND_PARTS = 4_096

/** Identifies a crash by the start of the upstream that it ended. */
internal data class CrashId(
    val upstream: UpstreamId,
    val startedAtMillis: Long,
)

/** A request that was in progress at a crash; [answering] states whether its answer had gone on for some time. */
internal data class Suspect(
    val traits: RequestTraits,
    val answering: Boolean = false,
)

internal class PromptQuarantine(
    private val nowMillis: () -> Long,
) {
    private class Crash(
        val atMillis: Long,
    ) {
        val prompts = LinkedHashSet<PromptParts>()
        val requests = LinkedHashSet<CrashedRequest>()
    }

    private val crashes = LinkedHashMap<CrashId, Crash>()
    private val crashedRequests = CrashedRequests(nowMillis)
    private val soundAtMillis = BoundedMap<String, Long>(MAX_SOUND_PARTS)
    private val soundReportedAtMillis = BoundedMap<String, Long>(MAX_SOUND_PARTS)
    private val unreportedCrashes = LinkedHashSet<CrashId>()
    private val unreportedSound = LinkedHashSet<String>()
    private var implicatedParts: Set<String> = emptySet()
    private val answeredCallers = AnsweredCallers(nowMillis)
    private var knownCauses: CrashCauses? = null
    private var loggedCauses: Map<String, Any> = emptyMap()

    /** Whether any crash is known; otherwise nothing is refused. */
    val isActive: Boolean get() = crashes.isNotEmpty() || !crashedRequests.isEmpty

    /** Returns the time for which the request with [traits] is refused, or null if it is served. */
    fun refusedForMillis(traits: RequestTraits): Long? {
        expire()
        val causes = current()
        if (causes.isEmpty) return null
        val prompt = traits.prompt
        val entries = prompt + traits.content
        val harmful = causes.requests.filter { entries.containsAll(it.parts) }
        val caller =
            callerOf(prompt)?.let { caller ->
                causes.callers.firstOrNull { it.caller == caller && isPaused(it) }
            }
        val untilMillis =
            listOfNotNull(
                harmful.maxOfOrNull { it.lastCrashMillis + it.pauseMillis },
                caller?.let { it.lastCrashMillis + pauseMillis(it) },
            ).maxOrNull()
        return untilMillis?.let { it - nowMillis() }?.takeIf { it > 0 }
    }

    private fun isPaused(caller: CrashingCaller) =
        answeredCallers.total(caller.caller) < caller.crashes * ANSWERS_PER_CRASH_TO_SERVE

    private fun pauseMillis(caller: CrashingCaller): Long {
        val doublings = minOf(caller.crashes - CRASHES_IN_SERIES, MAX_PAUSE_DOUBLINGS)
        return minOf(CRASH_EXPIRY_MILLIS, MIN_CALLER_PAUSE_MILLIS shl doublings)
    }

    /** Records that an upstream is answering the request with [traits], which says nothing about its end. */
    fun recordProgress(traits: RequestTraits) = traits.parts.forEach { recordSound(it, nowMillis()) }

    /** Records that an upstream has answered the request with [traits] completely. */
    fun recordAnswered(traits: RequestTraits) {
        recordProgress(traits)
        // The content is not computed while there is no crash that could be cleared.
        if (!crashedRequests.isEmpty && traits.content in crashedRequests) {
            recordSound(traits.content, nowMillis())
        }
        callerOf(traits.origin)?.let(answeredCallers::record)
    }

    /** Records a crash of the upstream [id] with the [suspects] that were in progress on it for this host. */
    fun recordCrash(
        id: UpstreamId,
        startedAtMillis: Long,
        suspects: List<Suspect>,
    ) {
        val crash = CrashId(id, startedAtMillis)
        val prompts = suspects.filterNot { it.answering }.map { it.traits.prompt }
        val requests = suspects.map { CrashedRequest(it.traits.content, it.answering) }
        if (add(crash, nowMillis(), prompts, requests)) unreportedCrashes += crash
    }

    /** Applies a report from another host. */
    fun merge(report: CrashReport) {
        report.crashes.forEach {
            // Hosts of older builds state requests without a prompt only.
            val withoutPrompt = it.prompts.flatten().filter(::isContent)
            val requests = it.requests.ifEmpty { withoutPrompt.map(::CrashedRequest) }
            add(CrashId(it.id, it.startedAtMillis), nowMillis() - it.ageMillis, it.prompts, requests)
        }
        report.sound.forEach { clear(it.part, nowMillis() - it.ageMillis) }
        report.answers.forEach(answeredCallers::merge)
    }

    /** Returns what the other hosts don't know from this one yet, or null if there is nothing. */
    fun takeReport(): CrashReport? {
        val report =
            CrashReport(
                unreportedCrashes.mapNotNull(::crashOf),
                unreportedSound.mapNotNull(::soundOf),
                answeredCallers.takeReport(),
            )
        unreportedCrashes.clear()
        unreportedSound.clear()
        return report.takeUnless { it.isEmpty }
    }

    /** Returns all that this host knows, for a host that has just started. */
    fun report(): CrashReport = CrashReport(
        crashes.keys.mapNotNull(::crashOf) + earlierCrashes(),
        (implicatedParts + crashes.values.flatMap { it.requests }.map { it.content }).mapNotNull(::soundOf),
        answeredCallers.all(),
    )

    private fun crashOf(id: CrashId): UpstreamCrash? = crashes[id]?.let {
        val ageMillis = nowMillis() - it.atMillis
        UpstreamCrash(id.upstream, id.startedAtMillis, ageMillis, it.prompts.toList(), it.requests.toList())
    }

    /** Returns the crashes that are only known for requests with several of them. */
    private fun earlierCrashes(): List<UpstreamCrash> {
        val byCrash =
            crashedRequests
                .withCrashes(CRASHES_IN_SERIES - 1)
                .flatMap { history -> history.crashes.map { history.content to it } }
                .groupBy { (_, crash) -> crash.crash }
        return byCrash.filterKeys { it !in crashes }.map { (id, entries) ->
            val ageMillis = nowMillis() - entries.first().second.atMillis
            val requests = entries.map { (content, crash) -> CrashedRequest(content, crash.answering) }
            UpstreamCrash(id.upstream, id.startedAtMillis, ageMillis, emptyList(), requests)
        }
    }

    private fun soundOf(part: String): SoundPart? {
        val atMillis = crashedRequests.answeredAtMillis(part) ?: soundAtMillis[part]
        return atMillis?.let { SoundPart(part, nowMillis() - it) }
    }

    /** Adds a crash, or to a known one [prompts] and [requests]; returns whether that is new. */
    private fun add(
        id: CrashId,
        atMillis: Long,
        prompts: List<PromptParts>,
        requests: List<CrashedRequest>,
    ): Boolean {
        if (prompts.isEmpty() && requests.isEmpty()) return false
        expire()
        val known = crashes[id]
        val recorded =
            requests.count {
                val crash = RequestCrash(id, atMillis, it.answering)
                crashedRequests.recordCrash(it.content, crash, answeredAtMillis = soundAtMillis[it.content])
            }
        if (recorded > 0) knownCauses = null
        if (known == null && atMillis < nowMillis() - CRASH_EXPIRY_MILLIS) return recorded > 0
        val crash = known ?: Crash(atMillis).also { crashes[id] = it }
        if (crashes.size > MAX_CRASHES) crashes.remove(crashes.keys.first())
        val requestsAdded = crash.requests.addAll(requests.take(MAX_REQUESTS_PER_CRASH - crash.requests.size))
        val promptsAdded = crash.prompts.addAll(prompts.take(MAX_PROMPTS_PER_CRASH - crash.prompts.size))
        if (promptsAdded) implicate(crash, prompts)
        return requestsAdded || promptsAdded
    }

    private fun implicate(
        crash: Crash,
        prompts: List<PromptParts>,
    ) {
        val allPrompts = crashes.values.flatMap { it.prompts }
        implicatedParts = allPrompts.flatMapTo(HashSet()) { it.filterNot(::isOrigin) }
        answeredCallers.watch(allPrompts.mapNotNullTo(HashSet(), ::callerOf))
        prompts.flatten().filterTo(unreportedSound) { !isOrigin(it) && !isImplicated(it, crash) }
        knownCauses = null
    }

    private fun recordSound(
        part: String,
        atMillis: Long,
    ) {
        clear(part, atMillis)
        if (part !in implicatedParts && part !in crashedRequests) return
        if (atMillis - (soundReportedAtMillis[part] ?: Long.MIN_VALUE / 2) < SOUND_REPORT_INTERVAL_MILLIS) return
        soundReportedAtMillis[part] = atMillis
        unreportedSound += part
    }

    private fun clear(
        part: String,
        atMillis: Long,
    ) {
        if (atMillis <= (soundAtMillis[part] ?: Long.MIN_VALUE)) return
        soundAtMillis[part] = atMillis
        if (part in crashedRequests) crashedRequests.recordAnswered(part, atMillis)
        if (part in implicatedParts || part in crashedRequests) knownCauses = null
    }

    private fun expire() {
        val oldestMillis = nowMillis() - CRASH_EXPIRY_MILLIS
        if (crashes.values.removeIf { it.atMillis < oldestMillis } or crashedRequests.expire()) knownCauses = null
    }

    private fun isImplicated(
        part: String,
        crash: Crash,
    ): Boolean = !isOrigin(part) && (soundAtMillis[part] ?: Long.MIN_VALUE) < crash.atMillis - CLEARED_BEFORE_MILLIS

    private fun current(): CrashCauses = knownCauses ?: findCauses().also {
        knownCauses = it
        logIfChanged(it)
    }

    private fun logIfChanged(causes: CrashCauses) {
        val fields = mapOf("causes" to causes.requests.map { it.parts }, "callers" to causes.callers)
        if (fields == loggedCauses) return
        loggedCauses = fields
        logEvent("quarantine_changed", fields + mapOf("crashes" to crashes.size))
    }

    private fun findCauses(): CrashCauses = findCrashCauses(
        crashes.entries.flatMap { (id, crash) ->
            crash.prompts.mapNotNull { prompt ->
                val implicated = prompt.filterTo(HashSet()) { isImplicated(it, crash) }
                CrashSuspect(id, crash.atMillis, routeOf(prompt), callerOf(prompt), implicated)
                    .takeIf { implicated.isNotEmpty() }
            }
        },
        crashedRequests.withCrashes(CRASHES_IN_SERIES),
    )
}

/** Keeps at most [maxEntries] entries and evicts the least recently used one. */
private class BoundedMap<K, V>(
    private val maxEntries: Int,
) : LinkedHashMap<K, V>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
    override fun removeEldestEntry(eldest: Map.Entry<K, V>): Boolean = size > maxEntries

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
