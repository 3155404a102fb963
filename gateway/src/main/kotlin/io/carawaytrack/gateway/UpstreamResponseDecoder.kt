/*
 * Decoding of an upstream's responses. The caller states which request is awaited: whether a response has a body
 * depends on that request's method, and an upstream may send more responses than requests. Bytes that arrive while
 * none is awaited are not decoded, so that none of them can become a part of the next response.
 */
package io.carawaytrack.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseDecoder

private const val MAX_LINE_BYTES = 8_192
private const val MAX_HEADER_BYTES = 65_536
private const val MAX_CHUNK_BYTES = 65_536

private val decoderConfig =
    HttpDecoderConfig()
        .setMaxInitialLineLength(MAX_LINE_BYTES)
        .setMaxHeaderSize(MAX_HEADER_BYTES)
        .setMaxChunkSize(MAX_CHUNK_BYTES)

/** A decoder that calls [surplusReceived] for bytes that arrive while no response is awaited, and drops them. */
internal class UpstreamResponseDecoder(
    private val surplusReceived: () -> Unit,
) : HttpResponseDecoder(decoderConfig) {
    private var awaiting = false
    private var withoutBody = false

    /** Decodes the next response as one to a request with [method]. */
    fun await(method: HttpMethod) {
        awaiting = true
        withoutBody = method == HttpMethod.HEAD
    }

    /** Stops decoding at the end of the awaited response. */
    fun stop() {
        awaiting = false
    }

    override fun decode(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        if (awaiting) return super.decode(context, buffer, out)
        buffer.skipBytes(buffer.readableBytes())
        surplusReceived()
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        message.decoderResult =
            DecoderResult.failure(IllegalArgumentException("expected Content-Length or a chunked body, got both"))
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        withoutBody || super.isContentAlwaysEmpty(message)
}
