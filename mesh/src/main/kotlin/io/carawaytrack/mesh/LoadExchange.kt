/*
 * Exchange of load reports between hosts. An upstream reports its load with each response, so every host learns the
 * load at the rate of its own requests only: with tens of hosts, a report is older than the requests that it counts.
 * Each host therefore shares the newest report of each upstream. A host without a disk sends its reports to one host
 * with a disk, which merges those of many hosts and sends them to all its peers. A host thus receives one message from
 * each host with a disk in an interval, however many hosts there are.
 */
package io.carawaytrack.mesh

import io.carawaytrack.fleet.UpstreamLoad
import io.carawaytrack.model.UpstreamId

/** Interval at which reports are sent: a fraction of the time that a request spends on an engine. */
private const val EXCHANGE_INTERVAL_MILLIS = 400L

/** Shares the load reports of a fleet's hosts. */
public interface LoadExchange {
    /** Shares the reports that this host has received from upstreams. */
    public fun report(loads: Collection<UpstreamLoad>)
}

/**
 * Merges the reports of this host and, on a host with a disk, of others. [sendToPeers] sends a message to all peers and
 * [sendToCore] to one host with a disk.
 */
internal class MergingLoadExchange(
    private val core: Boolean,
    private val sendToPeers: (MeshMessage.Loads) -> Unit,
    private val sendToCore: (MeshMessage.Loads) -> Unit,
    private val loadReported: (UpstreamLoad) -> Unit,
    private val nowMillis: () -> Long,
) : LoadExchange {
    private class TimedLoad(
        val load: UpstreamLoad,
        val reportedAtMillis: Long,
    )

    private val unsent = LinkedHashMap<UpstreamId, TimedLoad>()
    private var lastSentAtMillis = 0L

    override fun report(loads: Collection<UpstreamLoad>) = loads.forEach(::stage)

    fun receive(message: MeshMessage.Loads) {
        message.loads.forEach(loadReported)
        if (core && message.relay) message.loads.forEach(::stage)
    }

    /** Keeps [load] until the next exchange unless a newer report of the same upstream is already kept. */
    private fun stage(load: UpstreamLoad) {
        val reportedAtMillis = nowMillis() - load.ageMillis
        val staged = unsent[load.id]
        if (staged == null || staged.reportedAtMillis < reportedAtMillis) {
            unsent[load.id] = TimedLoad(load, reportedAtMillis)
        }
    }

    /** Sends the reports since the last exchange at the interval. */
    fun tick() {
        if (unsent.isEmpty() || nowMillis() - lastSentAtMillis < EXCHANGE_INTERVAL_MILLIS) return
        lastSentAtMillis = nowMillis()
        val loads = unsent.values.map { it.load.copy(ageMillis = nowMillis() - it.reportedAtMillis) }
        unsent.clear()
        if (core) sendToPeers(MeshMessage.Loads(loads)) else sendToCore(MeshMessage.Loads(loads, relay = true))
    }
}
