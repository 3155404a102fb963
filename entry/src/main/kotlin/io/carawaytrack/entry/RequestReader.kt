/*
 * Reads and validates a caller's request: authenticates the organisation, finds the route and checks the body.
 */
package io.carawaytrack.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.Organisation
import io.carawaytrack.model.RequestId
import io.carawaytrack.model.Route
import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.SessionId
import io.carawaytrack.model.notRun
import io.carawaytrack.wire.Header
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.util.flattenEntries
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray

internal const val REQUEST_ID_HEADER = "X-Request-Id"
internal const val SESSION_HEADER = "X-Session-Id"
internal const val IDEMPOTENCY_HEADER = "Idempotency-Key"
internal const val TRACE_HEADER = "traceparent"

private const val MAX_KEY_CHARS = 200

private class Caller(
    val organisation: Organisation,
    val routes: List<Route>,
)

private class RequestKeys(
    val session: String?,
    val idempotencyKey: String?,
)

internal class RequestReader(
    private val tables: RouteTableCache,
    private val settings: EntrySettings,
    private val nowMillis: () -> Long,
) {
    /** Reads [call] as the request [id]. Every failure is `NotRun`, since nothing has been dispatched yet. */
    suspend fun read(
        call: ApplicationCall,
        id: RequestId,
        traceparent: String?,
    ): Result<CallerRequest, Failure> {
        val table = tables.current()
        val caller = caller(table, call).getOrElse { return Err(it) }
        val keys = requestKeys(call).getOrElse { return Err(it) }
        val body = body(call).getOrElse { return Err(it) }
        val chat = chat(caller.routes, body).getOrElse { return Err(it) }
        val route = route(table, caller.routes, chat).getOrElse { return Err(it) }
        return Ok(
            CallerRequest(
                id = id,
                organisation = caller.organisation,
                route = route,
                method = call.request.httpMethod.value,
                path = call.request.uri,
                headers =
                    call.request.headers
                        .flattenEntries()
                        .map { (name, value) -> Header(name, value) },
                body = body,
                chat = chat,
                session = keys.session?.let(::SessionId),
                idempotencyKey = keys.idempotencyKey,
                traceparent = traceparent,
                deadlineAtMillis = nowMillis() + route.timeoutMillis,
            ),
        )
    }

    private fun caller(
        table: RouteTable,
        call: ApplicationCall,
    ): Result<Caller, Failure> {
        val authorization = call.request.headers[HttpHeaders.Authorization]
        val organisation = table.organisation(authorization).getOrElse { return Err(it) }
        return table
            .routes(organisation, call.request.httpMethod.value, call.request.path())
            .map { Caller(organisation, it) }
    }

    private fun requestKeys(call: ApplicationCall): Result<RequestKeys, Failure> {
        val session = call.keyHeader(SESSION_HEADER).getOrElse { return Err(it) }
        return call.keyHeader(IDEMPOTENCY_HEADER).map { RequestKeys(session, it) }
    }

    private fun ApplicationCall.keyHeader(header: String): Result<String?, Failure> {
        val value = request.headers[header] ?: return Ok(null)
        if (value.isNotBlank() && value.length <= MAX_KEY_CHARS) return Ok(value)
        val detail = "expected $header of 1 to $MAX_KEY_CHARS characters, got ${value.length}"
        return Err(ErrorKind.MalformedRequest.notRun(detail))
    }

    private suspend fun body(call: ApplicationCall): Result<ByteArray, Failure> {
        val limit = settings.maxBodyBytes
        val declared = call.request.headers[HttpHeaders.ContentLength]?.toLongOrNull() ?: 0
        if (declared > limit) return Err(tooLarge(limit))
        val body =
            withTimeoutOrNull(settings.receiveTimeoutMillis) {
                call.receiveChannel().readRemaining(limit + 1L).readByteArray()
            } ?: return Err(
                ErrorKind.RequestTimeout.notRun("body incomplete after ${settings.receiveTimeoutMillis} ms"),
            )
        if (body.size > limit) return Err(tooLarge(limit))
        return Ok(body)
    }

    private fun tooLarge(limit: Int) = ErrorKind.BodyTooLarge.notRun("expected a request body of at most $limit bytes")

    private fun chat(
        routes: List<Route>,
        body: ByteArray,
    ): Result<ChatBody?, Failure> {
        if (routes.first().kind != ServiceKind.Model) return Ok(null)
        return ChatBody.parse(body)
    }

    private fun route(
        table: RouteTable,
        routes: List<Route>,
        chat: ChatBody?,
    ): Result<Route, Failure> {
        if (chat == null) return Ok(routes.first())
        return table.modelRoute(routes, chat.model)
    }
}
