/*
 * Puts many entries and agents on the control hosts, as far as these can tell, and reads what it costs the leading one
 * from its own metrics.
 */
package io.carawaytrack.bench

import io.carawaytrack.membership.ControlClient
import io.carawaytrack.membership.ControlClientPorts
import io.carawaytrack.model.Announcement
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.model.ZoneName
import io.carawaytrack.process.monotonicMillis
import io.carawaytrack.wire.LinkHub
import io.carawaytrack.wire.PeerIdentity
import io.carawaytrack.wire.SharedSecret
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable

private const val WARM_UP_MILLIS = 5_000L
private const val PERMITS = 32
private const val MILLIS_PER_SECOND = 1_000.0

/** Processes for each entry among them: 340 entries and 1,800 agents make 2,140. */
private const val HOLDERS_PER_ENTRY = 6

/** Tells what [holders] processes cost one control host. */
@Serializable
internal data class HolderCost(
    val holders: Int,
    val control: String,
    val cpuSecondsPerSecond: Double,
    val residentBytes: Double,
    val heapBytes: Double,
)

internal class HolderLoad(
    private val control: List<HostPort>,
    private val observability: List<HostPort>,
    private val secret: SharedSecret,
    private val measureMillis: Long,
) {
    suspend fun run(count: Int): List<HolderCost> {
        val holders = List(count, ::holder)
        holders.forEach { it.client.start() }
        delay(WARM_UP_MILLIS)
        val before = observability.map { scrape(it) }
        delay(measureMillis)
        val after = observability.map { scrape(it) }
        val held = holders.count { it.client.lease.held }
        check(held == count) { "expected $count leases held, got $held" }
        holders.forEach(Holder::close)
        return observability.indices.map { cost(count, observability[it], before[it], after[it]) }
    }

    private fun cost(
        count: Int,
        host: HostPort,
        before: Scrape,
        after: Scrape,
    ) = HolderCost(
        holders = count,
        control = host.toString(),
        cpuSecondsPerSecond = (after.cpuSeconds - before.cpuSeconds) / (measureMillis / MILLIS_PER_SECOND),
        residentBytes = after.residentBytes,
        heapBytes = after.heapBytes,
    )

    private fun holder(number: Int): Holder {
        val entry = number % HOLDERS_PER_ENTRY == 0
        val role = if (entry) NodeRole.Entry else NodeRole.Agent
        val identity = PeerIdentity(NodeId("bench-$number"), role, ZoneName("bench"))
        val hub = LinkHub(identity, secret, ::monotonicMillis)
        var beats = 0
        val announcement = { if (entry) null else announcement(number, beats++) }
        val ports = ControlClientPorts(hub::connect, ::monotonicMillis, announcement)
        return Holder(hub, ControlClient(control, ports))
    }

    private fun announcement(
        number: Int,
        beats: Int,
    ) = Announcement(
        upstream = UpstreamId("bench-$number"),
        zone = ZoneName("bench"),
        agentHost = "127.0.0.1",
        agentPort = 1,
        incarnation = 1,
        versions = listOf(ModelVersion("bench-model", "1")),
        load = UpstreamLoad(permits = PERMITS, running = beats % PERMITS, queuedTokens = beats.toLong()),
    )
}

private class Holder(
    private val hub: LinkHub,
    val client: ControlClient,
) : AutoCloseable {
    override fun close() {
        client.close()
        hub.close()
    }
}
