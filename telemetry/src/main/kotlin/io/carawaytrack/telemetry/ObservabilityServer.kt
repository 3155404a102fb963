/*
 * HTTP server for liveness, readiness and metrics. A supervisor, the platform's load balancer and Prometheus query it.
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

/** Serves `/healthz`, `/readyz` and `/metrics` until it is closed. */
public interface ObservabilityServer : AutoCloseable {
    /** Bound port; differs from the requested port only when that was 0. */
    public val port: Int
}

/**
 * Listens on [address]. `/healthz` returns 200 while the process runs, `/readyz` returns 200 while [ready] is true and
 * 503 otherwise, and `/metrics` returns [registry] in the Prometheus text format. Throws `IOException` when the address
 * cannot be bound.
 */
public fun ObservabilityServer(
    address: HostPort,
    registry: PrometheusRegistry,
    ready: () -> Boolean,
): ObservabilityServer {
    // Ktor's shutdown hook would close the port on the termination signal, before the graceful shutdown completes.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    val onFailure = CoroutineExceptionHandler { _, failure -> log.warn(failure) { "HTTP server on $address failed" } }
    val server = CoroutineScope(onFailure).embeddedServer(CIO, address.port, address.host) { routes(registry, ready) }
    return KtorObservabilityServer(server, port = startAndReturnPort(address, server))
}

private const val STOP_GRACE_MILLIS = 100L
private const val STOP_TIMEOUT_MILLIS = 1_000L
private val log = KotlinLogging.logger {}
private val metricsWriter = PrometheusTextFormatWriter.create()

private fun startAndReturnPort(
    address: HostPort,
    server: EmbeddedServer<*, *>,
): Int = try {
    server.start(wait = false)
    val connectors = runBlocking { server.engine.resolvedConnectors() }
    connectors.first().port
} catch (failure: IOException) {
    throw bindFailure(address, server, failure)
} catch (failure: CancellationException) {
    // The engine may report a failed bind as a cancellation, which a calling coroutine would treat as its own.
    throw bindFailure(address, server, failure)
}

private fun bindFailure(
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

private fun Application.routes(
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
            call.respondBytes(renderMetrics(registry), ContentType.parse(metricsWriter.contentType))
        }
    }
}

private fun renderMetrics(registry: PrometheusRegistry): ByteArray {
    val text = ByteArrayOutputStream()
    metricsWriter.write(text, registry.scrape())
    return text.toByteArray()
}
