/*
 * Relays a response from its upstreams to the caller. A plain response is buffered until it is complete, so that a
 * truncated one can still be replaced. A stream is forwarded event by event and may resume on another upstream under
 * the response head of the first one.
 */
package io.carawaytrack.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * Maximum size of a plain response that is buffered. A larger one is forwarded as it arrives, unless it may not reach
 * the caller; in that case it is invalid.
 */
private const val MAX_BUFFERED_BYTES = 64 * 1024

/** Number of buffer components beyond which they are consolidated into one. */
private const val MAX_BUFFER_COMPONENTS = 64

internal class ResponseRelay(
    private val request: CallerRequest,
    private val caller: CallerConnection,
    private val headerNames: HeaderNames,
) {
    private val scanner = if (request.route.retryable) EventScanner(request.lastEventId()) else null
    private val boundary = EventBoundary()
    private var buffered: CompositeByteBuf? = null

    /** Whether the head of a response has been sent to the caller. */
    var started = false
        private set

    /** Number of complete events sent to the caller. */
    val events: Int get() = scanner?.events ?: 0

    /** Whether the response can continue from another upstream: nothing was sent yet, or the stream is resumable. */
    val canResume: Boolean get() = !started || (request.route.streaming && scanner?.canResume == true)

    /** Identifier of the last event that the caller has received. */
    val lastEventId: String? get() = if (request.route.streaming) scanner?.lastId ?: request.lastEventId() else null

    fun isStream(head: HttpResponse): Boolean = request.route.streaming && head.isSuccess()

    /** Returns whether a response with [head], as received so far, shows that an upstream runs the request. */
    fun showsStart(head: HttpResponse): Boolean = when {
        head.refusal(headerNames) != null -> false
        isStream(head) -> if (scanner == null) started else events > 0
        // A success without a signature may come from another upstream at the same address.
        else -> !head.isSuccess() || head.isSigned(headerNames)
    }

    /** Handles a part of the body and releases it; returns false when it cannot belong to a valid response. */
    fun receiveContent(
        head: HttpResponse,
        bytes: ByteBuf,
    ): Boolean {
        if (isStream(head)) return receiveEvents(head, bytes)
        if (!started || request.route.streaming) return bufferBody(head, bytes)
        caller.write(bytes)
        return true
    }

    private fun receiveEvents(
        head: HttpResponse,
        bytes: ByteBuf,
    ): Boolean {
        val events = scanner?.append(bytes, caller.channel.alloc()) ?: bytes
        val valid = scanner?.corrupted != true && head.isSigned(headerNames)
        if (!valid || !events.isReadable) {
            events.release()
            return valid
        }
        if (!started) start(head)
        boundary.append(events)
        caller.write(events)
        return true
    }

    private fun bufferBody(
        head: HttpResponse,
        bytes: ByteBuf,
    ): Boolean {
        val buffer = buffered ?: Unpooled.compositeBuffer(MAX_BUFFER_COMPONENTS).also { buffered = it }
        buffer.addComponent(true, bytes)
        if (buffer.readableBytes() <= MAX_BUFFERED_BYTES) return true
        val unsigned = head.isSuccess() && !head.isSigned(headerNames)
        if (request.route.streaming || unsigned || head.refusal(headerNames) != null) return false
        buffered = null
        start(head)
        caller.write(buffer)
        return true
    }

    private fun start(head: HttpResponse) {
        started = true
        caller.startResponse(head.status(), responseHeaders(head.headers()))
    }

    fun flush() {
        if (started) caller.flush()
    }

    /** Returns whether the response with [head], whose body has ended, may be sent to the caller. */
    fun isComplete(head: HttpResponse): Boolean = when {
        isStream(head) -> boundary.isReached && scanner?.mayEnd != false && head.isSigned(headerNames)
        // An error response from the upstream that was to resume a stream must not be appended to the stream.
        started -> !request.route.streaming
        else -> !head.isSuccess() || head.isSigned(headerNames)
    }

    /** Sends the unsent remainder of a complete response. */
    fun finish(head: HttpResponse) {
        if (!started && isStream(head)) start(head)
        if (started) return caller.finish()
        val content = buffered ?: Unpooled.EMPTY_BUFFER
        buffered = null
        caller.respond(head.status(), responseHeaders(head.headers()), content)
    }

    /** Discards data from an abandoned upstream that has not been sent to the caller. */
    fun discardUnsent() {
        buffered?.release()
        buffered = null
        scanner?.discardPartial()
    }

    /**
     * Ends the response with [reply], or by closing the connection if the caller has already received a response head.
     */
    fun endWith(reply: LocalReply) {
        if (started) {
            reply.content.release()
            caller.flush()
            caller.abort()
        } else {
            caller.respond(HttpResponseStatus.valueOf(reply.status), reply.headers, reply.content)
        }
    }
}
