/*
 * Serves the links of entries, agents and the other control hosts. A lease is granted only after a quorum has confirmed
 * that this host still leads, so that a cut-off leader cannot keep an old configuration alive.
 */
package io.carawaytrack.control

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import io.carawaytrack.consensus.Replica
import io.carawaytrack.ledger.decodeLedgerCommand
import io.carawaytrack.ledger.encode
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.LEASE_MILLIS
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.SuspectReport
import io.carawaytrack.telemetry.ControlMetrics
import io.carawaytrack.wire.ConfigurationPush
import io.carawaytrack.wire.Heartbeat
import io.carawaytrack.wire.LeaseGrant
import io.carawaytrack.wire.LedgerCall
import io.carawaytrack.wire.LedgerReply
import io.carawaytrack.wire.Link
import io.carawaytrack.wire.LogMessage
import io.carawaytrack.wire.NotLeading
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

private val logger = KotlinLogging.logger {}

internal class HolderService(
    private val replica: Replica,
    private val state: ControlState,
    private val registry: HolderRegistry,
    private val members: () -> Map<NodeId, HostPort>,
    private val metrics: ControlMetrics,
) {
    private val links = ConcurrentHashMap<Link, HolderLink>()

    /** Sends [configuration] to every holder that is connected here. */
    fun push(configuration: Configuration) {
        links.keys.filter { it.peer.role != NodeRole.Control }.forEach { it.offer(ConfigurationPush(configuration)) }
    }

    suspend fun serve(link: Link) {
        links[link] = HolderLink()
        try {
            coroutineScope { receiveAll(link) }
        } finally {
            links -= link
        }
    }

    private suspend fun CoroutineScope.receiveAll(link: Link) {
        while (true) {
            when (val message = link.receive() ?: return) {
                is LogMessage ->
                    if (link.peer.role ==
                        NodeRole.Control
                    ) {
                        replica.receive(link.peer.node, message.payload)
                    }
                is Heartbeat -> launch { answer(link, message) }
                is LedgerCall -> launch { answer(link, message) }
                else -> logger.warn { "ignored a ${message::class.simpleName} from ${link.peer.node}" }
            }
        }
    }

    private suspend fun answer(
        link: Link,
        heartbeat: Heartbeat,
    ) {
        replica.confirmLeadership().getOrElse {
            registry.lead(leading = false)
            link.send(NotLeading(heartbeat.sequence, leaderAddress()))
            return
        }
        registry.lead(leading = true)
        registry.heard(link.peer, heartbeat)
        metrics.heartbeat(link.peer.role)
        link.send(grant(link, heartbeat))
    }

    private fun grant(
        link: Link,
        heartbeat: Heartbeat,
    ): LeaseGrant {
        val configuration = state.configuration
        val membership =
            if (link.peer.role == NodeRole.Entry) registry.membershipSince(heartbeat.membershipNumber) else null
        return LeaseGrant(
            sequence = heartbeat.sequence,
            durationMillis = LEASE_MILLIS,
            configurationNumber = configuration.number,
            configuration = configuration.takeIf { it.number > heartbeat.configurationNumber },
            membership = membership,
            suspects = if (link.peer.role == NodeRole.Agent) suspectsFor(link) else emptyList(),
        )
    }

    private fun suspectsFor(link: Link): List<SuspectReport> {
        val held = links[link] ?: return emptyList()
        val news = registry.suspectsSince(held.suspectsNumber)
        held.suspectsNumber = news.number
        return news.reports
    }

    private suspend fun answer(
        link: Link,
        call: LedgerCall,
    ) {
        val command = ControlCommand.Record(decodeLedgerCommand(call.command))
        val committed = replica.propose(command.encode())
        val reply =
            committed.mapBoth(
                { LedgerReply(call.call, reply = recorded(it)) },
                { LedgerReply(call.call, failure = it) },
            )
        link.send(reply)
    }

    private fun recorded(reply: ByteArray): ByteArray? {
        val decoded = decodeControlReply(reply)
        return (decoded as? ControlReply.Recorded)?.reply?.encode()
    }

    private fun leaderAddress(): HostPort? = replica.status().leader?.let(members()::get)
}

/** What this host has told the holder at the other end of a link. */
private class HolderLink {
    @Volatile
    var suspectsNumber = 0L
}
