/*
 * The way of an answer from its upstreams to the caller. A plain answer is held until it is whole, so that one that
 * breaks off can still be replaced; a stream is passed on event by event, and may go on from another upstream under the
 * head of its first one.
 */
package io.carawaytrack.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus

/** Largest plain answer that is held until it is whole, in bytes; a larger one is passed on as it comes. */
private const val MAX_BUFFERED_BYTES = 64 * 1024

/** Parts of a held answer beyond which they are copied into one. */
private const val MAX_BUFFER_COMPONENTS = 64

internal class ResponseRelay(
    private val request: CallerRequest,
    private val caller: CallerConnection,
    private val headerNames: HeaderNames,
) {
    private val scanner = if (request.route.repeatable) EventScanner(request.lastEventId()) else null
    private var buffered: CompositeByteBuf? = null

    /** Whether the caller has received the head of an answer. */
    var started = false
        private set

    /** Whole events that the caller was sent. */
    val events: Int get() = scanner?.events ?: 0

    /** Whether a stream that has begun can go on from another upstream. */
    val canResume: Boolean get() = !started || (request.route.streaming && scanner?.corrupted == false)

    /** Identifier of the last event that the caller has. */
    val lastEventId: String? get() = if (request.route.streaming) scanner?.lastId ?: request.lastEventId() else null

    fun isStream(head: HttpResponse): Boolean = request.route.streaming && head.isSuccess()

    /** Takes a part of the body, which it releases; returns false when it can't belong to a good answer. */
    fun receiveContent(
        head: HttpResponse,
        bytes: ByteBuf,
    ): Boolean {
        if (isStream(head)) return receiveEvents(head, bytes)
        if (!started || request.route.streaming) bufferBody(head, bytes) else caller.write(bytes)
        return true
    }

    private fun receiveEvents(
        head: HttpResponse,
        bytes: ByteBuf,
    ): Boolean {
        val events = scanner?.append(bytes, caller.channel.alloc()) ?: bytes
        val valid = scanner?.corrupted != true && (started || head.isSigned(headerNames))
        if (!valid || !events.isReadable) {
            events.release()
            return valid
        }
        if (!started) start(head)
        caller.write(events)
        return true
    }

    private fun bufferBody(
        head: HttpResponse,
        bytes: ByteBuf,
    ) {
        val buffer = buffered ?: Unpooled.compositeBuffer(MAX_BUFFER_COMPONENTS).also { buffered = it }
        buffer.addComponent(true, bytes)
        val mustBuffer = started || head.refusal(headerNames) != null
        if (buffer.readableBytes() <= MAX_BUFFERED_BYTES || mustBuffer) return
        buffered = null
        start(head)
        caller.write(buffer)
    }

    private fun start(head: HttpResponse) {
        started = true
        caller.startResponse(head.status(), responseHeaders(head.headers()))
    }

    fun flush() {
        if (started) caller.flush()
    }

    /** Returns whether the answer under [head], whose body has ended, is one that may go to the caller. */
    fun isComplete(head: HttpResponse): Boolean = when {
        isStream(head) -> scanner?.isAtBoundary != false && (started || head.isSigned(headerNames))
        // A failure of the upstream that was to go on with a stream is no part of the stream.
        started -> !request.route.streaming
        else -> !head.isSuccess() || head.isSigned(headerNames)
    }

    /** Sends what is left of a whole answer. */
    fun finish(head: HttpResponse) {
        if (!started && isStream(head)) start(head)
        if (started) return caller.finish()
        val content = buffered ?: Unpooled.EMPTY_BUFFER
        buffered = null
        caller.respond(head.status(), responseHeaders(head.headers()), content)
    }

    /** Forgets what came from an upstream that stopped and hasn't gone to the caller. */
    fun discardUnsent() {
        buffered?.release()
        buffered = null
        scanner?.discardPartial()
    }

    /** Ends with the gateway's own [answer], or with a broken connection where the caller has a head already. */
    fun endWith(reply: LocalReply) {
        if (started) {
            reply.content.release()
            caller.abort()
        } else {
            caller.respond(HttpResponseStatus.valueOf(reply.status), reply.headers, reply.content)
        }
    }
}
