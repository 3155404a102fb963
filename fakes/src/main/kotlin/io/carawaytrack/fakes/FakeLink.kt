/*
 * An in-memory link for tests, which act as the remote peer: a test delivers messages to the side under test, reads
 * the messages that it sends, and can close the link at any point. Nothing depends on timing, only on messages.
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

/** Returns the identity of a test process in zone `z1`. */
public fun testPeer(
    node: String,
    role: NodeRole,
): PeerIdentity = PeerIdentity(NodeId(node), role, ZoneName("z1"))

/** Connects the side under test to a [peer] whose part the test takes. */
public class FakeLink(
    override val peer: PeerIdentity,
) : Link {
    private val inbox = Channel<Message>(Channel.UNLIMITED)
    private val outbox = Channel<Message>(Channel.UNLIMITED)

    /** Completed when either side has closed the link. */
    public val closed: CompletableDeferred<Unit> = CompletableDeferred()

    /** Delivers [message] to the side under test. */
    public fun deliver(message: Message) {
        inbox.trySend(message)
    }

    /** Waits for the next message from the side under test and returns it. */
    public suspend fun awaitSent(): Message = outbox.receive()

    /** Returns the next message already sent by the side under test, or null if there is none. */
    public fun sentOrNull(): Message? = outbox.tryReceive().getOrNull()

    override suspend fun send(message: Message): Boolean = offer(message)

    override fun offer(message: Message): Boolean = !closed.isCompleted && outbox.trySend(message).isSuccess

    override suspend fun receive(): Message? = inbox.receiveCatching().getOrNull()

    /** Closes the link; messages delivered before can still be received. */
    override fun close() {
        inbox.close()
        closed.complete(Unit)
    }
}

/** Waits for the next message of type [T] from the side under test and returns it, dropping those before it. */
public suspend inline fun <reified T : Message> FakeLink.awaitSentOf(): T {
    while (true) {
        val message = awaitSent()
        if (message is T) return message
    }
}
