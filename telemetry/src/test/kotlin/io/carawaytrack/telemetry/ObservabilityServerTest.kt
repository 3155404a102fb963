/*
 * Tests the observability port over HTTP, as queried by a supervisor and Prometheus.
 */
package io.carawaytrack.telemetry

import io.carawaytrack.model.HostPort
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.ZoneName
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

private val anyPort = HostPort("127.0.0.1", 0)

class ObservabilityServerTest {
    private val telemetry = Telemetry(NodeId("entry-1"), NodeRole.Entry, ZoneName("a"))

    private fun get(
        server: ObservabilityServer,
        path: String,
    ): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:${server.port}$path")).build()
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString())
    }

    @ParameterizedTest
    @CsvSource(
        "/healthz, true, 200",
        "/healthz, false, 200",
        "/readyz, true, 200",
        "/readyz, false, 503",
        "/metrics, false, 200",
        "/other, true, 404",
    )
    fun `each path returns the status for the state of the process`(
        path: String,
        ready: Boolean,
        status: Int,
    ) {
        ObservabilityServer(anyPort, telemetry.registry) { ready }.use { server ->
            expectThat(get(server, path).statusCode()).isEqualTo(status)
        }
    }

    @Test
    fun `the metrics are in the Prometheus text format`() {
        ObservabilityServer(anyPort, telemetry.registry) { true }.use { server ->
            val response = get(server, "/metrics")
            expectThat(response.headers().firstValue("Content-Type").get()).contains("text/plain")
            expectThat(response.body())
                .contains("# TYPE jvm_memory_used_bytes gauge")
                .contains("jvm_memory_used_bytes{area=\"heap\"}")
        }
    }

    @Test
    fun `binding a port in use fails immediately`() {
        ObservabilityServer(anyPort, telemetry.registry) { true }.use { server ->
            expectThrows<IOException> {
                ObservabilityServer(HostPort("127.0.0.1", server.port), telemetry.registry) { true }
            }.get { message }.isEqualTo("cannot listen on 127.0.0.1:${server.port}: Address already in use")
        }
    }

    @Test
    fun `the shutdown hook of the engine is disabled`() {
        ObservabilityServer(anyPort, telemetry.registry) { true }.use {
            val shutdownHook = Class.forName("io.ktor.server.engine.ShutdownHookJvmKt")
            expectThat(shutdownHook.getMethod("getSHUTDOWN_HOOK_ENABLED").invoke(null)).isEqualTo(false)
        }
    }

    @Test
    fun `a closed server releases its port`() {
        val port = ObservabilityServer(anyPort, telemetry.registry) { true }.use { it.port }
        val reopened = ObservabilityServer(HostPort("127.0.0.1", port), telemetry.registry) { true }
        reopened.use { expectThat(it.port == port).isTrue() }
    }
}
