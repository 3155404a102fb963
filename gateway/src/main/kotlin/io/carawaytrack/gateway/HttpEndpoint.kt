/*
 * A small HTTP server for fully buffered requests and responses that runs on the gateway's event loop. It serves
 * operators, upstreams, health checks and metrics scrapers.
 */
package io.carawaytrack.gateway

import io.carawaytrack.model.HostPort
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion

/** Maximum size of a request body; it leaves a margin above the largest configuration document of an operator. */
private const val MAX_BODY_BYTES = 8 * 1024 * 1024

/** A request to an endpoint; [path] excludes the query. */
public class EndpointRequest(
    public val method: String,
    public val path: String,
    public val body: ByteArray,
)

/**
 * The response to an [EndpointRequest].
 *
 * @property location target of a redirect
 */
public class EndpointResponse(
    public val status: Int,
    public val body: ByteArray = ByteArray(0),
    public val contentType: String = "application/json",
    public val location: String? = null,
)

/** Serves [handler] on [address]; the handler responds immediately or later, on the event loop. */
public fun serveEndpoint(
    address: HostPort,
    group: EventLoopGroup,
    handler: (EndpointRequest, (EndpointResponse) -> Unit) -> Unit,
): AutoCloseable {
    val initializer =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                channel.pipeline().addLast(
                    HttpServerCodec(),
                    HttpObjectAggregator(MAX_BODY_BYTES),
                    EndpointHandler(handler),
                )
            }
        }
    val listening: Channel =
        ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer)
            .bind(address.host, address.port)
            .syncUninterruptibly()
            .channel()
    return AutoCloseable { listening.close() }
}

private class EndpointHandler(
    private val handler: (EndpointRequest, (EndpointResponse) -> Unit) -> Unit,
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    override fun channelRead0(
        context: ChannelHandlerContext,
        request: FullHttpRequest,
    ) {
        if (request.decoderResult().isFailure) {
            respond(context, EndpointResponse(HttpResponseStatus.BAD_REQUEST.code()), keepAlive = false)
            return
        }
        val keepAlive = HttpUtil.isKeepAlive(request)
        val body = ByteArray(request.content().readableBytes()).also(request.content()::readBytes)
        val call = EndpointRequest(request.method().name(), request.uri().substringBefore('?'), body)
        handler(call) { respond(context, it, keepAlive) }
    }

    private fun respond(
        context: ChannelHandlerContext,
        response: EndpointResponse,
        keepAlive: Boolean,
    ) {
        val content = Unpooled.wrappedBuffer(response.body)
        val status = HttpResponseStatus.valueOf(response.status)
        val message = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
        val headers = message.headers()
        if (response.body.isNotEmpty()) headers[HttpHeaderNames.CONTENT_TYPE] = response.contentType
        response.location?.let { headers[HttpHeaderNames.LOCATION] = it }
        HttpUtil.setContentLength(message, response.body.size.toLong())
        if (!keepAlive) headers[HttpHeaderNames.CONNECTION] = HttpHeaderValues.CLOSE
        val sent = context.writeAndFlush(message)
        if (!keepAlive) sent.addListener(ChannelFutureListener.CLOSE)
    }

    @Deprecated("Netty's own signature")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        logUnexpected("endpoint", cause)
        context.close()
    }
}
