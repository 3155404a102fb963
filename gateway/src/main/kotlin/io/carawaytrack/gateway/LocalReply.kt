/*
 * The answers that the gateway gives itself. One that promises that the request has not run is given only where that is
 * known.
 */
package io.carawaytrack.gateway

import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Holds an answer of the gateway's own. */
internal class LocalReply(
    val status: Int,
    val headers: HttpHeaders,
    val content: ByteBuf,
)

private const val MILLIS_PER_SECOND = 1_000.0

/** Status codes that promise that the request has not run. */
private val notRunStatuses = setOf(408, 421, 429, 503)

/** Returns the answer to a caller; one that promises that nothing ran becomes 502 where that isn't known. */
internal fun localReplyTo(failure: Failure): LocalReply {
    val kindStatus = failure.kind.status
    val wouldMislead = kindStatus in notRunStatuses && failure.execution != Execution.NotRun
    val status = if (wouldMislead) ErrorKind.UpstreamFailed.status else kindStatus
    val headers = unvalidatedHeaders()
    headers[HttpHeaderNames.CONTENT_TYPE] = "text/plain; charset=utf-8"
    failure.retryAfterMillis?.let { headers[HttpHeaderNames.RETRY_AFTER] = (it / MILLIS_PER_SECOND).toString() }
    return LocalReply(status, headers, Unpooled.copiedBuffer(failure.detail + "\n", Charsets.UTF_8))
}
