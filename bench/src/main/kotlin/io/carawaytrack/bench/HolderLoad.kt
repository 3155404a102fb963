/*
 * Load generator that connects many simulated entries and agents to the control hosts, which cannot distinguish them
 * from real ones, and reads the resulting cost from the metrics of the control hosts.
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
private const val ANNOUNCED_PERMITS = 32
private const val MILLIS_PER_SECOND = 1_000.0

/** Ratio of holders to entries: a deployment of 340 entries and 1,800 agents has 2,140 holders. */
private const val HOLDERS_PER_ENTRY = 6

/** Reports the processor time and memory that [holders] processes cost one control host. */
@Serializable
internal data class HolderCost(
    val holders: Int,
    val control: String,
    val cpuSecondsPerSecond: Double,
    val residentBytes: Double,
    val heapBytes: Double,
)

internal class HolderLoad(
    private val controlAddresses: List<HostPort>,
    private val observabilityAddresses: List<HostPort>,
    private val secret: SharedSecret,
    private val measureMillis: Long,
) {
    suspend fun run(count: Int): List<HolderCost> {
        val holders = List(count, ::createHolder)
        holders.forEach { it.client.start() }
        delay(WARM_UP_MILLIS)
        val before = observabilityAddresses.map { scrape(it) }
        delay(measureMillis)
        val after = observabilityAddresses.map { scrape(it) }
        val heldLeases = holders.count { it.client.lease.held }
        check(heldLeases == count) {
            "expected $count held leases after $WARM_UP_MILLIS ms of warm-up and $measureMillis ms of measurement, " +
                "got $heldLeases"
        }
        holders.forEach(Holder::close)
        return observabilityAddresses.indices.map { cost(count, observabilityAddresses[it], before[it], after[it]) }
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

    private fun createHolder(number: Int): Holder {
        val isEntry = number % HOLDERS_PER_ENTRY == 0
        val role = if (isEntry) NodeRole.Entry else NodeRole.Agent
        val identity = PeerIdentity(NodeId("bench-$number"), role, ZoneName("bench"))
        val hub = LinkHub(identity, secret, ::monotonicMillis)
        var heartbeats = 0
        val announcement = { if (isEntry) null else announcement(number, heartbeats++) }
        val ports = ControlClientPorts(hub::connect, ::monotonicMillis, announcement)
        return Holder(hub, ControlClient(controlAddresses, ports))
    }

    private fun announcement(
        number: Int,
        heartbeats: Int,
    ) = Announcement(
        upstream = UpstreamId("bench-$number"),
        zone = ZoneName("bench"),
        agentHost = "127.0.0.1",
        agentPort = 1,
        incarnation = 1,
        versions = listOf(ModelVersion("bench-model", "1")),
        load =
            UpstreamLoad(
                permits = ANNOUNCED_PERMITS,
                running = heartbeats % ANNOUNCED_PERMITS,
                queuedTokens = heartbeats.toLong(),
            ),
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
