/*
 * A caller's request as the gateway works on it, and the request that it sends to an upstream in its place.
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

/** Most urgent value that a request of the lowest rank gets, and the step between two ranks. */
private const val LOWEST_URGENCY = 9
private const val URGENCY_STEP = 2
private const val FIRST_URGENCY = 1

/** Headers that concern one connection only, in lower case. */
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
 * Holds a request that a route takes.
 *
 * @property endsAtMillis when the caller or the route stops waiting, whichever is first
 * @property rank urgency, 0 first
 */
internal class CallerRequest(
    val head: HttpRequest,
    val body: ByteBuf,
    val id: String,
    val route: CatalogRoute,
    val organisation: CatalogOrganisation?,
    val arrivedAtMillis: Long,
    val endsAtMillis: Long,
    val demand: PromptDemand,
    val session: String,
) {
    val rank: Int = organisation?.priority ?: route.priority

    /** Whether the gateway is to choose the model. */
    val anyModel: Boolean get() = route.models.isNotEmpty()

    /** Identifier of the last event that the caller has, if it resumes a stream. */
    fun lastEventId(): String? = head.headers()[LAST_EVENT_ID]
}

/** Deadline of requests that state none, in milliseconds: as long as the longest of today's routes waits. */
private const val DEFAULT_DEADLINE_MILLIS = 30_000L

/** Reads a request that [match] takes and that arrived at [nowMillis]. */
internal fun readRequest(
    head: HttpRequest,
    body: ByteBuf,
    match: RouteMatch.Found,
    vocabulary: HeaderVocabulary,
    nowMillis: Long,
): CallerRequest {
    val headers = head.headers()
    val id = headers[vocabulary.attemptId].orEmpty()
    val deadlineMillis = headers[vocabulary.deadlineMillis]?.toLongOrNull() ?: DEFAULT_DEADLINE_MILLIS
    val demand = promptDemand(headers[vocabulary.tokenUsage], headers[vocabulary.promptParts])
    return CallerRequest(
        head = head,
        body = body,
        id = id,
        route = match.route,
        organisation = match.organisation,
        arrivedAtMillis = nowMillis,
        endsAtMillis = nowMillis + minOf(deadlineMillis, match.route.timeoutMillis),
        demand = demand,
        session = sessionOf(headers, demand, vocabulary, id),
    )
}

/** Reads what tells an organisation's caller from others. */
internal fun bearerKey(headers: HttpHeaders): String? {
    val value = headers[HttpHeaderNames.AUTHORIZATION] ?: return null
    return if (value.startsWith(BEARER, ignoreCase = true)) value.substring(BEARER.length).trim() else null
}

/** Returns the session's name, or else what only requests of one session share. */
internal fun sessionOf(
    headers: HttpHeaders,
    demand: PromptDemand,
    vocabulary: HeaderVocabulary,
    id: String,
): String = headers[vocabulary.session] ?: demand.parts.lastOrNull()?.id ?: id

/**
 * Builds the request for [upstream].
 *
 * @param model model that is to answer; null leaves what the caller said
 * @param lastEventId event after which a stream goes on
 */
internal fun CallerRequest.forUpstream(
    upstream: FleetUpstream,
    vocabulary: HeaderVocabulary,
    leftMillis: Long,
    model: String?,
    lastEventId: String?,
): FullHttpRequest {
    val headers = passedOn(head.headers(), vocabulary.reserved)
    if (bearerKey(head.headers()) != null) headers.remove(HttpHeaderNames.AUTHORIZATION)
    headers[vocabulary.attemptId] = id
    headers[vocabulary.deadlineMillis] = leftMillis.toString()
    headers[vocabulary.expectedUpstream] = upstream.id.value
    headers.remove(vocabulary.organisation)
    organisation?.let { headers[vocabulary.organisation] = it.name.value }
    if (model != null) headers[vocabulary.model] = model
    if (route.streaming) headers[vocabulary.urgency] = urgency().toString()
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
    if (body.isReadable || carriedBody()) HttpUtil.setContentLength(request, body.readableBytes().toLong())
    return request
}

private fun CallerRequest.carriedBody() =
    head.headers().contains(HttpHeaderNames.CONTENT_LENGTH) || HttpUtil.isTransferEncodingChunked(head)

private fun CallerRequest.urgency() = minOf(LOWEST_URGENCY, FIRST_URGENCY + URGENCY_STEP * rank)

private fun namedByConnection(headers: HttpHeaders): List<String> =
    headers.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.map { it.trim().lowercase() }

/** Returns the headers of an upstream's answer that go to the caller. */
internal fun answerHeaders(upstreams: HttpHeaders): HttpHeaders = passedOn(upstreams, reserved = emptySet())

/** Copies [headers] but for those of one connection and the [reserved] ones, which are named in lower case. */
private fun passedOn(
    headers: HttpHeaders,
    reserved: Set<String>,
): HttpHeaders {
    val dropped = connectionHeaders + namedByConnection(headers) + reserved
    val copy = unvalidatedHeaders()
    headers.forEach { (name, value) -> if (name.lowercase() !in dropped) copy.add(name, value) }
    return copy
}

/** Creates headers that take what another message's reader has checked already. */
internal fun unvalidatedHeaders(): HttpHeaders = unvalidated.newHeaders()

private val unvalidated = DefaultHttpHeadersFactory.headersFactory().withValidation(false)
