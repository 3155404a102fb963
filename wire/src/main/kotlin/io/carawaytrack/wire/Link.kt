/*
 * An authenticated, ordered stream of messages between two processes. Sends are queued and written by one coroutine,
 * which flushes only when nothing more is waiting, so that many small messages share one packet. A link that hears
 * nothing for a while closes itself: over a cut network TCP alone would keep it open for minutes.
 */
package io.carawaytrack.wire

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.onFailure
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.notRun
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.port
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean

private val logger = KotlinLogging.logger {}

/** Bound on the handshake, in milliseconds. */
public const val HANDSHAKE_TIMEOUT_MILLIS: Long = 3_000

/** Interval of [Ping] on an idle link, in milliseconds. */
public const val PING_INTERVAL_MILLIS: Long = 1_000

/** Silence after which a link closes itself, in milliseconds. */
public const val PEER_TIMEOUT_MILLIS: Long = 4_000

/** Bound on the sending of what is queued when a process stops, in milliseconds. */
public const val DRAIN_TIMEOUT_MILLIS: Long = 2_000

private const val OUTBOX_MESSAGES = 256
private const val MESSAGES_PER_FLUSH = 32

/** Carries messages to and from one peer. */
public interface Link : AutoCloseable {
    /** Identity that the peer has proved. */
    public val peer: PeerIdentity

    /** Queues [message], waiting while the peer reads slowly; returns false when the link is closed. */
    public suspend fun send(message: Message): Boolean

    /** Queues [message] without waiting; returns false when the queue is full or the link is closed. */
    public fun offer(message: Message): Boolean

    /** Returns the next message, or null when the link has closed. */
    public suspend fun receive(): Message?
}

/** Opens and accepts links for one process; closing it closes them all. */
public interface LinkHub : AutoCloseable {
    /** Connects to [address]. Fails with `ControlUnavailable` when nobody answers, else as the handshake says. */
    public suspend fun connect(address: HostPort): Result<Link, Failure>

    /** Accepts links on [address], each served by [serve]; returns the port, which differs from 0. */
    public suspend fun listen(
        address: HostPort,
        serve: suspend (Link) -> Unit,
    ): Int

    /** Sends what is queued on every link, then closes the link; waits at most [DRAIN_TIMEOUT_MILLIS]. */
    public suspend fun drain()
}

/** Creates a hub whose links carry [self] and authenticate by [secret]. */
public fun LinkHub(
    self: PeerIdentity,
    secret: SharedSecret,
    nowMillis: () -> Long,
): LinkHub = SocketLinkHub(self, secret, nowMillis)

private class SocketLinkHub(
    private val self: PeerIdentity,
    private val secret: SharedSecret,
    private val nowMillis: () -> Long,
) : LinkHub {
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val links = ConcurrentHashMap.newKeySet<SocketLink>()

    override suspend fun connect(address: HostPort): Result<Link, Failure> {
        val socket =
            withTimeoutOrNull(HANDSHAKE_TIMEOUT_MILLIS) { dial(address) }
                ?: return Err(unreachable(address))
        return handshake(socket, ::connectHandshake)
    }

    private suspend fun dial(address: HostPort): Socket? = try {
        aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true }
    } catch (refused: IOException) {
        logger.debug { "no connection to $address: ${refused.message}" }
        null
    }

    override suspend fun listen(
        address: HostPort,
        serve: suspend (Link) -> Unit,
    ): Int {
        val server = aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }
        scope.launch {
            server.use {
                while (isActive) {
                    val socket = server.accept()
                    scope.launch { accept(socket, serve) }
                }
            }
        }
        return (server.localAddress as InetSocketAddress).port
    }

    private suspend fun accept(
        socket: Socket,
        serve: suspend (Link) -> Unit,
    ) {
        val link =
            handshake(socket, ::acceptHandshake)
                .onFailure { logger.warn { "refused a link: ${it.detail}" } }
                .getOrElse { return }
        link.use { serve(it) }
    }

    private suspend fun handshake(
        socket: Socket,
        agree: suspend (ByteReadChannel, ByteWriteChannel, PeerIdentity, SharedSecret) -> Result<PeerIdentity, Failure>,
    ): Result<Link, Failure> {
        val read = socket.openReadChannel()
        val write = ByteChannel(autoFlush = false)
        val sending = socket.attachForWriting(write).job
        val peer =
            withTimeoutOrNull(HANDSHAKE_TIMEOUT_MILLIS) { guarded { agree(read, write, self, secret) } }
                ?: Err(violation("a handshake", "nothing within $HANDSHAKE_TIMEOUT_MILLIS ms"))
        return peer.mapBoth(
            { Ok(opened(SocketLink(it, socket, read, write, sending, scope, nowMillis))) },
            { failure ->
                socket.close()
                Err(failure)
            },
        )
    }

    private fun opened(link: SocketLink): Link {
        links += link
        link.start(onClose = { links -= link })
        return link
    }

    override suspend fun drain() {
        withTimeoutOrNull(DRAIN_TIMEOUT_MILLIS) { links.toList().forEach { it.drain() } }
    }

    private suspend fun guarded(agree: suspend () -> Result<PeerIdentity, Failure>): Result<PeerIdentity, Failure> =
        try {
            agree()
        } catch (broken: IOException) {
            Err(violation("a handshake", broken.message))
        }

    override fun close() {
        scope.cancel()
        selector.close()
    }
}

