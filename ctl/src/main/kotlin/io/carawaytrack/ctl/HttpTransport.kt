/*
 * HTTP transport of the administration API.
 */
package io.carawaytrack.ctl

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import io.ktor.utils.io.readRemaining
import kotlinx.io.readString
import java.io.IOException
import java.nio.channels.UnresolvedAddressException

/** Size up to which a response body is read; the rest is ignored. */
private const val MAX_BODY_BYTES = 64L * 1024 * 1024

/** Creates the HTTP client for [httpTransport]; the caller closes it. */
internal fun adminHttpClient(): HttpClient = HttpClient(CIO) {
    expectSuccess = false
    followRedirects = false
    engine { requestTimeout = ATTEMPT_TIMEOUT_MILLIS }
}

/** Creates a transport that sends its requests with [client]. */
internal fun httpTransport(client: HttpClient): AdminTransport = { request ->
    try {
        Ok(client.prepare(request).execute { it.toAdminResponse() })
    } catch (e: IOException) {
        Err(NoResponse(e.message ?: e.toString()))
    } catch (_: UnresolvedAddressException) {
        Err(NoResponse("the host name cannot be resolved"))
    }
}

private suspend fun HttpClient.prepare(request: AdminRequest) =
    prepareRequest("http://${request.address}${request.pathAndQuery}") {
        method = HttpMethod.parse(request.method)
        bearerAuth(request.token)
        request.body?.let {
            contentType(ContentType.Application.Json)
            setBody(it)
        }
    }

private suspend fun HttpResponse.toAdminResponse(): AdminResponse {
    val body = bodyAsChannel().readRemaining(MAX_BODY_BYTES).readString()
    return AdminResponse(status.value, body)
}
