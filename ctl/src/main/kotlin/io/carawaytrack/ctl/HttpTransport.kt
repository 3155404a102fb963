/*
 * HTTP transport of the administration API. The JDK's client rejects responses that are not valid or not whole.
 */
package io.carawaytrack.ctl

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runInterruptible
import java.io.IOException
import java.io.InputStream
import java.net.ConnectException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.nio.channels.UnresolvedAddressException
import java.time.Duration

/** Size up to which a response body is read; the rest is ignored. */
private const val MAX_BODY_BYTES = 64 * 1024 * 1024

/** Status codes of HTTP; the client accepts larger ones, too. */
private val statuses = 100..599

/** Creates the HTTP client for [httpTransport]. */
internal fun adminHttpClient(): HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

/** Creates a transport that sends its requests with [client]. */
internal fun httpTransport(client: HttpClient): AdminTransport = { request ->
    try {
        runInterruptible(
            Dispatchers.IO,
        ) { client.send(request.toHttp(), BodyHandlers.ofInputStream()).toAdminResponse() }
    } catch (e: IOException) {
        Err(NoResponse(reasonOf(e)))
    }
}

private fun AdminRequest.toHttp(): HttpRequest {
    val request = HttpRequest.newBuilder(URI("http://$address$pathAndQuery"))
    request.timeout(Duration.ofMillis(ATTEMPT_TIMEOUT_MILLIS))
    request.header("Authorization", "Bearer $token")
    if (body != null) request.header("Content-Type", "application/json")
    return request.method(method, body?.let(BodyPublishers::ofString) ?: BodyPublishers.noBody()).build()
}

private fun HttpResponse<InputStream>.toAdminResponse(): Result<AdminResponse, NoResponse> {
    val content = body().use { it.readNBytes(MAX_BODY_BYTES) }
    if (statusCode() !in statuses) return Err(NoResponse("invalid status ${statusCode()}"))
    return Ok(AdminResponse(statusCode(), content.decodeToString()))
}

private fun reasonOf(failure: IOException): String = when {
    generateSequence<Throwable>(failure) { it.cause }.any { it is UnresolvedAddressException } ->
        "the host name cannot be resolved"
    failure is ConnectException -> failure.message ?: "the connection cannot be opened"
    else -> failure.message ?: failure.toString()
}
