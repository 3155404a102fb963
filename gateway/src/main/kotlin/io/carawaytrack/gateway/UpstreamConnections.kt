/*
 * Connections to upstreams. A connection carries one request at a time and is kept for the next one only after an
 * answer that ended where it should. What happens to an attempt is told exactly: whether a byte of it can have left,
 * whether the answer is complete, and what arrived out of place.
 */
package io.carawaytrack.gateway

import io.carawaytrack.model.HostPort
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** Bound on the opening of a connection to an upstream, in milliseconds: some hundred round trips. */
private const val CONNECT_TIMEOUT_MILLIS = 350

/** Time for which an idle connection is kept where the upstream states none, in milliseconds. */
private const val DEFAULT_KEEP_ALIVE_MILLIS = 4_000L

/** Time before the stated end of an idle connection at which it is no longer used, in milliseconds. */
private const val KEEP_ALIVE_MARGIN_MILLIS = 700L

/** Idle time up to which a connection may carry a request that can't be repeated, in milliseconds. */
private const val NON_RETRYABLE_MAX_IDLE_MILLIS = 250L

/** Idle connections kept for one upstream; the hosts share its limit on connections. */
private const val MAX_IDLE_CONNECTIONS = 12

private const val MAX_LINE_BYTES = 8_192
private const val MAX_HEADER_BYTES = 65_536
private const val MAX_CHUNK_BYTES = 65_536
private const val MILLIS_PER_SECOND = 1_000L
private const val KEEP_ALIVE = "Keep-Alive"

private val decoderConfig =
    HttpDecoderConfig()
        .setMaxInitialLineLength(MAX_LINE_BYTES)
        .setMaxHeaderSize(MAX_HEADER_BYTES)
        .setMaxChunkSize(MAX_CHUNK_BYTES)

/** Says how an attempt ended without a complete answer. */
internal enum class AttemptEnd {
    /** No connection could be opened: nothing was sent. */
    NotConnected,

    /** A kept connection was closed before any byte of an answer; it may have run. */
    ClosedUnanswered,

    /** The connection broke, or what arrived was no answer to this request. */
    Broken,
}

/** Takes what becomes of one attempt; all calls come on the event loop. */
internal interface AttemptListener {
    /** Takes the head of an answer that repeats the attempt's identifier, or carries none. */
    fun head(response: HttpResponse)

    /** Takes a part of the body, which the listener releases. */
    fun content(bytes: ByteBuf)

    /** Tells that the answer is complete. */
    fun complete()

    /** Tells that nothing more will come. */
    fun failed(end: AttemptEnd)

    /** Tells that all that has arrived at once has been handed over. */
    fun flush()
}

/** One attempt on its way; [cancel] closes its connection, upon which the upstream drops the request. */
internal class Attempt(
    val request: FullHttpRequest,
    val attemptIdHeader: String,
    val listener: AttemptListener,
) {
    private var connection: Channel? = null
    var ended = false
        private set

    fun attachTo(channel: Channel) {
        connection = channel
    }

    fun pauseReading(paused: Boolean) {
        connection?.config()?.isAutoRead = !paused
    }

    fun end() {
        ended = true
        connection = null
    }

    /** Lets go of the attempt; its listener hears nothing more. */
    fun cancel() {
        if (ended) return
        ended = true
        connection?.close()
        connection = null
    }
}

