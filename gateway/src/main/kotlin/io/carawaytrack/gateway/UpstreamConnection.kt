/*
 * One connection to an upstream. It processes one request at a time. The outcome of an attempt is reported precisely:
 * whether any byte of it may have been sent, whether the response is valid and complete, and whether unexpected data
 * arrived.
 */
package io.carawaytrack.gateway

import io.carawaytrack.model.HostPort
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.PrematureChannelClosureException
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit

/** Margin before the end of the keep-alive time within which an idle connection is no longer used. */
private const val KEEP_ALIVE_MARGIN_MILLIS = 700L

/** Maximum number of interim responses before a response; an upstream that sends more is broken. */
private const val MAX_INTERIM_RESPONSES = 8

/** Maximum body size of a response to another request that is skipped on the way to the awaited one. */
private const val MAX_SKIPPED_BYTES = 64 * 1024

/**
 * Size of a body up to which it arrives in one segment with its head, whose payload is at most 1,460 bytes on most
 * links. An upstream that ends such a connection without having read the request resets it at once, so that no reset
 * can follow the end of its output.
 */
private const val ONE_SEGMENT_BODY_BYTES = 1_000

/** Time in addition to two round trips within which an upstream has reacted to a byte, by an answer or by a reset. */
private const val REACTION_MARGIN_MILLIS = 20L
private const val RESET_CHECK_INTERVAL_MILLIS = 5L

/** Limit on the time for which an upstream whose success has begun is kept waiting for the end of its request. */
private const val MAX_HOLD_MILLIS = 100L

/** Number of requests without a success that a connection remembers; a repeated response follows within a few. */
private const val MAX_UNSUCCESSFUL_REQUESTS = 16

/**
 * What a connection needs of the pool that it belongs to.
 *
 * @property becameIdle called when the connection can be reused
 * @property closed called when the connection has ended
 */
internal class UpstreamConnectionOwner(
    val nowMillis: () -> Long,
    val becameIdle: (UpstreamConnection) -> Unit,
    val closed: (UpstreamConnection) -> Unit,
)

