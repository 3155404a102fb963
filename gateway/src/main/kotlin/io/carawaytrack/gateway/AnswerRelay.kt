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
private const val HELD_ANSWER_BYTES = 64 * 1024

/** Parts of a held answer beyond which they are copied into one. */
private const val MAX_HELD_PARTS = 64

internal class AnswerRelay(
    private val request: CallerRequest,
    private val caller: CallerConnection,
    private val vocabulary: HeaderVocabulary,
) {
    private val scanner = if (request.route.retryable) EventScanner(request.lastEventId()) else null
    private var held: CompositeByteBuf? = null

    /** Whether the caller has received the head of an answer. */
    var begun = false
        private set

    /** Whole events that the caller was sent. */
    val events: Int get() = scanner?.events ?: 0

    /** Whether a stream that has begun can go on from another upstream. */
    val canGoOn: Boolean get() = !begun || (request.route.streaming && scanner?.damaged == false)

    /** Identifier of the last event that the caller has. */
    val lastEventId: String? get() = if (request.route.streaming) scanner?.lastId ?: request.lastEventId() else null

    fun isStream(head: HttpResponse): Boolean = request.route.streaming && head.isSuccess()

    /** Takes a part of the body, which it releases; returns false when it can't belong to a good answer. */
    fun take(
        head: HttpResponse,
        bytes: ByteBuf,
    ): Boolean {
        if (isStream(head)) return takeEvents(head, bytes)
        if (!begun || request.route.streaming) hold(head, bytes) else caller.write(bytes)
        return true
    }

    private fun takeEvents(
        head: HttpResponse,
        bytes: ByteBuf,
    ): Boolean {
        val events = scanner?.take(bytes, caller.channel.alloc()) ?: bytes
        val good = scanner?.damaged != true && (begun || head.isSigned(vocabulary))
        if (!good || !events.isReadable) {
            events.release()
            return good
        }
        if (!begun) begin(head)
        caller.write(events)
        return true
    }

    private fun hold(
        head: HttpResponse,
        bytes: ByteBuf,
    ) {
        val sum = held ?: Unpooled.compositeBuffer(MAX_HELD_PARTS).also { held = it }
        sum.addComponent(true, bytes)
        val mustWait = begun || head.refusal(vocabulary) != null
        if (sum.readableBytes() <= HELD_ANSWER_BYTES || mustWait) return
        held = null
        begin(head)
        caller.write(sum)
    }

    private fun begin(head: HttpResponse) {
        begun = true
        caller.begin(head.status(), answerHeaders(head.headers()))
    }

    fun flush() {
        if (begun) caller.flush()
    }

    /** Returns whether the answer under [head], whose body has ended, is one that may go to the caller. */
    fun isWhole(head: HttpResponse): Boolean = when {
        isStream(head) -> scanner?.isAtBoundary != false && (begun || head.isSigned(vocabulary))
        // A failure of the upstream that was to go on with a stream is no part of the stream.
        begun -> !request.route.streaming
        else -> !head.isSuccess() || head.isSigned(vocabulary)
    }

    /** Sends what is left of a whole answer. */
    fun finish(head: HttpResponse) {
        if (!begun && isStream(head)) begin(head)
        if (begun) return caller.finish()
        val content = held ?: Unpooled.EMPTY_BUFFER
        held = null
        caller.answer(head.status(), answerHeaders(head.headers()), content)
    }

    /** Forgets what came from an upstream that stopped and hasn't gone to the caller. */
    fun forgetUnsent() {
        held?.release()
        held = null
        scanner?.dropPartial()
    }

    /** Ends with the gateway's own [answer], or with a broken connection where the caller has a head already. */
    fun end(answer: OwnAnswer) {
        if (begun) {
            answer.content.release()
            caller.abort()
        } else {
            caller.answer(HttpResponseStatus.valueOf(answer.status), answer.headers, answer.content)
        }
    }
}
