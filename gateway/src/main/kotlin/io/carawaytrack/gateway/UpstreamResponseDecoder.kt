/*
 * Decoding of an upstream's responses. The caller states which request is awaited: whether a response has a body
 * depends on that request's method, and an upstream may send more responses than requests. Bytes that arrive while
 * none is awaited are not decoded, so that none of them can become a part of the next response. Bytes that the grammar
 * of responses excludes are not decoded either.
 */
package io.carawaytrack.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandler
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent

private const val MAX_LINE_BYTES = 8_192
private const val MAX_HEADER_BYTES = 65_536
private const val MAX_CHUNK_BYTES = 65_536

private val decoderConfig =
    HttpDecoderConfig()
        .setMaxInitialLineLength(MAX_LINE_BYTES)
        .setMaxHeaderSize(MAX_HEADER_BYTES)
        .setMaxChunkSize(MAX_CHUNK_BYTES)

/**
 * Returns a decoder for the response to the only request of a connection, which has [method]. It calls [faultFound]
 * with the name of the fault if the response is not valid, and drops what follows.
 */
public fun singleResponseDecoder(
    method: HttpMethod,
    faultFound: (String) -> Unit,
): ChannelInboundHandler {
    val decoder = UpstreamResponseDecoder(surplusReceived = {}, faultFound = { faultFound(it.name) })
    decoder.await(method)
    return decoder
}

/**
 * A decoder that calls [surplusReceived] for bytes that arrive while no response is awaited, and drops them. It calls
 * [faultFound] for a response that the grammar excludes, and drops all further bytes of the connection.
 */
internal class UpstreamResponseDecoder(
    private val surplusReceived: () -> Unit,
    private val faultFound: (ResponseFault) -> Unit,
) : HttpResponseDecoder(decoderConfig) {
    private var awaiting = false
    private var rejected = false

    /** The part of the response that is being received; null where any byte is allowed. */
    private var part: GrammarPart? = StatusLine()

    /** Number of bytes that have been examined but not decoded. */
    private var examinedBytes = 0
    private var withoutBody = false

    /** Decodes the next response as one to a request with [method]. */
    fun await(method: HttpMethod) {
        awaiting = true
        withoutBody = method == HttpMethod.HEAD
    }

    /** Returns whether the body of [response] ends with its connection. */
    fun endsWithConnection(response: HttpResponse): Boolean = !response.isFramed() && !isContentAlwaysEmpty(response)

    /** Stops decoding at the end of the awaited response. */
    fun stop() {
        awaiting = false
    }

    override fun decode(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        if (awaiting && !rejected && examine(buffer)) return decodeExamined(context, buffer, out)
        buffer.skipBytes(buffer.readableBytes())
        if (!rejected) surplusReceived()
    }

    /**
     * Examines the bytes that have not been decoded, up to the end of the head or body, and returns whether they are
     * valid. What may follow a head is known once the head has been decoded.
     */
    private fun examine(buffer: ByteBuf): Boolean {
        while (true) {
            val current = part ?: return true
            val start = buffer.readerIndex() + examinedBytes
            examinedBytes = current.examine(buffer, start, buffer.writerIndex()) - buffer.readerIndex()
            current.fault?.let {
                rejected = true
                faultFound(it)
                return false
            }
            if (!current.isComplete) return true
            part = if (current is StatusLine) FieldSection() else null
        }
    }

    private fun decodeExamined(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        val start = buffer.readerIndex()
        val decodedBefore = out.size
        super.decode(context, buffer, out)
        examinedBytes = maxOf(0, examinedBytes - (buffer.readerIndex() - start))
        for (index in decodedBefore until out.size) expectPartAfter(out[index])
    }

    private fun expectPartAfter(decoded: Any) {
        if (decoded is HttpResponse) {
            if (decoded.hasUnknownFraming()) decoded.decoderResult = failure("expected no transfer coding but chunked")
            if (HttpUtil.isTransferEncodingChunked(decoded)) part = ChunkedBody()
        }
        if (decoded is LastHttpContent) part = StatusLine()
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        message.decoderResult = failure("expected Content-Length or a chunked body, got both")
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        withoutBody || super.isContentAlwaysEmpty(message)
}

private fun failure(reason: String) = DecoderResult.failure(IllegalArgumentException(reason))

/** Returns whether the end of the body is unknown: no coding but `chunked` is known, and none in HTTP/1.0. */
private fun HttpResponse.hasUnknownFraming(): Boolean {
    val codings = headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
    if (codings.isEmpty()) return false
    val chunked = codings.size == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.single())
    return !chunked || protocolVersion() == HttpVersion.HTTP_1_0
}