private fun unreachable(address: HostPort): Failure =
    ErrorKind.ControlUnavailable.notRun("expected $address to accept within $HANDSHAKE_TIMEOUT_MILLIS ms")

private class SocketLink(
    override val peer: PeerIdentity,
    private val socket: Socket,
    private val read: ByteReadChannel,
    private val write: ByteWriteChannel,
    private val sending: Job,
    private val scope: CoroutineScope,
    private val nowMillis: () -> Long,
) : Link {
    private val outbox = Channel<Message>(OUTBOX_MESSAGES)
    private val closed = AtomicBoolean(false)

    @Volatile
    private var heardAtMillis = nowMillis()

    fun start(onClose: () -> Unit) {
        scope.launch { writeAll() }.invokeOnCompletion {
            close()
            onClose()
        }
        scope.launch { keepAlive() }
    }

    /** Lets everything that is queued reach the socket, then closes the link. */
    suspend fun drain() {
        outbox.close()
        sending.join()
        close()
    }

    override suspend fun send(message: Message): Boolean = try {
        outbox.send(message)
        true
    } catch (_: ClosedSendChannelException) {
        false
    } catch (_: CancellationException) {
        // The queue of a closed link is cancelled; the caller itself may have been as well.
        currentCoroutineContext().ensureActive()
        false
    }

    override fun offer(message: Message): Boolean = outbox.trySend(message).isSuccess

    override suspend fun receive(): Message? {
        while (true) {
            val message = nextFrame() ?: return null
            heardAtMillis = nowMillis()
            if (message !is Ping) return message
        }
    }

    private suspend fun nextFrame(): Message? {
        val frame =
            try {
                read.readFrame(MAX_FRAME_BYTES)
            } catch (broken: IOException) {
                logger.debug { "link to ${peer.node} broke: ${broken.message}" }
                null
            }
        if (frame == null) {
            close()
            return null
        }
        return frame.getOrElse { failure ->
            logger.warn { "closed the link to ${peer.node}: ${failure.detail}" }
            close()
            null
        }
    }

    private suspend fun writeAll() {
        try {
            for (message in outbox) {
                write.writeFrame(message)
                writeWaiting()
                write.flush()
            }
            write.flushAndClose()
            sending.join()
        } catch (broken: IOException) {
            logger.debug { "link to ${peer.node} broke: ${broken.message}" }
        } catch (cancelled: CancellationException) {
            logger.debug { "link to ${peer.node} ended" }
            throw cancelled
        }
    }

    private suspend fun writeWaiting() {
        repeat(MESSAGES_PER_FLUSH) {
            val message = outbox.tryReceive().getOrNull() ?: return
            write.writeFrame(message)
        }
    }

    private suspend fun keepAlive() {
        while (!closed.get()) {
            delay(PING_INTERVAL_MILLIS)
            val silentMillis = nowMillis() - heardAtMillis
            if (silentMillis > PEER_TIMEOUT_MILLIS) {
                logger.warn { "closed the link to ${peer.node}: expected a message, silent for $silentMillis ms" }
                close()
            }
            outbox.trySend(Ping)
        }
    }

    override fun close() {
        if (!closed.compareAndSet(false, true)) return
        outbox.cancel()
        socket.close()
    }
}
