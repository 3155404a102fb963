/*
 * What connections from callers report to the gateway, and to the exchange of the current request.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CallerLimits
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * Receives requests and supplies the state that connections depend on.
 *
 * @property malformed called for a request that is rejected with the given status before it is matched to a route
 */
internal class CallerEvents(
    val request: (HttpRequest, ByteBuf, CallerConnection) -> Unit,
    val malformed: (CallerConnection, HttpResponseStatus) -> Unit,
    val limits: () -> CallerLimits,
    val draining: () -> Boolean,
)

/** Receives events of the caller while its request is processed. */
internal interface CallerListener {
    /** Handles the closing of the connection by the caller. */
    fun onCallerDisconnected()

    /** Handles a change of the connection to [writable], or to unwritable because the caller reads too slowly. */
    fun onCallerWritable(writable: Boolean)
}
