/*
 * Interpretation of the head of an upstream's response: whether the request was executed, and with what result.
 */
package io.carawaytrack.gateway

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil

/** Keep-alive time of an idle connection when the upstream specifies none. */
internal const val DEFAULT_KEEP_ALIVE_MILLIS = 4_000L

private const val MILLIS_PER_SECOND = 1_000L
private const val KEEP_ALIVE = "Keep-Alive"
private const val KEEP_ALIVE_TIMEOUT = "timeout="

/** Reasons for which an upstream has not executed a request. */
internal enum class UpstreamRefusal {
    /** The address now belongs to another upstream. */
    AnotherUpstream,

    /** The upstream has no free capacity. */
    Full,

    /** The upstream rejects this particular request. */
    Rejected,
}

internal fun HttpResponse.isSuccess(): Boolean = status().codeClass() == HttpStatusClass.SUCCESS

internal fun HttpResponse.isFailure(): Boolean = status().codeClass() == HttpStatusClass.SERVER_ERROR

/** Returns whether the response carries the upstream's signature. */
internal fun HttpResponse.isSigned(headerNames: HeaderNames): Boolean = headers().contains(headerNames.signature)

/** Returns whether the response states where its body ends, other than at the end of its connection. */
internal fun HttpResponse.isFramed(): Boolean =
    HttpUtil.isContentLengthSet(this) || HttpUtil.isTransferEncodingChunked(this)

/** Returns the time for which the upstream keeps the connection open while it is idle, or null if it states none. */
internal fun HttpResponse.keepAliveMillis(): Long? {
    val stated = headers()[KEEP_ALIVE]?.substringAfter(KEEP_ALIVE_TIMEOUT, "") ?: return null
    return stated.takeWhile(Char::isDigit).toLongOrNull()?.let { it * MILLIS_PER_SECOND }
}

/** Returns the reason that the upstream states for not executing the request, or null when it states none. */
internal fun HttpResponse.refusal(headerNames: HeaderNames): UpstreamRefusal? {
    val status = status().code()
    val notExecuted = headers().contains(headerNames.notExecuted)
    return when {
        status == HttpResponseStatus.MISDIRECTED_REQUEST.code() -> UpstreamRefusal.AnotherUpstream
        !notExecuted -> null
        status == HttpResponseStatus.SERVICE_UNAVAILABLE.code() -> UpstreamRefusal.Full
        status == HttpResponseStatus.TOO_MANY_REQUESTS.code() -> UpstreamRefusal.Full
        else -> UpstreamRefusal.Rejected
    }
}
