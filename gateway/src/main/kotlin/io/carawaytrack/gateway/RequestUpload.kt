/*
 * Sends a request to an upstream, and holds back the last byte of a long body for as long as the upstream may be
 * answering without having read it. If such an upstream ends its connection, the byte shows whether it reads on: it is
 * answered with a reset if not. Without it, an upstream that ends after it has read what was there could have read the
 * whole request by chance, and its answer would look complete.
 */
package io.carawaytrack.gateway

import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.LastHttpContent
import java.util.concurrent.TimeUnit

/**
 * Size of a body up to which it fits into the buffers of its receiver, whether or not they are read: the window of a
 * connection without scaling.
 */
private const val MAX_BUFFERED_BODY_BYTES = 64 * 1024

private const val HOLD_CHECK_INTERVAL_MILLIS = 5L

/**
 * Sends [request] on [channel] and calls [written] once it has been taken by the system of this host or could not be.
 * [shouldHold] is asked with the time for which the last byte has been held.
 */
internal class RequestUpload(
    private val channel: Channel,
    private val request: FullHttpRequest,
    private val nowMillis: () -> Long,
    private val shouldHold: (heldMillis: Long) -> Boolean,
    private val written: (succeeded: Boolean) -> Unit,
) {
    /** Whether the system of this host may have taken the body although the upstream's has no room for it. */
    val isLong: Boolean = request.content().readableBytes() > MAX_BUFFERED_BODY_BYTES
    private var held: LastHttpContent? = null
    private var heldSinceMillis = 0L

    fun start() {
        if (!isLong) {
            channel.writeAndFlush(request).addListener { written(it.isSuccess) }
            return
        }
        val body = request.content()
        channel.write(DefaultHttpRequest(request.protocolVersion(), request.method(), request.uri(), request.headers()))
        val front = DefaultHttpContent(body.readRetainedSlice(body.readableBytes() - 1))
        val last = DefaultLastHttpContent(body)
        channel.writeAndFlush(front).addListener {
            held = last
            heldSinceMillis = nowMillis()
            holdLastByte()
        }
    }

    private fun holdLastByte() {
        if (held == null) return
        if (channel.isActive && shouldHold(nowMillis() - heldSinceMillis)) {
            channel.eventLoop().schedule(::holdLastByte, HOLD_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
        } else {
            sendLastByte()
        }
    }

    /** Sends the last byte if it is held; a channel that is closed releases it. */
    fun sendLastByte() {
        val last = held ?: return
        held = null
        channel.writeAndFlush(last).addListener { written(it.isSuccess) }
    }
}
