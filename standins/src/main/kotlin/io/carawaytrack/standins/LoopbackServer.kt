/*
 * The HTTP server and the JSON format that all stand-ins share. The server listens on loopback only.
 */
package io.carawaytrack.standins

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.runCatching
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.applicationEnvironment
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.routing
import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.slf4j.helpers.NOPLogger

/** JSON of the stand-ins' own messages, which includes fields with default values. */
internal val standInJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }

/** Body of a response that refuses a call to a stand-in. */
@Serializable
internal data class ErrorReply(
    val error: String,
)

/** Serves [routes] on 127.0.0.1; port 0 selects a free port. */
internal class LoopbackServer(
    port: Int,
    routes: Routing.() -> Unit,
) : AutoCloseable {
    private val server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration> =
        embeddedServer(
            factory = CIO,
            environment = applicationEnvironment { log = NOPLogger.NOP_LOGGER },
            configure = {
                connector {
                    host = LOOPBACK
                    this.port = port
                }
            },
        ) {
            install(HttpRequestLifecycle) { cancelCallOnClose = true }
            routing(routes)
        }.start(wait = false)

    /** Port that the server is bound to. */
    val port: Int =
        runBlocking {
            server.engine
                .resolvedConnectors()
                .first()
                .port
        }

    /** Closes every open connection without a grace period. */
    override fun close() {
        server.stop(gracePeriodMillis = 0, timeoutMillis = 0)
    }

    companion object {
        const val LOOPBACK = "127.0.0.1"
    }
}

/** Decodes the request body as JSON, or fails with a description of the error. */
internal suspend inline fun <reified T> RoutingCall.receiveJson(): Result<T, String> = decodeJson(receiveText())

internal inline fun <reified T> decodeJson(text: String): Result<T, String> =
    runCatching { standInJson.decodeFromString<T>(text) }.mapError { "expected a valid JSON body: ${it.message}" }

/** Responds with [value] as JSON. */
internal suspend inline fun <reified T> RoutingCall.respondJson(
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) {
    respondText(standInJson.encodeToString(value), ContentType.Application.Json, status)
}

/** Responds with [values] as JSON lines. */
internal suspend inline fun <reified T> RoutingCall.respondJsonLines(values: List<T>) {
    val lines = values.joinToString(separator = "") { standInJson.encodeToString(it) + "\n" }
    respondText(lines, ContentType("application", "x-ndjson"))
}

/**
 * Closes the caller's connection without sending another byte; never returns.
 *
 * Ktor has no API for this, and an exception in the middle of a response can leave the connection open until its idle
 * timeout. Cancelling the coroutine that serves the connection closes it at once, so that coroutine is looked up by
 * name among the ancestors of the current one.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal suspend fun abortConnection(): Nothing {
    val ancestors = generateSequence(currentCoroutineContext()[Job]) { it.parent }
    val connectionJob =
        ancestors.first {
            (it as? CoroutineScope)?.coroutineContext?.get(
                CoroutineName,
            ) == CONNECTION_COROUTINE_NAME
        }
    connectionJob.cancel()
    awaitCancellation()
}

private val CONNECTION_COROUTINE_NAME = CoroutineName("http-pipeline")
