/*
 * Client of the platform's rating service. A rating that fails, exceeds the timeout, or comes in a response that is not
 * valid and whole counts as missing.
 */
package io.carawaytrack.entry

import io.carawaytrack.model.HostPort
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.RequestId
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.future.await
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse.BodyHandlers

private val logger = KotlinLogging.logger {}

private const val RATING_TIMEOUT_MILLIS = 2_000L
private const val OK_STATUS = 200

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
) {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
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
        val request =
            HttpRequest
                .newBuilder(URI("http://$address/rate"))
                .header("Content-Type", "application/json")
                .POST(BodyPublishers.ofString(body))
                .build()
        val response = client.sendAsync(request, BodyHandlers.ofString()).await()
        if (response.statusCode() != OK_STATUS) return null
        return runCatching { json.decodeFromString<RatingReply>(response.body()).rating }.getOrNull()
    }
}
