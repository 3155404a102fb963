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
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

class HttpTransportTest {
    private fun send(request: AdminRequest) = runBlocking { httpTransport(adminHttpClient())(request) }

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

    /** Sends a request to a server that answers with [bytes] and ends the connection. */
    private fun answeredBy(bytes: String) = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
        val answering =
            CompletableFuture.runAsync {
                server.accept().use { socket ->
                    val request = StringBuilder()
                    while (!request.endsWith("\r\n\r\n")) request.append(socket.getInputStream().read().toChar())
                    socket.getOutputStream().write(bytes.toByteArray(Charsets.ISO_8859_1))
                }
            }
        send(AdminRequest(HostPort("127.0.0.1", server.localPort), "GET", "/v1/status", "secret"))
            .also { answering.get(20, TimeUnit.SECONDS) }
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\n{}",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n{}",
        ],
    )
    fun `a valid response is returned`(bytes: String) {
        expectThat(answeredBy(bytes)).isEqualTo(Ok(AdminResponse(200, "{}")))
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
            "HTTP/1.1 200 OK\r\nx y: 1\r\nContent-Length: 2\r\n\r\n{}",
            "HTTP/1.1 200 OK\r\nx\u0001: 1\r\nContent-Length: 2\r\n\r\n{}",
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n{}",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", "junk\r\n\r\n", "",
        ],
    )
    fun `a response that is not valid and whole is no response`(bytes: String) {
        expectThat(answeredBy(bytes).getError()).isNotNull()
    }
}
