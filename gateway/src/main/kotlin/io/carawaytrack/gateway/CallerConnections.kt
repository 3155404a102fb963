/*
 * Connections from callers. Each connection processes one request at a time; pipelined messages are buffered until the
 * current response is complete. A request is dispatched once it has been read completely; a large one is read once
 * there is memory for it. The end of its connection is reported immediately, also while a response is awaited.
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
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** Maximum number of messages that a caller may pipeline while a response is awaited. */
private const val MAX_PIPELINED_MESSAGES = 256

/** Unsent bytes for a slow caller at which reading from its upstream resumes (low) and pauses (high). */
private val waterMark = WriteBufferWaterMark(64 * 1024, 256 * 1024)

internal class CallerConnections(
    private val group: EventLoopGroup,
    private val events: CallerEvents,
    private val bodyMemory: BodyMemory,
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
                    val connection = CallerConnection(channel, this@CallerConnections)
                    channel.pipeline().addLast(
                        UnambiguousRequestDecoder { events.limits().maxHeaderBytes },
                        connection.encoder,
                        connection,
                    )
                }
            },
        ).bind(address.host, address.port)
        .syncUninterruptibly()
        .channel()

    /** Bytes of responses that have not been sent because their callers read slowly. */
    val unsentBytes: Long get() = open.sumOf { it.unsentBytes }

    /** Bytes of requests that have not been received in full. */
    val partialBodyBytes: Long get() = open.sumOf { it.partialBodyBytes }

    /** Closes connections that have been idle, or receiving one request, for longer than the idle timeout. */
    fun prune() = open.toList().forEach { it.prune(nowMillis(), events.limits()) }

    /** Closes the connections without a request in progress, once all their responses have been sent. */
    fun closeIdle() = open.toList().forEach { it.closeIfIdle() }

    internal class CallerConnection(
        val channel: Channel,
        private val owner: CallerConnections,
    ) : ChannelInboundHandlerAdapter() {
        val encoder = CallerResponseEncoder()
        private val pipelined = ArrayDeque<Any>()
        private var head: HttpRequest? = null
        private var body: CompositeByteBuf? = null
        private var listener: CallerListener? = null
        private var responding = false
        private var chunked = true
        private var keepAlive = true
        private var phaseSinceMillis = owner.nowMillis()
        private var receiving = false

        /** Highest limit on the body since its head was accepted, so that a lower one does not cut it off. */
        private var maxBodyBytes = 0L
        private var lastUnsentBytes = 0L

        private val bodyReservation = BodyReservation(owner.bodyMemory, channel, ::resumeReading)

        val partialBodyBytes: Long get() = body?.readableBytes()?.toLong() ?: 0
        val unsentBytes: Long get() = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0

        override fun channelActive(context: ChannelHandlerContext) {
            owner.open += this
        }

        override fun channelRead(
            context: ChannelHandlerContext,
            message: Any,
        ) {
            if (!responding && !bodyReservation.isAwaited) return read(message)
            pipelined.addLast(message)
            if (responding && pipelined.size > MAX_PIPELINED_MESSAGES) channel.close()
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
            encoder.answer(request.method())
            phaseSinceMillis = owner.nowMillis()
            receiving = true
            maxBodyBytes = owner.events.limits().maxBodyBytes
            val rejectionStatus = rejectionStatusOf(request)
            if (rejectionStatus != null) {
                reject(rejectionStatus)
                return false
            }
            val length = HttpUtil.getContentLength(request, 0L)
            if (length > SMALL_BODY_BYTES) bodyReservation.reserve(length)
            if (bodyReservation.isAwaited) {
                pipelined.addFirst(request)
                return false
            }
            if (HttpUtil.is100ContinueExpected(request)) sendContinue()
            head = request
            return true
        }

        private fun resumeReading() {
            phaseSinceMillis = owner.nowMillis()
            while (!responding && !bodyReservation.isAwaited && pipelined.isNotEmpty()) read(pipelined.removeFirst())
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
                HttpUtil.getContentLength(request, 0L) > maxBodyBytes ->
                    HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
                else -> null
            }
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
            // The size of a chunked body is not known before its end, so it may be as large as any.
            maxBodyBytes = maxOf(maxBodyBytes, owner.events.limits().maxBodyBytes)
            if (fullBody.readableBytes() > SMALL_BODY_BYTES) bodyReservation.reserve(maxBodyBytes)
            return fullBody.readableBytes() <= maxBodyBytes
        }

        private fun reject(status: HttpResponseStatus) {
            head = null
            responding = true
            keepAlive = false
            owner.events.malformed(this, status)
        }

        /** Sets the listener that is notified of the caller's events until the response is complete. */
        fun setListener(newListener: CallerListener) {
            listener = newListener
        }

        /** Sends a complete response and releases its body. */
        fun respond(
            status: HttpResponseStatus,
            headers: HttpHeaders,
            content: ByteBuf,
        ) {
            val response =
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content, headers, EmptyHttpHeaders.INSTANCE)
            // The length of the body that a HEAD request doesn't ask for is not known.
            if (!encoder.withoutBody) HttpUtil.setContentLength(response, content.readableBytes().toLong())
            setConnection(headers)
            val sent = channel.writeAndFlush(response)
            if (keepAlive) responseSent() else sent.addListener(ChannelFutureListener.CLOSE)
        }

        /** Starts a response of unknown length. */
        fun startResponse(
            status: HttpResponseStatus,
            headers: HttpHeaders,
        ) {
            if (chunked) {
                headers[HttpHeaderNames.TRANSFER_ENCODING] = HttpHeaderValues.CHUNKED
            } else {
                keepAlive = false
                // An orderly end would complete the response, so until then any end of the connection is a reset.
                channel.config().setOption(ChannelOption.SO_LINGER, 0)
            }
            setConnection(headers)
            channel.write(DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers))
        }

        /** Writes a part of the body and releases it; it is sent with the next [flush]. */
        fun write(content: ByteBuf) {
            channel.write(DefaultHttpContent(content), channel.voidPromise())
        }

        fun flush() {
            channel.flush()
        }

        /** Ends a complete response. */
        fun finish() {
            val sent = channel.writeAndFlush(DefaultLastHttpContent.EMPTY_LAST_CONTENT)
            if (keepAlive) return responseSent()
            sent.addListener {
                if (it.isSuccess) channel.config().setOption(ChannelOption.SO_LINGER, NO_LINGER)
                channel.close()
            }
        }

        /**
         * Closes the connection during a response that cannot be completed, so that the caller sees it as truncated.
         */
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
            bodyReservation.release()
            resumeReading()
        }

        fun prune(
            now: Long,
            limits: CallerLimits,
        ) {
            if (responding) return
            // A caller that still reads the last response is not idle.
            if (unsentBytes != lastUnsentBytes) phaseSinceMillis = now
            lastUnsentBytes = unsentBytes
            if (now - phaseSinceMillis > limits.idleTimeoutMillis) channel.close()
        }

        fun closeIfIdle() {
            if (!isIdle) return
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { if (isIdle) channel.close() }
        }

        private val isIdle get() = !responding && !receiving

        override fun channelWritabilityChanged(context: ChannelHandlerContext) {
            listener?.onCallerWritable(channel.isWritable)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            owner.open -= this
            pipelined.forEach(ReferenceCountUtil::release)
            pipelined.clear()
            body?.release()
            body = null
            bodyReservation.release()
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
        /** Number of body components beyond which they are consolidated into one. */
        const val MAX_BODY_PARTS = 64

        /** Value of SO_LINGER with which a closed connection ends in an orderly way. */
        const val NO_LINGER = -1
    }
}

internal typealias CallerConnection = CallerConnections.CallerConnection
