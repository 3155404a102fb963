/*
 * Which request the head of a response on a connection belongs to. An upstream in trouble may send parts of responses
 * and other bytes at any time, and what comes right before a head is decoded as a part of it.
 */
package io.carawaytrack.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpVersion

private const val VERSION_PREFIX = "HTTP/1."
private val statusLine = Regex("HTTP/1\\.\\d +\\d{3}")

/** What a response is to the request that is awaited on its connection. */
internal enum class ResponseIdentity {
    Own,
    Interim,

    /** It carries the identifier of another request. */
    OtherRequest,

    /** It may belong to another request, or is joined from several responses, or is not the upstream's own. */
    Unknown,
}

/**
 * Returns what the response is to the request with [requestId]. Without an identifier it is that request's own only on
 * a [fresh] connection, on which nothing has been sent or received before.
 */
internal fun HttpResponse.identity(
    requestId: String,
    headerNames: HeaderNames,
    fresh: Boolean,
): ResponseIdentity {
    val ids = headers().getAll(headerNames.attemptId)
    return when {
        isJoined() || ids.size > 1 -> ResponseIdentity.Unknown
        // A refusal counts regardless of its body, which is not passed on.
        headers().contains(HttpHeaderNames.CONTENT_ENCODING) && refusal(headerNames) == null -> ResponseIdentity.Unknown
        status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code() -> ResponseIdentity.Unknown
        status().codeClass() == HttpStatusClass.INFORMATIONAL -> ResponseIdentity.Interim
        ids.isEmpty() -> if (fresh) ResponseIdentity.Own else ResponseIdentity.Unknown
        ids.single() == requestId -> ResponseIdentity.Own
        else -> ResponseIdentity.OtherRequest
    }
}

/** Returns whether a status line stands elsewhere than at the beginning: the head before it was cut off. */
private fun HttpResponse.isJoined(): Boolean =
    protocolVersion().protocolName() != HttpVersion.HTTP_1_1.protocolName() ||
        hasStatusLine(status().reasonPhrase()) ||
        headers().any { (_, value) -> hasStatusLine(value) }

private fun hasStatusLine(text: String) = text.contains(VERSION_PREFIX) && statusLine.containsMatchIn(text)