/** A connection to [address]; [owner] decides whether it stays open between two requests. */
internal class UpstreamConnection(
    val address: HostPort,
    private val owner: UpstreamConnectionOwner,
) : ChannelInboundHandlerAdapter() {
    lateinit var channel: UpstreamSocketChannel

    /** Time that it took to open the connection. */
    var roundTripMillis = 0L
    private val reactionMillis get() = REACTION_MARGIN_MILLIS + 2 * roundTripMillis
    val decoder = UpstreamResponseDecoder(::receiveSurplus, ::reject)
    var idleSinceMillis = 0L
        private set
    private var keepAliveMillis = DEFAULT_KEEP_ALIVE_MILLIS
    private var attempt: Attempt? = null
    private var response: HttpResponse? = null
    private var ignoringResponse = false
    private var reused = false
    private var received = false
    private var reusable = true
    private var broken = false
    private var fault: ResponseFault? = null
    private var written = false
    private var complete = false

    /** Whether a success has ended with the upstream's output, which completes it unless a reset follows. */
    private var awaitingReset = false
    private var upload: RequestUpload? = null
    private var inOneSegment = true
    private var writtenAtMillis = 0L
    private var interimResponses = 0
    private var skippedBytes = 0
    private val unsuccessfulRequests = ArrayDeque<String>()
    private var carriedHead = false

    fun isUsable(now: Long) = channel.isActive && now - idleSinceMillis < keepAliveMillis - KEEP_ALIVE_MARGIN_MILLIS

    /** Returns whether a response on this connection was no success of an earlier attempt of the same request. */
    fun hasFailedFor(next: Attempt): Boolean = next.requestId in unsuccessfulRequests

    fun start(next: Attempt) {
        if (next.ended) {
            next.request.release()
            if (reused) becomeIdle() else channel.close()
            return
        }
        attempt = next
        response = null
        received = false
        written = false
        complete = false
        awaitingReset = false
        inOneSegment = next.request.content().readableBytes() <= ONE_SEGMENT_BODY_BYTES
        interimResponses = 0
        skippedBytes = 0
        val method = next.request.method()
        carriedHead = carriedHead || method == HttpMethod.HEAD
        decoder.await(method)
        next.attachTo(channel)
        channel.config().isAutoRead = true
        // The end of the upstream's output does not end the rest of the request.
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
        upload = RequestUpload(channel, next.request, owner.nowMillis, ::shouldHoldLastByte, ::requestWritten)
        upload?.start()
    }

    /** Returns whether a response that has begun early may end yet, or one that begins early may be on its way. */
    private fun shouldHoldLastByte(heldMillis: Long): Boolean {
        val head = response ?: return heldMillis < reactionMillis
        return !awaitingReset && mayBeTruncated(head) && heldMillis < MAX_HOLD_MILLIS
    }

    private fun requestWritten(succeeded: Boolean) {
        written = succeeded
        writtenAtMillis = owner.nowMillis()
        // Netty closes the connection, which looks like its orderly end to the decoder of the response.
        if (!succeeded) broken = true
        if (inOneSegment) channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, false)
        if (awaitingReset) awaitReset()
    }

    /**
     * Waits until a reset would have arrived that shows that the upstream, which has ended its output in order, did not
     * read the request to its end. That the request is written shows only that the system of this host has taken it.
     */
    private fun awaitReset() {
        // What fits into the buffers of its receiver has arrived there since it was written.
        val startedAtMillis = if (upload?.isLong == false) writtenAtMillis else owner.nowMillis()
        completeUnlessReset(startedAtMillis + reactionMillis)
    }

    private fun completeUnlessReset(untilMillis: Long) {
        if (channel.hasFailed()) broken = true
        complete = !broken && owner.nowMillis() >= untilMillis
        if (broken || complete) {
            channel.close()
        } else {
            val checkAgain = { completeUnlessReset(untilMillis) }
            channel.eventLoop().schedule(checkAgain, RESET_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
        }
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        received = true
        val current = attempt
        when {
            current == null || current.ended -> {
                // Data after a cancelled attempt: the connection cannot be reused safely.
                ReferenceCountUtil.release(message)
                channel.close()
            }
            message is HttpResponse && message.decoderResult().isFailure -> rejectMessage(message)
            message is HttpResponse -> {
                receiveHead(current, message)
                if (message is HttpContent) receiveBody(current, message)
            }
            message is HttpContent && message.decoderResult().isFailure -> rejectMessage(message)
            message is HttpContent -> receiveBody(current, message)
            else -> ReferenceCountUtil.release(message)
        }
    }

    private fun rejectMessage(message: HttpObject) {
        val truncated = message.decoderResult().cause() is PrematureChannelClosureException
        ReferenceCountUtil.release(message)
        if (!truncated) return reject(ResponseFault.Undecodable)
        broken = true
        channel.close()
    }

    /** Closes the connection on which a response with [reason] arrived: nothing more on it can be relied on. */
    private fun reject(reason: ResponseFault) {
        fault = fault ?: reason
        broken = true
        channel.close()
    }

    private fun receiveHead(
        current: Attempt,
        head: HttpResponse,
    ) {
        val identity = head.identity(current.requestId, current.headerNames, fresh = !reused && reusable)
        ignoringResponse = identity != ResponseIdentity.Own
        when (identity) {
            ResponseIdentity.Own -> receiveOwnHead(current, head)
            ResponseIdentity.Interim -> if (++interimResponses > MAX_INTERIM_RESPONSES) reject(ResponseFault.Excess)
            ResponseIdentity.OtherRequest -> {
                reusable = false
                // Only the request that it belongs to would show whether its body follows.
                if (carriedHead) reject(ResponseFault.Unattributable)
            }
            ResponseIdentity.Unknown -> reject(ResponseFault.Unattributable)
        }
    }

    private fun receiveOwnHead(
        current: Attempt,
        head: HttpResponse,
    ) {
        if (!head.isSuccess()) unsuccessfulRequests.addLast(current.requestId)
        if (unsuccessfulRequests.size > MAX_UNSUCCESSFUL_REQUESTS) unsuccessfulRequests.removeFirst()
        response = head
        reusable = reusable && HttpUtil.isKeepAlive(head) && head.isFramed()
        head.keepAliveMillis()?.let { keepAliveMillis = it }
        current.listener.onHead(head)
    }

    private fun receiveBody(
        current: Attempt,
        content: HttpContent,
    ) {
        if (ignoringResponse) {
            skippedBytes += content.content().readableBytes()
            content.release()
            if (skippedBytes > MAX_SKIPPED_BYTES) reject(ResponseFault.Excess)
            return
        }
        if (current.ended) {
            content.release()
            channel.close()
            return
        }
        if (content.content().isReadable) current.listener.onContent(content.content()) else content.release()
        if (content is LastHttpContent && !current.ended) responseComplete()
    }

    private fun responseComplete() {
        // A response without a length ends with the connection, so one that failed means that it is truncated.
        if (broken) return
        decoder.stop()
        // An error stands although the upstream may not have read the request.
        val mayBeTruncated = response?.let(::mayBeTruncated) == true
        if (!mayBeTruncated || (written && inOneSegment)) {
            complete = true
        } else {
            awaitingReset = true
            if (written) awaitReset() else upload?.sendLastByte()
        }
    }

    private fun mayBeTruncated(response: HttpResponse) = response.isSuccess() && decoder.endsWithConnection(response)

    /** Ends an attempt whose response is complete, once all of its last read has been examined. */
    private fun endAttempt(current: Attempt) {
        attempt = null
        current.end()
        upload?.sendLastByte()
        if (reusable && written && channel.isActive) becomeIdle() else channel.close()
        current.listener.onComplete()
    }

    /** Closes the connection on which bytes follow a complete response: what comes next may be the rest of them. */
    private fun receiveSurplus() {
        logEvent("upstream_surplus_bytes", mapOf("address" to address.toString()))
        channel.close()
    }

    private fun becomeIdle() {
        upload = null
        reused = true
        idleSinceMillis = owner.nowMillis()
        owner.becameIdle(this)
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        val current = attempt?.takeIf { !it.ended } ?: return
        if (complete) endAttempt(current) else current.listener.onReadComplete()
    }

    override fun userEventTriggered(
        context: ChannelHandlerContext,
        event: Any,
    ) {
        if (event is ChannelInputShutdownEvent && !awaitingReset) channel.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        owner.closed(this)
        val current = attempt ?: return
        if (complete && !current.ended) return endAttempt(current)
        attempt = null
        if (current.ended) return
        current.end()
        val end =
            when {
                fault != null -> AttemptEnd.InvalidResponse
                reused && !received -> AttemptEnd.ClosedUnanswered
                else -> AttemptEnd.Broken
            }
        current.listener.onFailed(end, fault)
    }

    @Deprecated("Netty's own signature")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        broken = true
        logUnexpected("upstream", cause)
        context.close()
    }
}
