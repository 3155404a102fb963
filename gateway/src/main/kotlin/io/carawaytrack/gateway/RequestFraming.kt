/*
 * Where a caller's request ends: requests whose end two parsers may see in different places are rejected.
 */
package io.carawaytrack.gateway

import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

private const val MAX_LINE_BYTES = 8_192
private const val MAX_CHUNK_BYTES = 65_536

/** Rejects requests with both Content-Length and a chunked body, whose end two parsers may see in different places. */
internal class UnambiguousRequestDecoder(
    maxHeaderBytes: Int,
) : HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        message.decoderResult =
            DecoderResult.failure(IllegalArgumentException("expected Content-Length or a chunked body, got both"))
    }
}

/** Returns whether two parsers might disagree on the end of the body or on the host (request smuggling). */
internal fun isAmbiguous(headers: HttpHeaders): Boolean {
    val codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
    val unknownCoding = codings.isNotEmpty() && !codings.single().equals("chunked", ignoreCase = true)
    val lengthAndCoding = codings.isNotEmpty() && headers.contains(HttpHeaderNames.CONTENT_LENGTH)
    return codings.size > 1 || unknownCoding || lengthAndCoding || headers.getAll(HttpHeaderNames.HOST).size > 1
}
