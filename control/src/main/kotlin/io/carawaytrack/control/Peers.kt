/*
 * The links to the other control hosts. Messages of the replicated log may be lost, so one that cannot be sent at once
 * is dropped; the log sends again what matters.
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

private const val REDIAL_MILLIS = 200L

internal class Peers(
    private val hub: LinkHub,
    private val scope: CoroutineScope,
    private val self: NodeId,
) {
    private val links = ConcurrentHashMap<NodeId, Link>()
    private val dialling = ConcurrentHashMap<NodeId, Job>()

    /** Keeps links to the other hosts of [members], also to those that were not known before. */
    fun reach(members: Map<NodeId, HostPort>) {
        members.filterKeys { it != self }.forEach { (node, address) ->
            dialling.computeIfAbsent(node) { scope.launch { stayConnected(node, address) } }
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
            if (link != null) hold(node, link)
            delay(REDIAL_MILLIS)
        }
    }

    private suspend fun hold(
        node: NodeId,
        link: Link,
    ) {
        if (link.peer.node != node) logger.warn { "expected control host $node, got ${link.peer.node}" }
        link.use {
            links[node] = link
            // The acceptor sends nothing on this link; receiving only notices its end.
            while (link.receive() != null) continue
        }
        links.remove(node, link)
    }
}
