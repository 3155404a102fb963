/*
 * A link without a network for tests: the test plays the peer. It puts messages in, reads what the tested side has
 * sent, and can cut the link at any point. Nothing waits on time, only on messages.
 */
package io.carawaytrack.fakes

import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.ZoneName
import io.carawaytrack.wire.Link
import io.carawaytrack.wire.Message
import io.carawaytrack.wire.PeerIdentity
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel

/** Identifies a process of the tests in zone `z1`. */
public fun testPeer(
    node: String,
    role: NodeRole,
): PeerIdentity = PeerIdentity(NodeId(node), role, ZoneName("z1"))

/** Joins the tested side to a peer that the test plays. */
public class FakeLink(
    override val peer: PeerIdentity,
) : Link {
    private val inbox = Channel<Message>(Channel.UNLIMITED)
    private val outbox = Channel<Message>(Channel.UNLIMITED)

    /** Completed when either side has closed the link. */
    public val closed: CompletableDeferred<Unit> = CompletableDeferred()

    /** Puts [message] in front of the tested side. */
    public fun deliver(message: Message) {
        inbox.trySend(message)
    }

    /** Returns the next message that the tested side has sent. */
    public suspend fun sent(): Message = outbox.receive()

    /** Returns a message already sent, or null. */
    public fun sentAlready(): Message? = outbox.tryReceive().getOrNull()

    override suspend fun send(message: Message): Boolean = offer(message)

    override fun offer(message: Message): Boolean = !closed.isCompleted && outbox.trySend(message).isSuccess

    override suspend fun receive(): Message? = inbox.receiveCatching().getOrNull()

    /** Closes the link; what has been delivered can still be read. */
    override fun close() {
        inbox.close()
        closed.complete(Unit)
    }
}

/** Returns the next message of type [T] that the tested side has sent, and drops those before it. */
public suspend inline fun <reified T : Message> FakeLink.sentOf(): T {
    while (true) {
        val message = sent()
        if (message is T) return message
    }
}
