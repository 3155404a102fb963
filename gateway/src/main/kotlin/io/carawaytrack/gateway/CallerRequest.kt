/*
 * A caller's request as processed by the gateway, and the request derived from it that is sent to an upstream.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CatalogOrganisation
import io.carawaytrack.fleet.CatalogRoute
import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.RouteMatch
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion

private const val LAST_EVENT_ID = "Last-Event-Id"
private const val BEARER = "Bearer "

/** Hop-by-hop headers, in lower case. */
private val connectionHeaders =
    setOf(
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )

/**
 * A request that matches a route.
 *
 * @property deadlineAtMillis the earlier of the caller's deadline and the route's timeout
 * @property ranksByRoute whether routes are ranked by priority within organisations of equal priority; otherwise an
 * organisation's priority replaces the route's
 */
internal class CallerRequest(
    val head: HttpRequest,
    val body: ByteBuf,
    val id: String,
    val route: CatalogRoute,
    val organisation: CatalogOrganisation?,
    val arrivedAtMillis: Long,
    val deadlineAtMillis: Long,
    val demand: PromptDemand,
    val affinity: RequestAffinity,
    val ranksByRoute: Boolean = false,
) {
    /** Urgency among the requests of the host, 0 is the most urgent. */
    val rank: Int = rankOf(organisation?.priority, route.priority, ranksByRoute)

    /** Identity of this request for the quarantine. */
    val traits: RequestTraits by lazy(LazyThreadSafetyMode.NONE) { traitsOf(this) }

    /** Whether the gateway selects the model. */
    val gatewayChoosesModel: Boolean get() = route.models.isNotEmpty()

    /** Returns the identifier of the last event that the caller has received, if it resumes a stream. */
    fun lastEventId(): String? = head.headers()[LAST_EVENT_ID]
}

/** Deadline of requests that specify none: the longest timeout of the routes in force. */
private const val DEFAULT_DEADLINE_MILLIS = 30_000L

/** Parses a request that matches the route of [match] and arrived at [nowMillis]. */
internal fun readRequest(
    head: HttpRequest,
    body: ByteBuf,
    match: RouteMatch.Found,
    headerNames: HeaderNames,
    nowMillis: Long,
    ranksByRoute: Boolean = false,
): CallerRequest {
    val headers = head.headers()
    val id = headers[headerNames.attemptId].orEmpty()
    val deadlineMillis = headers[headerNames.deadlineMillis]?.toLongOrNull() ?: DEFAULT_DEADLINE_MILLIS
    val demand = parsePromptDemand(headers[headerNames.tokenUsage], headers[headerNames.promptParts])
    return CallerRequest(
        head = head,
        body = body,
        id = id,
        route = match.route,
        organisation = match.organisation,
        arrivedAtMillis = nowMillis,
        deadlineAtMillis = nowMillis + minOf(deadlineMillis, match.route.timeoutMillis),
        demand = demand,
        affinity = affinityOf(headers, demand, headerNames, id),
        ranksByRoute = ranksByRoute,
    )
}

/** Returns the bearer key that identifies the caller's organisation, or null when there is none. */
internal fun bearerKey(headers: HttpHeaders): String? {
    val value = headers[HttpHeaderNames.AUTHORIZATION] ?: return null
    return if (value.startsWith(BEARER, ignoreCase = true)) value.substring(BEARER.length).trim() else null
}

/**
 * Identifies the requests that use the same version of a service.
 *
 * @property key the session's identifier, or the request's own identifier if it belongs to no session
 */
internal data class RequestAffinity(
    val key: String,
    val inSession: Boolean,
)

/** Derives the affinity from the session header, or else the last prompt part, or else the request's [id]. */
internal fun affinityOf(
    headers: HttpHeaders,
    demand: PromptDemand,
    headerNames: HeaderNames,
    id: String,
): RequestAffinity {
    val session = headers[headerNames.session] ?: demand.parts.lastOrNull()?.id
    return RequestAffinity(session ?: id, inSession = session != null)
}

/**
 * Builds the request for [upstream].
 *
 * @param model model that is to process the request; null keeps the caller's choice
 * @param lastEventId event after which a stream resumes
 */
internal fun CallerRequest.forUpstream(
    upstream: FleetUpstream,
    headerNames: HeaderNames,
    remainingMillis: Long,
    model: String?,
    lastEventId: String?,
): FullHttpRequest {
    val headers = forwardedHeaders(head.headers(), headerNames.reserved)
    if (bearerKey(head.headers()) != null) headers.remove(HttpHeaderNames.AUTHORIZATION)
    headers[headerNames.attemptId] = id
    headers[headerNames.deadlineMillis] = remainingMillis.toString()
    headers[headerNames.expectedUpstream] = upstream.id.value
    headers.remove(headerNames.organisation)
    organisation?.let { headers[headerNames.organisation] = it.name.value }
    if (model != null) headers[headerNames.model] = model
    if (route.streaming) headers[headerNames.urgency] = urgency().toString()
    if (lastEventId != null) headers[LAST_EVENT_ID] = lastEventId
    val request =
        DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            head.method(),
            head.uri(),
            body.retainedDuplicate(),
            headers,
            EmptyHttpHeaders.INSTANCE,
        )
    if (body.isReadable || hadBody()) HttpUtil.setContentLength(request, body.readableBytes().toLong())
    return request
}

private fun CallerRequest.hadBody() =
    head.headers().contains(HttpHeaderNames.CONTENT_LENGTH) || HttpUtil.isTransferEncodingChunked(head)

/** Returns the scheduling urgency that engines receive, 0 is the most urgent. */
internal fun CallerRequest.urgency(): Int = urgencyOf(rank, ranksByRoute)

private fun connectionNominatedHeaders(headers: HttpHeaders): List<String> =
    headers.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.map { it.trim().lowercase() }

/** Returns the headers of an upstream's response that are forwarded to the caller. */
internal fun responseHeaders(upstreamHeaders: HttpHeaders): HttpHeaders =
    forwardedHeaders(upstreamHeaders, reserved = emptySet())

/** Copies [headers] except for hop-by-hop headers and the [reserved] ones, which are given in lower case. */
private fun forwardedHeaders(
    headers: HttpHeaders,
    reserved: Set<String>,
): HttpHeaders {
    val dropped = connectionHeaders + connectionNominatedHeaders(headers) + reserved
    val copy = unvalidatedHeaders()
    headers.forEach { (name, value) -> if (name.lowercase() !in dropped) copy.add(name, value) }
    return copy
}

/** Creates headers without validation, for values that the decoder of another message has already validated. */
internal fun unvalidatedHeaders(): HttpHeaders = unvalidatedHeadersFactory.newHeaders()

private val unvalidatedHeadersFactory = DefaultHttpHeadersFactory.headersFactory().withValidation(false)
