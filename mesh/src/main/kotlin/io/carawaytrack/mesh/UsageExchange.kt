/*
 * Exchange of usage counts. Each host sends its cumulative counts to all hosts with a disk until the window is fixed in
 * the replicated state, so any of them can report a window as the leader, also for a host that has died since.
 */
package io.carawaytrack.mesh

import io.carawaytrack.fleet.MAX_UNFIXED_WINDOWS
import io.carawaytrack.fleet.UsageWindow
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.OrganisationName

/** Interval at which counts are sent, which bounds what a host loses of its own counts when it dies. */
internal const val USAGE_INTERVAL_MILLIS: Long = 1_000

/** A process of a host: its counts start from zero. */
private data class Reporter(
    val address: HostPort,
    val incarnation: Long,
)

/**
 * Keeps the counts of all hosts for the windows after [fixedThrough]; this host started as [incarnation]. Without an
 * incarnation nothing is kept or sent.
 */
internal class UsageExchange(
    private val self: HostPort,
    private val incarnation: Long?,
    private val nowMillis: () -> Long,
) {
    /** Newest fixed window. */
    var fixedThrough = 0L
    private val countsByWindow = sortedMapOf<Long, HashMap<Reporter, Map<OrganisationName, Long>>>()
    private var own = emptyList<UsageWindow>()
    private var lastSentAtMillis: Long? = null

    fun report(windows: List<UsageWindow>) {
        if (incarnation == null) return
        own = windows
        merge(Reporter(self, incarnation), windows)
    }

    fun receive(
        from: HostPort,
        message: MeshMessage.Usage,
    ) {
        if (incarnation != null) merge(Reporter(from, message.incarnation), message.windows)
    }

    /** Returns the message with this host's counts of unfixed windows if one is due now; called at each tick. */
    fun takeDue(): MeshMessage.Usage? {
        if (incarnation == null) return null
        dropFixed()
        // Half a tick early: a tick that is slightly early would otherwise delay the counts by a whole tick.
        val dueAtMillis = (lastSentAtMillis ?: Long.MIN_VALUE) + USAGE_INTERVAL_MILLIS - MESH_TICK_MILLIS / 2
        if (own.isEmpty() || nowMillis() < dueAtMillis) return null
        lastSentAtMillis = nowMillis()
        return MeshMessage.Usage(incarnation, own)
    }

    /** Returns the sum of the counts of all hosts in the window [windowId]; empty once the window is fixed. */
    fun usageOf(windowId: Long): UsageWindow {
        val sum = HashMap<OrganisationName, Long>()
        countsByWindow[windowId]?.values?.forEach { counts ->
            counts.forEach { (organisation, count) -> sum.merge(organisation, count, Long::plus) }
        }
        return UsageWindow(windowId, sum)
    }

    private fun merge(
        reporter: Reporter,
        windows: List<UsageWindow>,
    ) {
        windows.forEach { window ->
            val counts = countsByWindow.getOrPut(window.windowId, ::HashMap)
            counts[reporter] = larger(counts[reporter].orEmpty(), window.counts)
        }
        dropFixed()
    }

    private fun dropFixed() {
        countsByWindow.headMap(fixedThrough + 1).clear()
        while (countsByWindow.size > MAX_UNFIXED_WINDOWS) countsByWindow.remove(countsByWindow.firstKey())
        if (own.any { it.windowId <= fixedThrough }) own = own.filter { it.windowId > fixedThrough }
    }
}

/** Returns the newer of two cumulative counts; a message on an older link may arrive after one on its successor. */
private fun larger(
    first: Map<OrganisationName, Long>,
    second: Map<OrganisationName, Long>,
): Map<OrganisationName, Long> =
    first + second.mapValues { (organisation, count) -> maxOf(count, first[organisation] ?: 0) }
