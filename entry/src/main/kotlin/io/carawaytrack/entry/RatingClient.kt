/*
 * Client of the platform's rating service. A rating that fails or exceeds the timeout counts as missing.
 */
package io.carawaytrack.entry

import io.carawaytrack.model.HostPort
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.RequestId
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.io.IOException

private val logger = KotlinLogging.logger {}

private const val RATING_TIMEOUT_MILLIS = 2_000L

@Serializable
private data class RatingRequest(
    val request: String,
    val model: String,
    val version: String,
    val answer: String,
)

@Serializable
private data class RatingReply(
    val rating: Double,
)

internal class RatingClient(
    private val address: HostPort,
) : AutoCloseable {
    private val client = HttpClient(CIO)
    private val json = Json { ignoreUnknownKeys = true }

    suspend fun rate(
        request: RequestId,
        version: ModelVersion,
        answer: ByteArray,
    ): Double? {
        val body = RatingRequest(request.value, version.model, version.version, answer.decodeToString())
        return try {
            withTimeoutOrNull(RATING_TIMEOUT_MILLIS) { requestRating(json.encodeToString(body)) }
        } catch (failure: IOException) {
            logger.debug { "rating request to $address failed: ${failure.message}" }
            null
        }
    }

    private suspend fun requestRating(body: String): Double? {
        val response =
            client.post("http://$address/rate") {
                contentType(ContentType.Application.Json)
                setBody(body)
            }
        return runCatching { json.decodeFromString<RatingReply>(response.bodyAsText()).rating }.getOrNull()
    }

    override fun close(): Unit = client.close()
}
