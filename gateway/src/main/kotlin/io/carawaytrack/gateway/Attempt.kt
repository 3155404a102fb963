/*
 * One attempt of a request on an upstream: how it is cancelled, what it reports, and how it ends.
 */
package io.carawaytrack.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponse

/** Ways in which an attempt ends without a complete response. */
internal enum class AttemptEnd {
    /** No connection could be opened, so that nothing was sent. */
    NotConnected,

    /** A reused connection was closed before any byte of a response; the request may have been executed. */
    ClosedUnanswered,

    /** The connection failed before the response was complete, or the response is incomplete by its own content. */
    Broken,

    /** The received bytes are not a valid response to this request. */
    InvalidResponse,
}

/** Receives the events of one attempt; all calls are made on the event loop. */
internal interface AttemptListener {
    /** Handles the head of a response that carries the attempt's identifier or none. */
    fun onHead(response: HttpResponse)

    /** Handles a part of the body, which the listener must release. */
    fun onContent(bytes: ByteBuf)

    /** Handles the end of a complete response. */
    fun onComplete()

    /**
     * Handles the end of the attempt without a complete response, of which [fault] tells why it is not valid; no
     * further calls follow.
     */
    fun onFailed(
        end: AttemptEnd,
        fault: ResponseFault? = null,
    )

    /** Handles the end of a batch of data that arrived in one read. */
    fun onReadComplete()
}

/** An attempt in progress; [cancel] closes its connection, which causes the upstream to cancel the request. */
internal class Attempt(
    val request: FullHttpRequest,
    val headerNames: HeaderNames,
    val listener: AttemptListener,
) {
    /** Identifier of the request, which all of its attempts have in common. */
    val requestId: String = request.headers()[headerNames.attemptId].orEmpty()
    private var connection: Channel? = null
    var ended = false
        private set

    fun attachTo(channel: Channel) {
        connection = channel
    }

    fun setReadingPaused(paused: Boolean) {
        connection?.config()?.isAutoRead = !paused
    }

    fun end() {
        ended = true
        connection = null
    }

    /** Cancels the attempt; its listener is no longer notified. */
    fun cancel() {
        if (ended) return
        ended = true
        connection?.close()
        connection = null
    }
}
