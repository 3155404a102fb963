/*
 * The connections between hosts: frames with a length in front, over TCP, all on one event loop. A link on which
 * nothing arrives for a while is closed, because a cut network leaves connections open for minutes.
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

/** Largest frame, in bytes: a snapshot chunk or a whole document with room to spare. */
private const val MAX_FRAME_BYTES = 8 * 1024 * 1024

/** Bytes of the length in front of a frame. */
private const val LENGTH_BYTES = 4

/** Bound on the opening of a connection to another host, in milliseconds: many times the longest round trip. */
private const val CONNECT_TIMEOUT_MILLIS = 700

/** Bytes that may wait for a slow peer; beyond them messages to it are dropped, as all of them are repeated. */
private const val MAX_WAITING_BYTES = 16L * 1024 * 1024

/** A connection to another host; [peer] is null until its hello has arrived. */
internal class MeshLink(
    private val channel: Channel,
    val dialled: HostPort?,
    var heardAtMillis: Long,
) {
    var peer: PeerInfo? = null
    var pulse: MeshMessage.Pulse? = null
    val isOpen: Boolean get() = channel.isActive

    fun send(message: MeshMessage) = send(message.encode())

    /** Sends an encoded message; for one that goes to many peers. */
    fun send(encoded: ByteArray) {
        val waitingBytes = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0
        if (!channel.isActive || waitingBytes > MAX_WAITING_BYTES) return
        channel.writeAndFlush(Unpooled.wrappedBuffer(encoded), channel.voidPromise())
    }

    fun close() {
        channel.close()
    }
}

/** Takes what happens on links; all calls come on the event loop. */
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

    /** Opens a link to [address]; the outcome arrives as an event. */
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
                LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                LengthFieldPrepender(LENGTH_BYTES),
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
            link.heardAtMillis = nowMillis()
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

        @Deprecated("Netty's own signature")
        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) {
            if (cause !is IOException) logger.warn(cause) { "the link to ${link?.peer?.address} failed" }
            context.close()
        }
    }
}
