/*
 * Maintains the links to the other control hosts. A message that cannot be sent at once is dropped, since the
 * replicated log tolerates lost messages and retries those that matter.
 */
package io.carawaytrack.control

import com.github.michaelbull.result.getOrElse
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.NodeId
import io.carawaytrack.wire.Link
import io.carawaytrack.wire.LinkHub
import io.carawaytrack.wire.LogMessage
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

private val logger = KotlinLogging.logger {}

private const val RECONNECT_DELAY_MILLIS = 200L

internal class Peers(
    private val hub: LinkHub,
    private val scope: CoroutineScope,
    private val self: NodeId,
) {
    private val links = ConcurrentHashMap<NodeId, Link>()
    private val connectionJobs = ConcurrentHashMap<NodeId, Job>()

    /** Maintains links to the other hosts of [members] and starts connecting to new ones. */
    fun connect(members: Map<NodeId, HostPort>) {
        members.filterKeys { it != self }.forEach { (node, address) ->
            connectionJobs.computeIfAbsent(node) { scope.launch { stayConnected(node, address) } }
        }
    }

    fun send(
        to: NodeId,
        payload: ByteArray,
    ) {
        links[to]?.offer(LogMessage(payload))
    }

    private suspend fun CoroutineScope.stayConnected(
        node: NodeId,
        address: HostPort,
    ) {
        while (isActive) {
            val link =
                hub.connect(address).getOrElse { failure ->
                    logger.debug { failure.detail }
                    null
                }
            if (link != null) registerUntilClosed(node, link)
            delay(RECONNECT_DELAY_MILLIS)
        }
    }

    private suspend fun registerUntilClosed(
        node: NodeId,
        link: Link,
    ) {
        if (link.peer.node != node) logger.warn { "expected a link to control host $node, got ${link.peer.node}" }
        link.use {
            links[node] = link
            // The accepting side sends nothing on this link; receive() only detects when the link is closed.
            while (link.receive() != null) continue
        }
        links.remove(node, link)
    }
}
