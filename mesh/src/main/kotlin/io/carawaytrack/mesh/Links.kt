/*
 * Connections between hosts: length-prefixed frames over TCP, all on one event loop. A link that receives nothing for
 * some time is closed, because a network partition leaves connections open for minutes.
 */
package io.carawaytrack.mesh

import io.carawaytrack.model.HostPort
import io.carawaytrack.telemetry.event
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.LengthFieldBasedFrameDecoder
import io.netty.handler.codec.LengthFieldPrepender
import java.io.IOException

private val logger = KotlinLogging.logger {}

/** Maximum frame size: fits a snapshot chunk or a whole document with a margin. */
private const val MAX_FRAME_BYTES = 8 * 1024 * 1024

/** Size of the length prefix of a frame. */
private const val LENGTH_PREFIX_BYTES = 4

/** Timeout for connecting to another host: many times the longest round trip. */
private const val CONNECT_TIMEOUT_MILLIS = 700

/** Maximum data pending for a slow peer; further messages are dropped, since all messages are sent repeatedly. */
private const val MAX_PENDING_BYTES = 16L * 1024 * 1024

/** Connection to another host; [peer] is null until its hello message has arrived. */
internal class MeshLink(
    private val channel: Channel,
    val dialled: HostPort?,
    var lastReceivedAtMillis: Long,
) {
    var peer: PeerInfo? = null
    var heartbeat: MeshMessage.Heartbeat? = null
    val isOpen: Boolean get() = channel.isActive

    fun send(message: MeshMessage) = send(message.encode())

    /** Sends an encoded message, so that a message to several peers is encoded once. */
    fun send(encoded: ByteArray) {
        val pendingBytes = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0
        if (!channel.isActive || pendingBytes > MAX_PENDING_BYTES) return
        channel.writeAndFlush(Unpooled.wrappedBuffer(encoded), channel.voidPromise())
    }

    fun close() {
        channel.close()
    }
}

/** Callbacks for link events; all are called on the event loop. */
internal class LinkEvents(
    val opened: (MeshLink) -> Unit,
    val received: (MeshLink, MeshMessage) -> Unit,
    val closed: (MeshLink) -> Unit,
    val dialFailed: (HostPort) -> Unit,
)

internal class Links(
    private val group: EventLoopGroup,
    private val events: LinkEvents,
    private val nowMillis: () -> Long,
) {
    /** Accepts links on [address] and returns the listening channel. */
    fun listen(address: HostPort): Channel = ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(initializer(dialled = null))
        .bind(address.host, address.port)
        .syncUninterruptibly()
        .channel()

    /** Opens a link to [address]; the outcome is reported as an event. */
    fun dial(address: HostPort) {
        Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(initializer(address))
            .connect(address.host, address.port)
            .addListener { if (!it.isSuccess) events.dialFailed(address) }
    }

    private fun initializer(dialled: HostPort?) = object : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            channel.pipeline().addLast(
                LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_PREFIX_BYTES, 0, LENGTH_PREFIX_BYTES),
                LengthFieldPrepender(LENGTH_PREFIX_BYTES),
                LinkHandler(dialled),
            )
        }
    }

    private inner class LinkHandler(
        private val dialled: HostPort?,
    ) : SimpleChannelInboundHandler<ByteBuf>() {
        private var link: MeshLink? = null

        override fun channelActive(context: ChannelHandlerContext) {
            val opened = MeshLink(context.channel(), dialled, nowMillis())
            link = opened
            events.opened(opened)
        }

        override fun channelRead0(
            context: ChannelHandlerContext,
            frame: ByteBuf,
        ) {
            val link = link ?: return
            link.lastReceivedAtMillis = nowMillis()
            val bytes = ByteArray(frame.readableBytes()).also(frame::readBytes)
            val message = decodeMeshMessage(bytes)
            if (message == null) {
                val fields = mapOf("peer" to link.peer?.address?.toString(), "bytes" to bytes.size)
                logger.event("mesh_frame_unreadable", fields, Level.WARN)
            } else {
                events.received(link, message)
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            link?.let(events.closed)
        }

        @Deprecated("Deprecated in Netty, but still the callback for exceptions")
        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) {
            if (cause !is IOException) logger.warn(cause) { "link to ${link?.peer?.address} failed" }
            context.close()
        }
    }
}
