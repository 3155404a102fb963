/*
 * Checks the HTTP transport against a server on loopback.
 */
package io.carawaytrack.ctl

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import com.sun.net.httpserver.HttpServer
import io.carawaytrack.model.HostPort
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.net.InetAddress
import java.net.InetSocketAddress

class HttpTransportTest {
    private fun send(request: AdminRequest) =
        adminHttpClient().use { client -> runBlocking { httpTransport(client)(request) } }

    @Test
    fun `a request carries method, path, token and body, and returns status and body`() {
        val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
        server.createContext("/") { exchange ->
            val headers = exchange.requestHeaders
            val received =
                listOf(
                    exchange.requestMethod,
                    exchange.requestURI,
                    headers.getFirst("Authorization"),
                    headers.getFirst("Content-Type"),
                    exchange.requestBody.readBytes().decodeToString(),
                ).joinToString(" ").toByteArray()
            exchange.sendResponseHeaders(421, received.size.toLong())
            exchange.responseBody.use { it.write(received) }
        }
        server.start()
        try {
            val address = HostPort("127.0.0.1", server.address.port)
            expectThat(send(AdminRequest(address, "POST", "/v1/changes?a=b", "secret", "{}")))
                .isEqualTo(Ok(AdminResponse(421, "POST /v1/changes?a=b Bearer secret application/json {}")))
        } finally {
            server.stop(0)
        }
    }

    @Test
    fun `a closed port gives no response`() {
        val closed = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
        val port = closed.address.port
        closed.stop(0)
        val request = AdminRequest(HostPort("127.0.0.1", port), "GET", "/v1/status", "secret")
        expectThat(send(request).getError()).isNotNull()
    }
}
