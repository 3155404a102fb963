/*
 * Decoding of an upstream's responses. The caller states which request is awaited: whether a response has a body
 * depends on that request's method, and an upstream may send more responses than requests.
 */
package io.carawaytrack.gateway

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

internal class UpstreamResponseDecoder : HttpResponseDecoder(decoderConfig) {
    private var withoutBody = false

    /** Decodes the next response as one to a request with [method]. */
    fun await(method: HttpMethod) {
        withoutBody = method == HttpMethod.HEAD
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        withoutBody || super.isContentAlwaysEmpty(message)
}
