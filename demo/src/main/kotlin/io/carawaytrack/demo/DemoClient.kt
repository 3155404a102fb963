/*
 * Client of the demo's processes in the roles of a caller, an operator and a load balancer.
 */
package io.carawaytrack.demo

import io.carawaytrack.model.ChangeReply
import io.carawaytrack.model.ChangeRequest
import io.carawaytrack.model.ConfigurationChange
import io.carawaytrack.model.StatusReport
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.UUID

private const val POLL_INTERVAL_MILLIS = 100L
private const val WAIT_TIMEOUT_MILLIS = 60_000L

/**
 * Describes the answer of an entry.
 *
 * @property repeated whether the entry returned an answer that was recorded earlier
 */
public data class CallerAnswer(
    val status: Int,
    val version: String?,
    val upstream: String?,
    val requestId: String?,
    val repeated: Boolean,
    val body: String,
)

/** Calls a deployment whose files [planDemo] has written to [folder]. */
public class DemoClient(
    folder: Path,
) : AutoCloseable {
    public val addresses: DemoAddresses = DemoAddresses.read(folder)

    /** Bearer key of the demo's organisation. */
    public val callerKey: String = Files.readString(folder.resolve(CALLER_KEY_FILE))

    /** Token of the demo's operator. */
    public val operatorToken: String = Files.readString(folder.resolve(OPERATOR_TOKEN_FILE))
    private val json = Json { ignoreUnknownKeys = true }
    private val http =
        HttpClient(CIO) {
            engine { requestTimeout = WAIT_TIMEOUT_MILLIS }
        }

    /** Posts [body] to the entry with index [entry]. */
    public suspend fun call(
        entry: Int,
        path: String,
        body: String,
        headers: Map<String, String> = emptyMap(),
    ): CallerAnswer {
        val response =
            http.post("http://${addresses.callers[entry]}$path") {
                header(HttpHeaders.Authorization, "Bearer $callerKey")
                headers.forEach { (name, value) -> header(name, value) }
                contentType(ContentType.Application.Json)
                setBody(body)
            }
        return CallerAnswer(
            status = response.status.value,
            version = response.headers["X-Caraway-Version"],
            upstream = response.headers["X-Caraway-Upstream"],
            requestId = response.headers["X-Request-Id"],
            repeated = response.headers["X-Caraway-Repeated"] == "true",
            body = response.bodyAsText(),
        )
    }

    /** Submits one change; sends the same operation to the control hosts in turn until the leader accepts it. */
    public suspend fun change(change: ConfigurationChange): Long {
        val request = ChangeRequest(operationId = UUID.randomUUID().toString(), change = change)
        val body = json.encodeToString(ChangeRequest.serializer(), request)
        val answer =
            pollUntilNotNull("an accepted change") {
                callLeader { address ->
                    http.post("http://$address/v1/changes") {
                        header(HttpHeaders.Authorization, "Bearer $operatorToken")
                        setBody(body)
                    }
                }
            }
        return json.decodeFromString<ChangeReply>(answer).number
    }

    /** Returns the status that the leader reports, null when no control host answers. */
    public suspend fun status(): StatusReport? {
        val answer =
            callLeader { address ->
                http.get("http://$address/v1/status") { header(HttpHeaders.Authorization, "Bearer $operatorToken") }
            }
        return answer?.let { json.decodeFromString<StatusReport>(it) }
    }

    private suspend fun callLeader(send: suspend (String) -> HttpResponse): String? {
        addresses.administration.forEach { address ->
            val response = responseOrNull { send(address) }
            if (response != null && response.status.isSuccess()) return response.bodyAsText()
        }
        return null
    }

    /** Returns the counters of the stand-in of [upstream] as JSON. */
    public suspend fun upstreamCounters(upstream: String): String =
        http.get("http://${addresses.upstreams.getValue(upstream)}/counters").bodyAsText()

    /** Returns whether [node] reports that it is ready. */
    public suspend fun ready(node: String): Boolean {
        val address = addresses.observability.getValue(node)
        return responseOrNull { http.get("http://$address/readyz") }?.status?.isSuccess() ?: false
    }

    private suspend fun responseOrNull(send: suspend () -> HttpResponse): HttpResponse? = try {
        send()
    } catch (_: IOException) {
        null
    }

    /** Waits until [condition] holds; fails when it does not hold within a minute. */
    public suspend fun until(
        expectation: String,
        condition: suspend () -> Boolean,
    ) {
        pollUntilNotNull(expectation) { if (condition()) Unit else null }
    }

    private suspend fun <T : Any> pollUntilNotNull(
        expectation: String,
        attempt: suspend () -> T?,
    ): T {
        val result =
            withTimeoutOrNull(WAIT_TIMEOUT_MILLIS) {
                var latest = attempt()
                while (latest == null) {
                    delay(POLL_INTERVAL_MILLIS)
                    latest = attempt()
                }
                latest
            }
        return checkNotNull(result) { "expected $expectation within $WAIT_TIMEOUT_MILLIS ms" }
    }

    override fun close(): Unit = http.close()
}
