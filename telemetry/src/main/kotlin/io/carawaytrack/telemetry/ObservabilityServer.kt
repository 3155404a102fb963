/*
 * The port on which a supervisor, the platform's balancer and Prometheus ask: alive, ready for work, metrics.
 */
package io.carawaytrack.telemetry

import io.carawaytrack.model.HostPort
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.runBlocking
import java.io.ByteArrayOutputStream
import java.io.IOException

/** Answers `/healthz`, `/readyz` and `/metrics` until it is closed. */
public interface ObservabilityServer : AutoCloseable {
    /** Port that is listened on; differs from the one asked for only when that was 0. */
    public val port: Int
}

/**
 * Listens on [address]. `/healthz` answers 200 while the process runs, `/readyz` 200 or 503 as [ready] says, and
 * `/metrics` shows [registry] in the Prometheus text format. Throws `IOException` when the address cannot be bound.
 */
public fun ObservabilityServer(
    address: HostPort,
    registry: PrometheusRegistry,
    ready: () -> Boolean,
): ObservabilityServer {
    // The engine's own hook would close the port at the signal, before the graceful shutdown has ended.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    val onFailure = CoroutineExceptionHandler { _, failure -> log.warn(failure) { "serving $address failed" } }
    val server = CoroutineScope(onFailure).embeddedServer(CIO, address.port, address.host) { observe(registry, ready) }
    return KtorObservabilityServer(server, port = startOn(address, server))
}

private const val STOP_GRACE_MILLIS = 100L
private const val STOP_TIMEOUT_MILLIS = 1_000L
private val log = KotlinLogging.logger {}
private val metricsWriter = PrometheusTextFormatWriter.create()

private fun startOn(
    address: HostPort,
    server: EmbeddedServer<*, *>,
): Int = try {
    server.start(wait = false)
    val connectors = runBlocking { server.engine.resolvedConnectors() }
    connectors.first().port
} catch (failure: IOException) {
    throw cannotListen(address, server, failure)
} catch (failure: CancellationException) {
    // The engine may report a failed bind as a cancellation, which a coroutine would take for its own.
    throw cannotListen(address, server, failure)
}

private fun cannotListen(
    address: HostPort,
    server: EmbeddedServer<*, *>,
    failure: Exception,
): IOException {
    server.stop(0, 0)
    val cause = generateSequence<Throwable>(failure) { it.cause }.last()
    return IOException("cannot listen on $address: ${cause.message}", failure)
}

private class KtorObservabilityServer(
    private val server: EmbeddedServer<*, *>,
    override val port: Int,
) : ObservabilityServer {
    override fun close() = server.stop(STOP_GRACE_MILLIS, STOP_TIMEOUT_MILLIS)
}

private fun Application.observe(
    registry: PrometheusRegistry,
    ready: () -> Boolean,
) {
    routing {
        get("/healthz") { call.respondText("ok\n") }
        get("/readyz") {
            if (ready()) {
                call.respondText("ready\n")
            } else {
                call.respondText("not ready\n", status = HttpStatusCode.ServiceUnavailable)
            }
        }
        get("/metrics") {
            call.respondBytes(textOf(registry), ContentType.parse(metricsWriter.contentType))
        }
    }
}

private fun textOf(registry: PrometheusRegistry): ByteArray {
    val text = ByteArrayOutputStream()
    metricsWriter.write(text, registry.scrape())
    return text.toByteArray()
}
