/*
 * Decoding of callers' requests. The size of a request's head is limited by the configuration in force, which may
 * change while a connection is open or a head is half read; Netty's own limits are fixed when a decoder is created.
 */
package io.carawaytrack.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.AsciiString
import io.netty.util.ReferenceCountUtil

/** Length that a request line may have under any limit on headers; RFC 9112 recommends at least 8000 bytes. */
private const val MIN_LINE_LIMIT_BYTES = 8_192

private const val MAX_CHUNK_BYTES = 65_536

/** Length of the end of a line; it doesn't count as part of a header. */
private const val LINE_END_BYTES = 2

/**
 * Limits the request line, the header lines and the trailer lines of a request to [maxHeaderBytes] each. A head that is
 * being received may be as large as the highest limit since its first byte, so that a lower one doesn't cut it off.
 * Rejects requests with both Content-Length and a chunked body, whose end two parsers may see in different places.
 */
internal class UnambiguousRequestDecoder(
    private val maxHeaderBytes: () -> Int,
) : HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(Int.MAX_VALUE)
            .setMaxHeaderSize(Int.MAX_VALUE)
            .setMaxChunkSize(MAX_CHUNK_BYTES),
    ) {
    private enum class Section {
        RequestLine,
        Headers,

        /** The body with its trailers; the data of its chunks don't count. */
        Body,
    }

    private var section = Section.RequestLine

    /** Bytes and header lines of the current section that have been read. */
    private var sectionBytes = 0
    private var lines = 0

    /** Highest limit on headers since the first byte of the current request. */
    private var limitBytes = 0

    /** Whether the request is invalid; the connection ends with its response, so all that follows is ignored. */
    private var rejected = false

    private var input: ByteBuf = Unpooled.EMPTY_BUFFER

    /** Index in the input up to which [sectionBytes] is up to date. */
    private var countedIndex = 0

    override fun decode(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        if (rejected) {
            buffer.skipBytes(buffer.readableBytes())
            return
        }
        limitBytes = maxOf(limitBytes, maxHeaderBytes())
        input = buffer
        countedIndex = buffer.readerIndex()
        super.decode(context, buffer, out)
        countRead()
        val isTooLong =
            when {
                out.isEmpty() -> isTooLong(sectionBytes + buffer.readableBytes())
                else -> out.any { it is HttpMessage || it.hasTrailers() } && isTooLong(sectionBytes)
            }
        if (isTooLong) replaceByFailure(out)
        rejected = out.any { it is HttpObject && it.decoderResult().isFailure }
        if (out.isNotEmpty()) begin(if (out.last() is LastHttpContent) Section.RequestLine else Section.Body)
        input = Unpooled.EMPTY_BUFFER
    }

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        countRead()
        // Caught by the decoder, which makes an invalid message of it.
        if (isTooLong(sectionBytes)) throw TooLongHttpLineException("the request line has $sectionBytes bytes")
        begin(Section.Headers)
        return super.createMessage(initialLine)
    }

    override fun splitHeaderName(
        line: ByteArray,
        start: Int,
        length: Int,
    ): AsciiString {
        lines++
        return super.splitHeaderName(line, start, length)
    }

    private fun begin(next: Section) {
        section = next
        sectionBytes = 0
        lines = 0
        if (next == Section.RequestLine) limitBytes = 0
    }

    private fun countRead() {
        sectionBytes += input.readerIndex() - countedIndex
        countedIndex = input.readerIndex()
    }

    private fun isTooLong(bytes: Int): Boolean = when (section) {
        Section.RequestLine -> bytes > maxOf(limitBytes, MIN_LINE_LIMIT_BYTES) + LINE_END_BYTES
        // Also the line that is being read and the empty one at the end.
        else -> bytes > limitBytes + (lines + 2) * LINE_END_BYTES
    }

    /** Replaces what was [decoded] by an invalid message or end of a body. */
    private fun replaceByFailure(decoded: MutableList<Any>) {
        input.skipBytes(input.readableBytes())
        decoded.forEach(ReferenceCountUtil::release)
        decoded.clear()
        val invalid = if (section == Section.Body) DefaultLastHttpContent() else createInvalidMessage()
        invalid.decoderResult = DecoderResult.failure(TooLongHttpHeaderException("the limit is $limitBytes bytes"))
        decoded += invalid
    }

    private fun Any.hasTrailers() = this is LastHttpContent && !trailingHeaders().isEmpty

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        message.decoderResult =
            DecoderResult.failure(IllegalArgumentException("expected Content-Length or a chunked body, got both"))
    }
}
