/*
 * Connections of callers. Each carries one request after another; what a caller sends ahead waits until its turn. A
 * request is handed on once it has been read whole, and the end of its connection is told at once, also while an answer
 * is awaited.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CallerLimits
import io.carawaytrack.model.HostPort
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

private const val MAX_LINE_BYTES = 8_192
private const val MAX_CHUNK_BYTES = 65_536

/** Messages that a caller may send ahead while an answer is awaited. */
private const val MAX_PIPELINED_MESSAGES = 256

/** Bytes waiting for a slow caller from which its upstream is read no further, and at which it is read again. */
private val waterMark = WriteBufferWaterMark(64 * 1024, 256 * 1024)

/** Takes requests, and the ends of the connections that they came on. */
internal class CallerEvents(
    val request: (HttpRequest, ByteBuf, CallerConnection) -> Unit,
    val malformed: (CallerConnection, HttpResponseStatus) -> Unit,
    val limits: () -> CallerLimits,
    val draining: () -> Boolean,
)

/** Hears of the caller of a request that is being answered. */
internal interface CallerListener {
    /** Tells that the caller has closed its connection. */
    fun onCallerDisconnected()

    /** Tells whether the caller reads as fast as it is sent to. */
    fun onCallerWritable(writable: Boolean)
}

internal class CallerConnections(
    private val group: EventLoopGroup,
    private val events: CallerEvents,
    private val nowMillis: () -> Long,
) {
    private val open = LinkedHashSet<CallerConnection>()

    fun listen(address: HostPort): Channel = ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark)
        .childHandler(
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline().addLast(
                        UnambiguousRequestDecoder(events.limits().maxHeaderBytes),
                        HttpResponseEncoder(),
                        CallerConnection(channel, this@CallerConnections),
                    )
                }
            },
        ).bind(address.host, address.port)
        .syncUninterruptibly()
        .channel()

    /** Closes connections that have been idle, or busy with one request's head or body, for too long. */
    fun prune() = open.toList().forEach { it.prune(nowMillis(), events.limits()) }

    /** Closes the connections that carry no request. */
    fun closeIdle() = open.toList().forEach { it.closeIfIdle() }

    internal class CallerConnection(
        val channel: Channel,
        private val owner: CallerConnections,
    ) : ChannelInboundHandlerAdapter() {
        private val pipelined = ArrayDeque<Any>()
        private var head: HttpRequest? = null
        private var body: CompositeByteBuf? = null
        private var listener: CallerListener? = null
        private var responding = false
        private var chunked = true
        private var keepAlive = true
        private var phaseSinceMillis = owner.nowMillis()
        private var receiving = false

        override fun channelActive(context: ChannelHandlerContext) {
            owner.open += this
        }

        override fun channelRead(
            context: ChannelHandlerContext,
            message: Any,
        ) {
            if (!responding) return read(message)
            pipelined.addLast(message)
            if (pipelined.size > MAX_PIPELINED_MESSAGES) channel.close()
        }

        private fun read(message: Any) {
            if (message is HttpRequest) {
                if (!beginRequest(message)) {
                    ReferenceCountUtil.release(message)
                    return
                }
            }
            if (message is HttpContent) receiveContent(message)
        }

        private fun beginRequest(request: HttpRequest): Boolean {
            head = null
            phaseSinceMillis = owner.nowMillis()
            receiving = true
            val rejectionStatus = rejectionStatusOf(request)
            if (rejectionStatus != null) {
                reject(rejectionStatus)
                return false
            }
            if (HttpUtil.is100ContinueExpected(request)) sendContinue()
            head = request
            return true
        }

        private fun sendContinue() {
            val interim =
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)
            channel.writeAndFlush(interim)
        }

        private fun rejectionStatusOf(request: HttpRequest): HttpResponseStatus? {
            val failed = request.decoderResult().takeIf { it.isFailure }
            val headers = request.headers()
            return when {
                failed?.cause() is TooLongFrameException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                failed != null || isAmbiguous(headers) -> HttpResponseStatus.BAD_REQUEST
                HttpUtil.getContentLength(request, 0L) > owner.events.limits().maxBodyBytes ->
                    HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
                else -> null
            }
        }

        /** Returns whether two readers might see the end of the body in different places, or two hosts. */
        private fun isAmbiguous(headers: HttpHeaders): Boolean {
            val codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
            val unknownCoding = codings.isNotEmpty() && !codings.single().equals("chunked", ignoreCase = true)
            val lengthAndCoding = codings.isNotEmpty() && headers.contains(HttpHeaderNames.CONTENT_LENGTH)
            return codings.size > 1 || unknownCoding || lengthAndCoding || headers.getAll(HttpHeaderNames.HOST).size > 1
        }

        private fun receiveContent(content: HttpContent) {
            val request = head
            if (request == null || content.decoderResult().isFailure) {
                content.release()
                if (request != null) reject(HttpResponseStatus.BAD_REQUEST)
                return
            }
            if (!append(content)) return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            if (content !is LastHttpContent) return
            val fullBody = body ?: Unpooled.EMPTY_BUFFER
            body = null
            head = null
            responding = true
            receiving = false
            keepAlive = HttpUtil.isKeepAlive(request)
            chunked = request.protocolVersion() == HttpVersion.HTTP_1_1
            owner.events.request(request, fullBody, this)
        }

        private fun append(content: HttpContent): Boolean {
            val bytes = content.content()
            if (!bytes.isReadable) {
                content.release()
                return true
            }
            val fullBody = body ?: channel.alloc().compositeBuffer(MAX_BODY_PARTS).also { body = it }
            fullBody.addComponent(true, bytes)
            return fullBody.readableBytes() <= owner.events.limits().maxBodyBytes
        }

        private fun reject(status: HttpResponseStatus) {
            head = null
            responding = true
            keepAlive = false
            owner.events.malformed(this, status)
        }

        /** Names who hears of the caller while its request is answered. */
        fun setListener(newListener: CallerListener) {
            listener = newListener
        }

        /** Sends a whole answer, whose body it releases. */
        fun respond(
            status: HttpResponseStatus,
            headers: HttpHeaders,
            content: ByteBuf,
        ) {
            val response =
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content, headers, EmptyHttpHeaders.INSTANCE)
            HttpUtil.setContentLength(response, content.readableBytes().toLong())
            setConnection(headers)
            val sent = channel.writeAndFlush(response)
            if (keepAlive) responseSent() else sent.addListener(ChannelFutureListener.CLOSE)
        }

        /** Begins an answer whose length isn't known. */
        fun startResponse(
            status: HttpResponseStatus,
            headers: HttpHeaders,
        ) {
            if (chunked) {
                headers[HttpHeaderNames.TRANSFER_ENCODING] = HttpHeaderValues.CHUNKED
            } else {
                keepAlive = false
            }
            setConnection(headers)
            channel.write(DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers))
        }

        /** Sends a part of the body, which it releases; it leaves with the next [flush]. */
        fun write(content: ByteBuf) {
            channel.write(DefaultHttpContent(content), channel.voidPromise())
        }

        fun flush() {
            channel.flush()
        }

        /** Ends an answer that is complete. */
        fun finish() {
            val sent = channel.writeAndFlush(DefaultLastHttpContent.EMPTY_LAST_CONTENT)
            if (keepAlive) responseSent() else sent.addListener(ChannelFutureListener.CLOSE)
        }

        /** Ends an answer that can't be completed, so that it doesn't look complete. */
        fun abort() {
            listener = null
            channel.close()
        }

        private fun setConnection(headers: HttpHeaders) {
            if (owner.events.draining()) keepAlive = false
            if (!keepAlive) headers[HttpHeaderNames.CONNECTION] = HttpHeaderValues.CLOSE
        }

        private fun responseSent() {
            listener = null
            responding = false
            phaseSinceMillis = owner.nowMillis()
            while (!responding && pipelined.isNotEmpty()) read(pipelined.removeFirst())
        }

        fun prune(
            now: Long,
            limits: CallerLimits,
        ) {
            if (responding) return
            if (now - phaseSinceMillis > limits.idleTimeoutMillis) channel.close()
        }

        fun closeIfIdle() {
            if (!responding && !receiving) channel.close()
        }

        override fun channelWritabilityChanged(context: ChannelHandlerContext) {
            listener?.onCallerWritable(channel.isWritable)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            owner.open -= this
            pipelined.forEach(ReferenceCountUtil::release)
            pipelined.clear()
            body?.release()
            body = null
            val lastListener = listener
            listener = null
            lastListener?.onCallerDisconnected()
        }

        @Deprecated("Netty's own signature")
        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) {
            logUnexpected("caller", cause)
            context.close()
        }
    }

    private companion object {
        /** Parts of a body beyond which they are copied into one. */
        const val MAX_BODY_PARTS = 64
    }
}

internal typealias CallerConnection = CallerConnections.CallerConnection

/** Takes a request with both a length and a chunked body, of which two readers see different ends, as malformed. */
private class UnambiguousRequestDecoder(
    maxHeaderBytes: Int,
) : HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        message.decoderResult = DecoderResult.failure(IllegalArgumentException("a length and a chunked body"))
    }
}