internal class UpstreamConnections(
    private val group: EventLoopGroup,
    private val nowMillis: () -> Long,
) {
    private val idle = HashMap<HostPort, ArrayDeque<UpstreamConnection>>()

    /** Sends [attempt] to [address], on a kept connection if there is one; only a fresh one where [unrepeatable]. */
    fun send(
        address: HostPort,
        attempt: Attempt,
        nonRetryable: Boolean,
    ) {
        val pooled = takeIdle(address, if (nonRetryable) NON_RETRYABLE_MAX_IDLE_MILLIS else Long.MAX_VALUE)
        if (pooled != null) pooled.start(attempt) else connect(address, attempt)
    }

    /** Closes idle connections whose time is over. */
    fun prune() {
        idle.values.forEach { connections ->
            connections.filter { !it.isUsable(nowMillis()) }.forEach { it.channel.close() }
            connections.removeIf { !it.isUsable(nowMillis()) }
        }
        idle.values.removeIf { it.isEmpty() }
    }

    /** Closes the idle connections to [address], whose holder has gone. */
    fun closeIdle(address: HostPort) {
        idle.remove(address)?.forEach { it.channel.close() }
    }

    private fun takeIdle(
        address: HostPort,
        maxIdleMillis: Long,
    ): UpstreamConnection? {
        val connections = idle[address] ?: return null
        while (true) {
            val newest = connections.removeLastOrNull() ?: return null
            val now = nowMillis()
            if (newest.isUsable(now) && now - newest.idleSinceMillis <= maxIdleMillis) return newest
            newest.channel.close()
        }
    }

    private fun connect(
        address: HostPort,
        attempt: Attempt,
    ) {
        val connection = UpstreamConnection(address)
        Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(initializer(connection))
            .connect(address.host, address.port)
            .addListener { opening ->
                if (opening.isSuccess) {
                    connection.start(attempt)
                } else {
                    connectFailed(attempt)
                }
            }
    }

    private fun connectFailed(attempt: Attempt) {
        attempt.request.release()
        if (attempt.ended) return
        attempt.end()
        attempt.listener.failed(AttemptEnd.NotConnected)
    }

    private fun initializer(connection: UpstreamConnection) = object : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            connection.channel = channel
            channel.pipeline().addLast(
                HttpClientCodec(decoderConfig, false, false),
                connection,
            )
        }
    }

    private fun addIdle(connection: UpstreamConnection) {
        val connections = idle.getOrPut(connection.address) { ArrayDeque() }
        if (connections.size >= MAX_IDLE_CONNECTIONS) connection.channel.close() else connections.addLast(connection)
    }

    internal inner class UpstreamConnection(
        val address: HostPort,
    ) : ChannelInboundHandlerAdapter() {
        lateinit var channel: Channel
        var idleSinceMillis = 0L
            private set
        private var keepAliveMillis = DEFAULT_KEEP_ALIVE_MILLIS
        private var attempt: Attempt? = null
        private var response: HttpResponse? = null
        private var mismatched = false
        private var reused = false
        private var received = false
        private var reusable = true
        private var broken = false
        private var written = false

        fun isUsable(now: Long) = channel.isActive && now - idleSinceMillis < keepAliveMillis - KEEP_ALIVE_MARGIN_MILLIS

        fun start(next: Attempt) {
            if (next.ended) {
                next.request.release()
                if (reused) becomeIdle() else channel.close()
                return
            }
            attempt = next
            response = null
            received = false
            written = false
            next.attachTo(channel)
            channel.config().isAutoRead = true
            channel.writeAndFlush(next.request).addListener { written = it.isSuccess }
        }

        override fun channelRead(
            context: ChannelHandlerContext,
            message: Any,
        ) {
            received = true
            val current = attempt
            when {
                current == null || current.ended -> {
                    // An extra answer, or the rest of one that nobody waits for: the connection can't be trusted.
                    ReferenceCountUtil.release(message)
                    channel.close()
                }
                message is HttpResponse && message.decoderResult().isFailure -> breakOff(message)
                message is HttpResponse -> {
                    head(current, message)
                    if (message is HttpContent) body(current, message)
                }
                message is HttpContent && message.decoderResult().isFailure -> breakOff(message)
                message is HttpContent -> body(current, message)
                else -> ReferenceCountUtil.release(message)
            }
        }

        private fun breakOff(message: Any) {
            ReferenceCountUtil.release(message)
            broken = true
            channel.close()
        }

        private fun head(
            current: Attempt,
            head: HttpResponse,
        ) {
            val responseAttemptId = head.headers()[current.attemptIdHeader]
            val informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL
            mismatched =
                informational ||
                (
                    responseAttemptId != null &&
                        responseAttemptId != current.request.headers()[current.attemptIdHeader]
                )
            if (mismatched) {
                if (!informational) reusable = false
                return
            }
            response = head
            reusable = reusable && HttpUtil.isKeepAlive(head) && isFramed(head)
            head.headers()[KEEP_ALIVE]?.let { keepAliveMillis = keepAliveMillis(it) }
            current.listener.head(head)
        }

        private fun isFramed(head: HttpResponse) =
            HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head)

        private fun body(
            current: Attempt,
            content: HttpContent,
        ) {
            if (mismatched) {
                content.release()
                return
            }
            if (current.ended) {
                content.release()
                channel.close()
                return
            }
            if (content.content().isReadable) current.listener.content(content.content()) else content.release()
            if (content is LastHttpContent && !current.ended) responseComplete(current)
        }

        private fun responseComplete(current: Attempt) {
            // An answer without a length that ends with a reset connection is not complete.
            if (broken) return
            attempt = null
            current.end()
            if (reusable && written && channel.isActive) becomeIdle() else channel.close()
            current.listener.complete()
        }

        private fun becomeIdle() {
            reused = true
            idleSinceMillis = nowMillis()
            addIdle(this)
        }

        override fun channelReadComplete(context: ChannelHandlerContext) {
            attempt?.takeIf { !it.ended }?.listener?.flush()
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            idle[address]?.remove(this)
            val current = attempt ?: return
            attempt = null
            if (current.ended) return
            current.end()
            current.listener.failed(if (reused && !received) AttemptEnd.ClosedUnanswered else AttemptEnd.Broken)
        }

        @Deprecated("Netty's own signature")
        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) {
            broken = true
            logUnexpected("upstream", cause)
            context.close()
        }

        private fun keepAliveMillis(header: String): Long {
            val advertised = header.substringAfter("timeout=", "").takeWhile(Char::isDigit).toLongOrNull()
            return advertised?.let { it * MILLIS_PER_SECOND } ?: DEFAULT_KEEP_ALIVE_MILLIS
        }
    }
}
