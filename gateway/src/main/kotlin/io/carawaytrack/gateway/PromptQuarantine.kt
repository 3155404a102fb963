/*
 * Quarantine of prompt parts that crash the upstreams that answer them; a request without a prompt counts as one part.
 * Each crash implicates the prompts that the upstream may have begun to answer. A part that an upstream has answered
 * around that time or since is cleared. Among the others, a part that was in the prompts of enough crashes is
 * quarantined: requests are refused if they contain it and all parts that always came with it, so that a request that
 * shares some of those parts can still clear them. On a route whose crashes have no part in common, each implicated
 * request is refused when it comes again.
 *
 * The quarantine is meant for a few crashes in a minute. It has neither a network nor a timer; hosts exchange reports.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CrashReport
import io.carawaytrack.fleet.PromptParts
import io.carawaytrack.fleet.SoundPart
import io.carawaytrack.fleet.UpstreamCrash
import io.carawaytrack.fleet.isRoute
import io.carawaytrack.fleet.routeOf
import io.carawaytrack.model.UpstreamId

/** Time before a crash within which an answer clears the parts of its prompt. */
private const val CLEARED_BEFORE_MILLIS = 2_000L

/** Time after which a crash is forgotten, and the quarantine that is based on it ends. */
private const val CRASH_EXPIRY_MILLIS = 120_000L

/** Minimum time between two reports that the same part is sound. */
private const val SOUND_REPORT_INTERVAL_MILLIS = 1_000L

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
    private var quarantined: List<Set<String>>? = emptyList()
    private var loggedCauses: List<Set<String>> = emptyList()

    /** Whether any crash is known; otherwise nothing is refused. */
    val isActive: Boolean get() = crashes.isNotEmpty()

    /** Returns whether requests with [prompt] are refused. */
    fun refuses(prompt: PromptParts): Boolean {
        expire()
        return current().any { prompt.containsAll(it) }
    }

    /** Records that an upstream is answering [prompt], or has answered it. */
    fun recordSound(prompt: PromptParts) = prompt.filterNot(::isRoute).forEach { recordSound(it, nowMillis()) }

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
    }

    /** Returns what the other hosts don't know from this one yet, or null if there is nothing. */
    fun takeReport(): CrashReport? {
        val report = CrashReport(unreportedCrashes.mapNotNull(::crashOf), unreportedSound.mapNotNull(::soundOf))
        unreportedCrashes.clear()
        unreportedSound.clear()
        return report.takeUnless { it.isEmpty }
    }

    /** Returns all that this host knows, for a host that has just started. */
    fun report(): CrashReport = CrashReport(crashes.keys.mapNotNull(::crashOf), implicatedParts.mapNotNull(::soundOf))

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
        implicatedParts = crashes.values.flatMapTo(HashSet()) { it.prompts.flatten().filterNot(::isRoute) }
        prompts.flatten().filterTo(unreportedSound) { !isRoute(it) && !isImplicated(it, crash) }
        quarantined = null
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
        if (part in implicatedParts) quarantined = null
    }

    private fun expire() {
        val oldestMillis = nowMillis() - CRASH_EXPIRY_MILLIS
        if (crashes.values.removeIf { it.atMillis < oldestMillis }) quarantined = null
    }

    private fun isImplicated(
        part: String,
        crash: Crash,
    ): Boolean = !isRoute(part) && (soundAtMillis[part] ?: Long.MIN_VALUE) < crash.atMillis - CLEARED_BEFORE_MILLIS

    private fun current(): List<Set<String>> = quarantined ?: findCauses().also {
        quarantined = it
        logIfChanged(it)
    }

    private fun logIfChanged(causes: List<Set<String>>) {
        if (causes == loggedCauses) return
        loggedCauses = causes
        logEvent("quarantine_changed", mapOf("causes" to causes, "crashes" to crashes.size))
    }

    private fun findCauses(): List<Set<String>> = findCrashCauses(
        crashes.entries.flatMap { (id, crash) ->
            crash.prompts.mapNotNull { prompt ->
                val implicated = prompt.filterTo(HashSet()) { isImplicated(it, crash) }
                if (implicated.isEmpty()) null else CrashSuspect(id, crash.atMillis, routeOf(prompt), implicated)
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
