/*
 * Calls the demo's processes as a caller, an operator and a load balancer would.
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

private const val POLL_MILLIS = 100L
private const val WAIT_MILLIS = 60_000L

/**
 * Holds what an entry answered.
 *
 * @property repeated whether the answer was recorded earlier
 */
public data class CallerAnswer(
    val status: Int,
    val version: String?,
    val upstream: String?,
    val requestId: String?,
    val repeated: Boolean,
    val body: String,
)

/** Calls a deployment that [planDemo] laid out in [folder]. */
public class DemoClient(
    folder: Path,
) : AutoCloseable {
    /** Addresses of the deployment. */
    public val addresses: DemoAddresses = DemoAddresses.read(folder)

    /** Bearer key of the demo's organisation. */
    public val callerKey: String = Files.readString(folder.resolve(CALLER_KEY_FILE))

    /** Token of the demo's operator. */
    public val operatorToken: String = Files.readString(folder.resolve(OPERATOR_TOKEN_FILE))
    private val json = Json { ignoreUnknownKeys = true }
    private val http =
        HttpClient(CIO) {
            engine { requestTimeout = WAIT_MILLIS }
        }

    /** Posts [body] to the entry number [entry]. */
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

    /** Makes one change; the same operation goes to each control host until the leading one takes it. */
    public suspend fun change(change: ConfigurationChange): Long {
        val request = ChangeRequest(operationId = UUID.randomUUID().toString(), change = change)
        val body = json.encodeToString(ChangeRequest.serializer(), request)
        val answer =
            untilSome("an accepted change") {
                administrate { address ->
                    http.post("http://$address/v1/changes") {
                        header(HttpHeaders.Authorization, "Bearer $operatorToken")
                        setBody(body)
                    }
                }
            }
        return json.decodeFromString<ChangeReply>(answer).number
    }

    /** Returns what the leading control host reports, null when none answers. */
    public suspend fun status(): StatusReport? {
        val answer =
            administrate { address ->
                http.get("http://$address/v1/status") { header(HttpHeaders.Authorization, "Bearer $operatorToken") }
            }
        return answer?.let { json.decodeFromString<StatusReport>(it) }
    }

    private suspend fun administrate(send: suspend (String) -> HttpResponse): String? {
        addresses.administration.forEach { address ->
            val response = reached { send(address) }
            if (response != null && response.status.isSuccess()) return response.bodyAsText()
        }
        return null
    }

    /** Returns the counters of the stand-in of [upstream] as JSON. */
    public suspend fun upstreamCounters(upstream: String): String =
        http.get("http://${addresses.upstreams.getValue(upstream)}/counters").bodyAsText()

    /** Returns whether [node] says that it is ready. */
    public suspend fun ready(node: String): Boolean {
        val address = addresses.observability.getValue(node)
        return reached { http.get("http://$address/readyz") }?.status?.isSuccess() ?: false
    }

    private suspend fun reached(send: suspend () -> HttpResponse): HttpResponse? = try {
        send()
    } catch (_: IOException) {
        null
    }

    /** Waits until [condition] holds; fails the demo when it does not. */
    public suspend fun until(
        what: String,
        condition: suspend () -> Boolean,
    ) {
        untilSome(what) { if (condition()) Unit else null }
    }

    private suspend fun <T : Any> untilSome(
        what: String,
        attempt: suspend () -> T?,
    ): T {
        val found =
            withTimeoutOrNull(WAIT_MILLIS) {
                var result = attempt()
                while (result == null) {
                    delay(POLL_MILLIS)
                    result = attempt()
                }
                result
            }
        return checkNotNull(found) { "expected $what within $WAIT_MILLIS ms" }
    }

    override fun close(): Unit = http.close()
}
