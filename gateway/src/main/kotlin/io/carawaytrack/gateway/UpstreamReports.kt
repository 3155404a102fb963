/*
 * Reports of upstreams about their load and the limits that they state: those that this host receives with responses,
 * and those that other hosts pass on.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.UpstreamLoad
import io.carawaytrack.gateway.placement.EnginePools
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.routing.load.plausiblePace

/** Applies reports to the known upstreams, which [states] holds by identifier. */
internal class UpstreamReports(
    private val states: Map<UpstreamId, UpstreamState>,
    private val enginePools: EnginePools,
    private val nowMillis: () -> Long,
) {
    private class TimedReport(
        val report: ReportedLoad,
        val limitPerSecond: Double?,
        val startedAtMillis: Long,
        val atMillis: Long,
    )

    private val ownReports = LinkedHashMap<UpstreamId, TimedReport>()

    /** Records what [upstream] stated to this host about its load and its limit, and keeps it for the other hosts. */
    fun record(
        upstream: UpstreamState,
        load: ReportedLoad?,
        limitPerSecond: Double?,
    ) {
        applyLimit(upstream, limitPerSecond, ageMillis = 0)
        if (load == null) return
        apply(upstream, load, ageMillis = 0)
        val known = upstream.upstream
        ownReports[known.id] = TimedReport(load, limitPerSecond, known.startedAtMillis, nowMillis())
    }

    private fun applyLimit(
        upstream: UpstreamState,
        perSecond: Double?,
        ageMillis: Long,
    ) {
        if (!upstream.applyLimit(perSecond, ageMillis)) return
        val event = if (upstream.limitPerSecond == null) "upstream_limit_ended" else "upstream_limited"
        logEvent(event, mapOf("upstream" to upstream.upstream.id.value, "perSecond" to upstream.limitPerSecond))
    }

    /** Returns the number of upstreams that state a limit, by pool. */
    fun limited(): Map<PoolName, Int> = states.values
        .filter { it.limitPerSecond != null }
        .groupingBy { it.upstream.pool }
        .eachCount()

    /** Applies a report that another host received; one of an earlier start of the upstream says nothing about it. */
    fun applyFromHost(load: UpstreamLoad) {
        val state = states[load.id] ?: return
        val startedAtMillis = load.startedAtMillis
        if (startedAtMillis != null && startedAtMillis != state.upstream.startedAtMillis) return
        apply(state, ReportedLoad(load.running, load.waiting, plausiblePace(load.pacePercent)), load.ageMillis)
        if (startedAtMillis != null) applyLimit(state, load.limitPerSecond, load.ageMillis)
    }

    private fun apply(
        state: UpstreamState,
        load: ReportedLoad,
        ageMillis: Long,
    ) {
        state.applyLoadReport(load, ageMillis)
        if (load.pacePercent != null) enginePools.paceStated(state, states.values)
    }

    /** Returns the newest report of each upstream since the last call. */
    fun take(): List<UpstreamLoad> {
        val taken =
            ownReports.map { (id, timed) ->
                UpstreamLoad(
                    id = id,
                    running = timed.report.running,
                    waiting = timed.report.waiting,
                    ageMillis = nowMillis() - timed.atMillis,
                    limitPerSecond = timed.limitPerSecond,
                    startedAtMillis = timed.startedAtMillis,
                    pacePercent = timed.report.pacePercent,
                )
            }
        ownReports.clear()
        return taken
    }
}
