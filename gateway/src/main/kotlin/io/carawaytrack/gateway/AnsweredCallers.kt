/*
 * Counts of the answers that callers got from upstreams, summed over all hosts. Each host process adds to its own count
 * and reports its total, so a report that arrives twice or late changes nothing.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CallerAnswers
import kotlin.random.Random

/** Minimum time between two reports of the counts. */
private const val REPORT_INTERVAL_MILLIS = 1_000L

internal class AnsweredCallers(
    private val nowMillis: () -> Long,
    private val ownHost: Long = Random.nextLong(),
) {
    private val counts = HashMap<String, HashMap<Long, Int>>()
    private val unreported = LinkedHashSet<String>()
    private var reportedAtMillis = Long.MIN_VALUE / 2

    /** Starts to count answers to [callers] and forgets all others. */
    fun watch(callers: Set<String>) {
        counts.keys.retainAll(callers)
        unreported.retainAll(callers)
        callers.forEach { counts.getOrPut(it, ::HashMap) }
    }

    /** Counts an answer to [caller] by this host if it is watched. */
    fun record(caller: String) {
        val byHost = counts[caller] ?: return
        byHost.merge(ownHost, 1, Int::plus)
        unreported += caller
    }

    /** Applies the total of another host. */
    fun merge(answers: CallerAnswers) {
        counts.getOrPut(answers.caller, ::HashMap).merge(answers.host, answers.count, ::maxOf)
    }

    /** Returns the number of answers to [caller] that all hosts have counted. */
    fun total(caller: String): Int = counts[caller]?.values?.sum() ?: 0

    /** Returns this host's totals that have changed since the last report, or nothing until the next report is due. */
    fun takeReport(): List<CallerAnswers> {
        if (unreported.isEmpty() || nowMillis() - reportedAtMillis < REPORT_INTERVAL_MILLIS) return emptyList()
        reportedAtMillis = nowMillis()
        val report =
            unreported.mapNotNull { caller ->
                counts[caller]?.get(ownHost)?.let { CallerAnswers(caller, ownHost, it) }
            }
        unreported.clear()
        return report
    }

    /** Returns the totals of all hosts, for a host that has just started. */
    fun all(): List<CallerAnswers> =
        counts.flatMap { (caller, byHost) -> byHost.map { (host, count) -> CallerAnswers(caller, host, count) } }
}
