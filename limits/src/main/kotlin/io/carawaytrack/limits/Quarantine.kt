/*
 * Quarantine of requests that crash the upstreams that run them. The requests in flight when an upstream crashes become
 * suspects, and a request that was in flight at enough crashes is refused from then on. A suspect that completes is
 * cleared, so that requests that merely ran at the same time as the cause are not affected. Agents exchange their
 * records as lists of fingerprints and counts.
 */
package io.carawaytrack.limits

import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.SuspectCount
import io.carawaytrack.model.SuspectReport
import io.carawaytrack.model.notRun

/**
 * Configures a quarantine.
 *
 * @property deathsToQuarantine crashes, summed over all agents, from which a request is refused
 * @property expiryMillis time after the last crash at which a suspect expires
 * @property maxSuspects maximum suspects stored for each agent; the oldest is evicted
 * @property maxOrigins maximum number of other agents whose reports are stored
 */
public data class QuarantineSettings(
    val deathsToQuarantine: Int = 3,
    val expiryMillis: Long = 600_000,
    val maxSuspects: Int = 1_024,
    val maxOrigins: Int = 2_048,
)

/** Detects requests that crash upstreams. */
public interface Quarantine {
    /** Returns the reason why the request with [fingerprint] is refused, or null when it may run. */
    public fun refusalOf(fingerprint: Long): Failure?

    /** Returns whether the request was in flight at a crash; such a request should run without any other beside it. */
    public fun isSuspect(fingerprint: Long): Boolean

    /** Records that the request is sent to the upstream. */
    public fun started(fingerprint: Long)

    /** Records that the request ended; when it [completed], this agent's record of it is cleared. */
    public fun finished(
        fingerprint: Long,
        completed: Boolean,
    )

    /** Counts a crash for every request in flight and marks them all as finished. */
    public fun upstreamCrashed()

    /** Returns the records of this agent, for the other agents. */
    public fun report(): SuspectReport

    /** Merges the report of another agent; a report that is no newer than the last one of that agent is ignored. */
    public fun merge(report: SuspectReport)
}

/** Creates the quarantine of the agent [origin]. */
public fun Quarantine(
    origin: NodeId,
    settings: QuarantineSettings,
    nowMillis: () -> Long,
): Quarantine = CountingQuarantine(origin, settings, nowMillis)

private data class CrashRecord(
    val crashes: Int,
    val lastCrashAtMillis: Long,
)

private class CountingQuarantine(
    private val origin: NodeId,
    private val settings: QuarantineSettings,
    private val nowMillis: () -> Long,
) : Quarantine {
    private class PeerReport(
        val sequence: Long,
        val records: Map<Long, CrashRecord>,
    )

    private val lock = Any()
    private val inFlight = HashMap<Long, Int>()
    private val ownRecords = LinkedHashMap<Long, CrashRecord>()
    private val peerReports = LinkedHashMap<NodeId, PeerReport>()

    // Index from fingerprint to the agents that reported it, because it is looked up for every request.
    private val reporters = HashMap<Long, MutableSet<NodeId>>()

    // Starts from the clock, so that reports made after a restart of the agent are newer than those made before it.
    private var sequence = nowMillis()

    override fun refusalOf(fingerprint: Long): Failure? {
        val crashes = synchronized(lock) { crashesOf(fingerprint) }
        if (crashes < settings.deathsToQuarantine) return null
        return ErrorKind.Quarantined.notRun("$crashes upstreams crashed while running this request")
    }

    override fun isSuspect(fingerprint: Long): Boolean = synchronized(lock) { crashesOf(fingerprint) > 0 }

    override fun started(fingerprint: Long): Unit =
        synchronized(lock) { inFlight[fingerprint] = (inFlight[fingerprint] ?: 0) + 1 }

    override fun finished(
        fingerprint: Long,
        completed: Boolean,
    ): Unit = synchronized(lock) {
        val remaining = (inFlight[fingerprint] ?: 0) - 1
        if (remaining > 0) inFlight[fingerprint] = remaining else inFlight.remove(fingerprint)
        if (completed && ownRecords.remove(fingerprint) != null) sequence += 1
    }

    override fun upstreamCrashed(): Unit = synchronized(lock) {
        inFlight.keys.forEach(::countCrash)
        inFlight.clear()
        sequence += 1
    }

    override fun report(): SuspectReport = synchronized(lock) {
        val current = ownRecords.filterValues(::isCurrent)
        SuspectReport(origin, sequence, current.map { (fingerprint, it) -> SuspectCount(fingerprint, it.crashes) })
    }

    override fun merge(report: SuspectReport): Unit = synchronized(lock) {
        if (report.origin == origin) return
        val previous = peerReports[report.origin]
        if (previous != null && report.sequence <= previous.sequence) return
        removeReport(report.origin)
        val records = recordsOf(report, previous)
        peerReports[report.origin] = PeerReport(report.sequence, records)
        records.keys.forEach { reporters.getOrPut(it) { mutableSetOf() } += report.origin }
        if (peerReports.size > settings.maxOrigins) removeReport(peerReports.keys.first())
    }

    private fun removeReport(agent: NodeId) {
        val removed = peerReports.remove(agent) ?: return
        removed.records.keys.forEach { fingerprint ->
            reporters.computeIfPresent(fingerprint) { _, agents -> (agents - agent).toMutableSet().ifEmpty { null } }
        }
    }

    /** Keeps the time of a crash that was reported before, so that repeated reports do not prolong it. */
    private fun recordsOf(
        report: SuspectReport,
        previous: PeerReport?,
    ): Map<Long, CrashRecord> = report.counts.take(settings.maxSuspects).associate {
        val earlier = previous?.records?.get(it.fingerprint)
        val record = if (earlier?.crashes == it.crashes) earlier else CrashRecord(it.crashes, nowMillis())
        it.fingerprint to record
    }

    private fun countCrash(fingerprint: Long) {
        val earlier = ownRecords.remove(fingerprint)?.takeIf(::isCurrent)
        ownRecords[fingerprint] = CrashRecord((earlier?.crashes ?: 0) + 1, nowMillis())
        if (ownRecords.size > settings.maxSuspects) ownRecords.remove(ownRecords.keys.first())
    }

    private fun crashesOf(fingerprint: Long): Int {
        val reported = reporters[fingerprint].orEmpty().mapNotNull { peerReports[it]?.records?.get(fingerprint) }
        return (reported + listOfNotNull(ownRecords[fingerprint])).filter(::isCurrent).sumOf { it.crashes }
    }

    private fun isCurrent(record: CrashRecord): Boolean = nowMillis() - record.lastCrashAtMillis < settings.expiryMillis
}
