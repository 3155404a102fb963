/*
 * Shared fixtures of the stand-in tests: a clock that each delay advances, and an HTTP client.
 */
package io.carawaytrack.standins

import io.carawaytrack.model.ModelVersion
import java.io.InputStream
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicLong

/** A clock that each delay advances by its length, without waiting. */
class AutoAdvancingClock {
    val nowMillis = AtomicLong()
    val timing = Timing({ nowMillis.get() }, { nowMillis.addAndGet(it) })
}

val QUILL_1 = ModelVersion("quill", "1")
val QUILL_2 = ModelVersion("quill", "2")

class StandInClient(
    private val port: Int,
) {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    fun get(path: String): HttpResponse<String> = client.send(request(path).build(), BodyHandlers.ofString())

    fun post(
        path: String,
        body: String,
        vararg headers: Pair<String, String>,
    ): HttpResponse<String> = client.send(postRequest(path, body, *headers), BodyHandlers.ofString())

    fun postAsync(
        path: String,
        body: String,
        vararg headers: Pair<String, String>,
    ): CompletableFuture<HttpResponse<String>> =
        client.sendAsync(postRequest(path, body, *headers), BodyHandlers.ofString())

    fun open(
        path: String,
        body: String,
        vararg headers: Pair<String, String>,
    ): HttpResponse<InputStream> = client.send(postRequest(path, body, *headers), BodyHandlers.ofInputStream())

    fun chat(
        prompt: String = "a letter",
        model: String = "quill",
        vararg headers: Pair<String, String>,
    ): HttpResponse<String> = post(CHAT_PATH, chatBody(prompt, model), *headers)

    private fun postRequest(
        path: String,
        body: String,
        vararg headers: Pair<String, String>,
    ): HttpRequest = headers
        .fold(request(path).POST(HttpRequest.BodyPublishers.ofString(body))) { request, (name, value) ->
            request.header(name, value)
        }.build()

    private fun request(path: String) = HttpRequest.newBuilder(URI.create("http://127.0.0.1:$port$path"))

    companion object {
        const val CHAT_PATH = "/v1/chat/completions"

        fun chatBody(
            prompt: String = "a letter",
            model: String = "quill",
            stream: Boolean = false,
            extraFields: String = "",
        ) = """{"model":"$model","stream":$stream$extraFields,"messages":[{"role":"user","content":"$prompt"}]}"""
    }
}
