/*
 * Quarantine of prompt parts that crash the upstreams that answer them; a request without a prompt counts as one part.
 * Each crash implicates the prompts that the upstream may have begun to answer. A part that an upstream has answered
 * around that time or since is cleared. Among the others, a part that was in the prompts of enough crashes is
 * quarantined: requests are refused if they contain it and all parts that always came with it, so that a request that
 * shares some of those parts can still clear them. On a route whose crashes have no part in common, each implicated
 * request is refused when it comes again. A caller whose requests were in progress at such crashes, and which got few
 * answers meanwhile, is refused on that route for a time that doubles with each crash, since what it sends next cannot
 * be told from what crashed upstreams.
 *
 * The quarantine is meant for a few crashes in a minute. It has neither a network nor a timer; hosts exchange reports.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CrashReport
import io.carawaytrack.fleet.PromptParts
import io.carawaytrack.fleet.SoundPart
import io.carawaytrack.fleet.UpstreamCrash
import io.carawaytrack.fleet.callerOf
import io.carawaytrack.fleet.isOrigin
import io.carawaytrack.fleet.routeOf
import io.carawaytrack.model.UpstreamId

/** Time before a crash within which an answer clears the parts of its prompt. */
private const val CLEARED_BEFORE_MILLIS = 2_000L

/** Time after which a crash is forgotten, and the quarantine that is based on it ends. */
private const val CRASH_EXPIRY_MILLIS = 120_000L

/** Time for which a caller is refused after the first crash that suffices: several restarts of an upstream. */
internal const val MIN_CALLER_PAUSE_MILLIS = 10_000L

/** Answers for each crash from which on a caller is served: it was there by chance, or is rarely harmful. */
private const val ANSWERS_PER_CRASH_TO_SERVE = 4

/** Minimum time between two reports that the same part is sound. */
private const val SOUND_REPORT_INTERVAL_MILLIS = 1_000L

private const val MAX_PAUSE_DOUBLINGS = 4
private const val MAX_CRASHES = 64
private const val MAX_PROMPTS_PER_CRASH = 64
private const val MAX_SOUND_PARTS = 4_096

internal class PromptQuarantine(
    private val nowMillis: () -> Long,
) {
    private data class CrashId(
        val upstream: UpstreamId,
        val startedAtMillis: Long,
    )

    private class Crash(
        val atMillis: Long,
        val prompts: LinkedHashSet<PromptParts>,
    )

    private val crashes = LinkedHashMap<CrashId, Crash>()
    private val soundAtMillis = BoundedMap<String, Long>(MAX_SOUND_PARTS)
    private val soundReportedAtMillis = BoundedMap<String, Long>(MAX_SOUND_PARTS)
    private val unreportedCrashes = LinkedHashSet<CrashId>()
    private val unreportedSound = LinkedHashSet<String>()
    private var implicatedParts: Set<String> = emptySet()
    private val answeredCallers = AnsweredCallers(nowMillis)
    private var knownCauses: CrashCauses? = null
    private var loggedCauses: Map<String, Any> = emptyMap()

    /** Whether any crash is known; otherwise nothing is refused. */
    val isActive: Boolean get() = crashes.isNotEmpty()

    /** Returns the time for which requests with [prompt] are refused, or null if they are served. */
    fun refusedForMillis(prompt: PromptParts): Long? {
        expire()
        val causes = current()
        val harmful = causes.requests.filter { prompt.containsAll(it.parts) }
        val caller =
            callerOf(prompt)?.let { caller ->
                causes.callers.firstOrNull { it.caller == caller && isPaused(it) }
            }
        val untilMillis =
            listOfNotNull(
                harmful.maxOfOrNull { it.lastCrashMillis + CRASH_EXPIRY_MILLIS },
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

    /** Records that an upstream is answering [prompt], or has answered it. */
    fun recordSound(prompt: PromptParts) = prompt.filterNot(::isOrigin).forEach { recordSound(it, nowMillis()) }

    /** Records that an upstream has answered [prompt] completely. */
    fun recordAnswered(prompt: PromptParts) {
        recordSound(prompt)
        callerOf(prompt)?.let(answeredCallers::record)
    }

    /** Records a crash of the upstream [id] with the [prompts] that it may have begun to answer for this host. */
    fun recordCrash(
        id: UpstreamId,
        startedAtMillis: Long,
        prompts: List<PromptParts>,
    ) {
        val crash = CrashId(id, startedAtMillis)
        if (add(crash, nowMillis(), prompts)) unreportedCrashes += crash
    }

    /** Applies a report from another host. */
    fun merge(report: CrashReport) {
        report.crashes.forEach {
            add(CrashId(it.id, it.startedAtMillis), nowMillis() - it.ageMillis, it.prompts)
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
    fun report(): CrashReport =
        CrashReport(crashes.keys.mapNotNull(::crashOf), implicatedParts.mapNotNull(::soundOf), answeredCallers.all())

    private fun crashOf(id: CrashId): UpstreamCrash? = crashes[id]?.let {
        UpstreamCrash(id.upstream, id.startedAtMillis, nowMillis() - it.atMillis, it.prompts.toList())
    }

    private fun soundOf(part: String): SoundPart? = soundAtMillis[part]?.let { SoundPart(part, nowMillis() - it) }

    /** Adds a crash or prompts to a known one; returns whether that is new. */
    private fun add(
        id: CrashId,
        atMillis: Long,
        prompts: List<PromptParts>,
    ): Boolean {
        if (prompts.isEmpty()) return false
        expire()
        val crash = crashes.getOrPut(id) { Crash(atMillis, LinkedHashSet()) }
        val added = crash.prompts.addAll(prompts.take(MAX_PROMPTS_PER_CRASH - crash.prompts.size))
        if (crashes.size > MAX_CRASHES) crashes.remove(crashes.keys.first())
        if (!added) return false
        val allPrompts = crashes.values.flatMap { it.prompts }
        implicatedParts = allPrompts.flatMapTo(HashSet()) { it.filterNot(::isOrigin) }
        answeredCallers.watch(allPrompts.mapNotNullTo(HashSet(), ::callerOf))
        prompts.flatten().filterTo(unreportedSound) { !isOrigin(it) && !isImplicated(it, crash) }
        knownCauses = null
        return true
    }

    private fun recordSound(
        part: String,
        atMillis: Long,
    ) {
        clear(part, atMillis)
        if (part !in implicatedParts) return
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
        if (part in implicatedParts) knownCauses = null
    }

    private fun expire() {
        val oldestMillis = nowMillis() - CRASH_EXPIRY_MILLIS
        if (crashes.values.removeIf { it.atMillis < oldestMillis }) knownCauses = null
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
