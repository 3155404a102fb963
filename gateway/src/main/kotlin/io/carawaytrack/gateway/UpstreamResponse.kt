/*
 * What the head of an upstream's answer says: whether the request ran, and what became of it.
 */
package io.carawaytrack.gateway

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass

/** Says why an upstream has not run a request. */
internal enum class UpstreamRefusal {
    /** Another upstream holds the address now. */
    AnotherUpstream,

    /** It has no room. */
    Full,

    /** It rejects this request. */
    Rejected,
}

internal fun HttpResponse.isSuccess(): Boolean = status().codeClass() == HttpStatusClass.SUCCESS

internal fun HttpResponse.isFailure(): Boolean = status().codeClass() == HttpStatusClass.SERVER_ERROR

/** Returns whether the upstream has signed the answer. */
internal fun HttpResponse.isSigned(headerNames: HeaderNames): Boolean = headers().contains(headerNames.signature)

/** Returns why the upstream says that it has not run the request, or null when it doesn't say so. */
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
