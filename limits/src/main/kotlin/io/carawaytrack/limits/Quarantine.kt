/*
 * Requests that crash the upstreams that run them. Those in flight when an upstream dies become suspects; one that has
 * been there often enough is refused for good. A suspect that completes is cleared, so that a request that only stood
 * beside the cause is not harmed. Agents share what they have seen as lists of fingerprints and counts.
 */
package io.carawaytrack.limits

import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.SuspectCount
import io.carawaytrack.model.SuspectReport
import io.carawaytrack.model.notRun

/**
 * Sets up a quarantine.
 *
 * @property deathsToQuarantine deaths, over all agents, after which a request is refused
 * @property expiryMillis time after its last death at which a suspect is forgotten
 * @property maxSuspects suspects kept for each agent; the oldest gives way
 * @property maxOrigins agents whose reports are kept
 */
public data class QuarantineSettings(
    val deathsToQuarantine: Int = 3,
    val expiryMillis: Long = 600_000,
    val maxSuspects: Int = 1_024,
    val maxOrigins: Int = 2_048,
)

/** Recognises requests that crash upstreams. */
public interface Quarantine {
    /** Returns why the request with [fingerprint] may not run, or null when it may. */
    public fun refusalOf(fingerprint: Long): Failure?

    /** Returns whether the request was in flight at a death; such a request is best run with no other beside it. */
    public fun isSuspect(fingerprint: Long): Boolean

    /** Notes that the request goes to the upstream. */
    public fun started(fingerprint: Long)

    /** Notes that it is no longer there; [completed] clears it of what this agent holds against it. */
    public fun finished(
        fingerprint: Long,
        completed: Boolean,
    )

    /** Counts a death against every request in flight and takes them as finished. */
    public fun upstreamDied()

    /** Returns what this agent has seen, for the others. */
    public fun report(): SuspectReport

    /** Takes in what another agent has seen; the same report again, or an older one, changes nothing. */
    public fun merge(report: SuspectReport)
}

/** Creates the quarantine of the agent [origin]. */
public fun Quarantine(
    origin: NodeId,
    settings: QuarantineSettings,
    nowMillis: () -> Long,
): Quarantine = CountingQuarantine(origin, settings, nowMillis)

private data class Suspicion(
    val deaths: Int,
    val lastMillis: Long,
)

private class CountingQuarantine(
    private val origin: NodeId,
    private val settings: QuarantineSettings,
    private val nowMillis: () -> Long,
) : Quarantine {
    private class Others(
        val sequence: Long,
        val suspicions: Map<Long, Suspicion>,
    )

    private val lock = Any()
    private val inFlight = HashMap<Long, Int>()
    private val own = LinkedHashMap<Long, Suspicion>()
    private val others = LinkedHashMap<NodeId, Others>()

    // Finds by fingerprint which of the others hold something against it, as every request asks.
    private val accusers = HashMap<Long, MutableSet<NodeId>>()

    // Starts from the clock, so that reports made after a restart of the agent are newer than those before it.
    private var sequence = nowMillis()

    override fun refusalOf(fingerprint: Long): Failure? {
        val deaths = synchronized(lock) { deathsOf(fingerprint) }
        if (deaths < settings.deathsToQuarantine) return null
        return ErrorKind.Quarantined.notRun("$deaths upstreams died while running this request")
    }

    override fun isSuspect(fingerprint: Long): Boolean = synchronized(lock) { deathsOf(fingerprint) > 0 }

    override fun started(fingerprint: Long): Unit =
        synchronized(lock) { inFlight[fingerprint] = (inFlight[fingerprint] ?: 0) + 1 }

    override fun finished(
        fingerprint: Long,
        completed: Boolean,
    ): Unit = synchronized(lock) {
        val left = (inFlight[fingerprint] ?: 0) - 1
        if (left > 0) inFlight[fingerprint] = left else inFlight.remove(fingerprint)
        if (completed && own.remove(fingerprint) != null) sequence += 1
    }

    override fun upstreamDied(): Unit = synchronized(lock) {
        inFlight.keys.forEach(::countDeath)
        inFlight.clear()
        sequence += 1
    }

    override fun report(): SuspectReport = synchronized(lock) {
        val fresh = own.filterValues(::isFresh)
        SuspectReport(origin, sequence, fresh.map { (fingerprint, it) -> SuspectCount(fingerprint, it.deaths) })
    }

    override fun merge(report: SuspectReport): Unit = synchronized(lock) {
        if (report.origin == origin) return
        val known = others[report.origin]
        if (known != null && report.sequence <= known.sequence) return
        forget(report.origin)
        val suspicions = suspicionsOf(report, known)
        others[report.origin] = Others(report.sequence, suspicions)
        suspicions.keys.forEach { accusers.getOrPut(it) { mutableSetOf() } += report.origin }
        if (others.size > settings.maxOrigins) forget(others.keys.first())
    }

    private fun forget(agent: NodeId) {
        val forgotten = others.remove(agent) ?: return
        forgotten.suspicions.keys.forEach { fingerprint ->
            accusers.computeIfPresent(fingerprint) { _, agents -> (agents - agent).toMutableSet().ifEmpty { null } }
        }
    }

    /** Keeps the moment of a death that was known before, so that repeating it does not keep it alive. */
    private fun suspicionsOf(
        report: SuspectReport,
        known: Others?,
    ): Map<Long, Suspicion> = report.counts.take(settings.maxSuspects).associate {
        val before = known?.suspicions?.get(it.fingerprint)
        val suspicion = if (before?.deaths == it.deaths) before else Suspicion(it.deaths, nowMillis())
        it.fingerprint to suspicion
    }

    private fun countDeath(fingerprint: Long) {
        val before = own.remove(fingerprint)?.takeIf(::isFresh)
        own[fingerprint] = Suspicion((before?.deaths ?: 0) + 1, nowMillis())
        if (own.size > settings.maxSuspects) own.remove(own.keys.first())
    }

    private fun deathsOf(fingerprint: Long): Int {
        val elsewhere = accusers[fingerprint].orEmpty().mapNotNull { others[it]?.suspicions?.get(fingerprint) }
        return (elsewhere + listOfNotNull(own[fingerprint])).filter(::isFresh).sumOf { it.deaths }
    }

    private fun isFresh(suspicion: Suspicion): Boolean = nowMillis() - suspicion.lastMillis < settings.expiryMillis
}
