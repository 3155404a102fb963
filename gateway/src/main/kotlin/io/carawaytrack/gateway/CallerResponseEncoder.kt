/*
 * Encoding of responses to a caller. Whether a response has a body depends on the method of the request that it
 * answers.
 */
package io.carawaytrack.gateway

import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder

internal class CallerResponseEncoder : HttpResponseEncoder() {
    /** Whether the next response ends with its head. */
    var withoutBody = false
        private set

    /** Encodes the next response as one to a request with [method]. */
    fun answer(method: HttpMethod) {
        withoutBody = method == HttpMethod.HEAD
    }

    override fun isContentAlwaysEmpty(response: HttpResponse): Boolean =
        withoutBody || super.isContentAlwaysEmpty(response)
}
