/*
 * An authenticated, ordered stream of messages between two processes. Messages are queued and written by one coroutine,
 * which flushes after each batch, so that many small messages share one packet. A link that receives no message within
 * the peer timeout is closed: after a network partition, TCP alone would keep the connection open for minutes.
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

/** Timeout of the TCP connect and of the handshake, each, in milliseconds. */
public const val HANDSHAKE_TIMEOUT_MILLIS: Long = 3_000

/** Interval at which [Ping] is sent on a link, in milliseconds. */
public const val PING_INTERVAL_MILLIS: Long = 1_000

/** Time without a message from the peer after which a link is closed, in milliseconds. */
public const val PEER_TIMEOUT_MILLIS: Long = 4_000

/** Timeout for sending the queued messages of all links when a process stops, in milliseconds. */
public const val DRAIN_TIMEOUT_MILLIS: Long = 2_000

private const val MAX_OUTBOX_MESSAGES = 256
private const val MESSAGES_PER_FLUSH = 32

/** A connection to one peer. */
public interface Link : AutoCloseable {
    /** Identity of the peer; the handshake authenticates its [PeerIdentity.node]. */
    public val peer: PeerIdentity

    /** Queues [message], suspending while the queue is full; returns false if the link is closed. */
    public suspend fun send(message: Message): Boolean

    /** Queues [message] without suspending; returns false if the queue is full or the link is closed. */
    public fun offer(message: Message): Boolean

    /** Returns the next message, or null once the link is closed. */
    public suspend fun receive(): Message?
}

/** Opens and accepts the links of one process; closing the hub closes all of them. */
public interface LinkHub : AutoCloseable {
    /**
     * Connects to [address]. Fails with `ControlUnavailable` if no connection can be established, otherwise with the
     * failure of the handshake.
     */
    public suspend fun connect(address: HostPort): Result<Link, Failure>

    /**
     * Accepts links on [address] and runs [serve] for each; a link is closed when [serve] returns. Returns the bound
     * port, which the operating system chooses if the port of [address] is 0.
     */
    public suspend fun listen(
        address: HostPort,
        serve: suspend (Link) -> Unit,
    ): Int

    /** Sends the queued messages of each link, then closes it; suspends for at most [DRAIN_TIMEOUT_MILLIS]. */
    public suspend fun drain()
}

/** Creates a hub whose links identify this process as [self] and authenticate with [secret]. */
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
            withTimeoutOrNull(HANDSHAKE_TIMEOUT_MILLIS) { openSocket(address) }
                ?: return Err(connectFailure(address))
        return handshake(socket, ::connectHandshake)
    }

    private suspend fun openSocket(address: HostPort): Socket? = try {
        aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true }
    } catch (e: IOException) {
        logger.debug { "could not connect to $address: ${e.message}" }
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
                .onFailure { logger.warn { "handshake of an accepted connection failed: ${it.detail}" } }
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
            withTimeoutOrNull(HANDSHAKE_TIMEOUT_MILLIS) { catchIoErrors { agree(read, write, self, secret) } }
                ?: Err(protocolViolation("a complete handshake", "none within $HANDSHAKE_TIMEOUT_MILLIS ms"))
        return peer.mapBoth(
            { Ok(startLink(SocketLink(it, socket, read, write, sending, scope, nowMillis))) },
            { failure ->
                socket.close()
                Err(failure)
            },
        )
    }

    private fun startLink(link: SocketLink): Link {
        links += link
        link.start(onClose = { links -= link })
        return link
    }

    override suspend fun drain() {
        withTimeoutOrNull(DRAIN_TIMEOUT_MILLIS) { links.toList().forEach { it.drain() } }
    }

    private suspend fun catchIoErrors(
        agree: suspend () -> Result<PeerIdentity, Failure>,
    ): Result<PeerIdentity, Failure> = try {
        agree()
    } catch (e: IOException) {
        Err(protocolViolation("a complete handshake", e.message))
    }

    override fun close() {
        scope.cancel()
        selector.close()
    }
}

private fun connectFailure(address: HostPort): Failure =
    ErrorKind.ControlUnavailable.notRun("expected $address to accept a link within $HANDSHAKE_TIMEOUT_MILLIS ms")

private class SocketLink(
    override val peer: PeerIdentity,
    private val socket: Socket,
    private val read: ByteReadChannel,
    private val write: ByteWriteChannel,
    private val sending: Job,
    private val scope: CoroutineScope,
    private val nowMillis: () -> Long,
) : Link {
    private val outbox = Channel<Message>(MAX_OUTBOX_MESSAGES)
    private val closed = AtomicBoolean(false)

    @Volatile
    private var lastReceivedAtMillis = nowMillis()

    fun start(onClose: () -> Unit) {
        scope.launch { writeQueued() }.invokeOnCompletion {
            close()
            onClose()
        }
        scope.launch { keepAlive() }
    }

    /** Writes all queued messages to the socket, then closes the link. */
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
        // Closing the link cancels the queue; rethrows if the calling coroutine itself was cancelled.
        currentCoroutineContext().ensureActive()
        false
    }

    override fun offer(message: Message): Boolean = outbox.trySend(message).isSuccess

    override suspend fun receive(): Message? {
        while (true) {
            val message = readMessage() ?: return null
            lastReceivedAtMillis = nowMillis()
            if (message !is Ping) return message
        }
    }

    private suspend fun readMessage(): Message? {
        val frame =
            try {
                read.readFrame(MAX_FRAME_BYTES)
            } catch (e: IOException) {
                logger.debug { "could not read from the link to ${peer.node}: ${e.message}" }
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

    private suspend fun writeQueued() {
        try {
            for (message in outbox) {
                write.writeFrame(message)
                writeBatch()
                write.flush()
            }
            write.flushAndClose()
            sending.join()
        } catch (e: IOException) {
            logger.debug { "could not write to the link to ${peer.node}: ${e.message}" }
        } catch (e: CancellationException) {
            logger.debug { "cancelled the writer of the link to ${peer.node}" }
            throw e
        }
    }

    private suspend fun writeBatch() {
        repeat(MESSAGES_PER_FLUSH) {
            val message = outbox.tryReceive().getOrNull() ?: return
            write.writeFrame(message)
        }
    }

    private suspend fun keepAlive() {
        while (!closed.get()) {
            delay(PING_INTERVAL_MILLIS)
            val idleMillis = nowMillis() - lastReceivedAtMillis
            if (idleMillis > PEER_TIMEOUT_MILLIS) {
                logger.warn {
                    "closed the link to ${peer.node}: expected a message within $PEER_TIMEOUT_MILLIS ms, " +
                        "got none for $idleMillis ms"
                }
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
