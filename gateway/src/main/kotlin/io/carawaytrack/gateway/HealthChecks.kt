/*
 * Checks of whether an upstream answers at all: a request for its health path on a new connection. The health path
 * answers at once also on a busy engine, and a machine that is down does not answer connection attempts.
 */
package io.carawaytrack.gateway

import io.carawaytrack.model.HostPort
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit

/** Timeout for opening the connection: some hundred round trips. */
private const val CONNECT_TIMEOUT_MILLIS = 350

/** Timeout from the start of a check to the first byte of its answer. */
private const val ANSWER_TIMEOUT_MILLIS = 450L

internal class HealthChecks(
    private val group: EventLoopGroup,
) {
    /** Reports to [done] whether the upstream at [address] sends any answer to a request for [path]. */
    fun check(
        address: HostPort,
        path: String,
        done: (Boolean) -> Unit,
    ) {
        val check = Check(address, path, done)
        Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(check)
            .connect(address.host, address.port)
            .addListener(
                ChannelFutureListener { connected ->
                    if (!connected.isSuccess) return@ChannelFutureListener check.end(answered = false)
                    val timeout =
                        Runnable {
                            check.end(answered = false)
                            connected.channel().close()
                        }
                    val timer = connected.channel().eventLoop().schedule(timeout, ANSWER_TIMEOUT_MILLIS, MILLIS)
                    connected.channel().closeFuture().addListener { timer.cancel(false) }
                },
            )
    }

    private class Check(
        private val address: HostPort,
        private val path: String,
        private val done: (Boolean) -> Unit,
    ) : ChannelInboundHandlerAdapter() {
        private var ended = false

        fun end(answered: Boolean) {
            if (ended) return
            ended = true
            done(answered)
        }

        override fun channelActive(context: ChannelHandlerContext) {
            val request = "GET $path HTTP/1.1\r\nHost: $address\r\nConnection: close\r\n\r\n"
            context.writeAndFlush(Unpooled.wrappedBuffer(request.encodeToByteArray()))
        }

        override fun channelRead(
            context: ChannelHandlerContext,
            message: Any,
        ) {
            ReferenceCountUtil.release(message)
            end(answered = true)
            context.close()
        }

        /** An upstream that closes the connection is alive: it may have reached its limit on connections. */
        override fun channelInactive(context: ChannelHandlerContext) = end(answered = true)

        @Deprecated("Netty's own signature")
        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) {
            end(answered = false)
            context.close()
        }
    }

    private companion object {
        val MILLIS = TimeUnit.MILLISECONDS
    }
}
