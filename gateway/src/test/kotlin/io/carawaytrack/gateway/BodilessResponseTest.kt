/*
 * Responses without a body, by the method of their request or by their status: where they end, on connections to
 * upstreams and on those of callers.
 */
package io.carawaytrack.gateway

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith

/** Time until the deadline; a response whose missing body is awaited ends only there. */
private const val DEADLINE_MILLIS = 3_000

internal class BodilessResponseTest : GatewayFixture() {
    private fun head(
        id: String,
        length: Int,
    ) = "HTTP/1.1 200 OK\nx-attempt: $id\nx-seal: s\nContent-Length: $length\n\n"

    // Guards against a decoder that takes another response for the one to a HEAD request.
    @ParameterizedTest
    @ValueSource(strings = ["", "HTTP/1.1 100 Continue\n\n", "HTTP/1.1 103 Early Hints\nx-more: 1\n\n"])
    fun `the response to a request for a head ends with its head`(interim: String) {
        serve({ request, out, _ ->
            val withBody = !request.start.startsWith("HEAD")
            out.send(interim + head(request["x-attempt"].orEmpty(), 5) + if (withBody) "hello" else "")
            true
        })
        listOf("HEAD", "GET", "HEAD", "POST").forEach { method ->
            FakeCaller(callers).use { caller ->
                caller.send(request("/lookup/x", deadlineMillis = DEADLINE_MILLIS).replaceFirst("POST", method))
                expectThat(caller.readUntil("\r\n\r\n").substring(9, 12)).describedAs(method).isEqualTo("200")
                if (method != "HEAD") expectThat(caller.readUntil("hello")).isEqualTo("hello")
            }
        }
        expectThat(upstreams[0].requests.size).isEqualTo(4)
    }

    @ParameterizedTest
    @CsvSource(
        "/unknown/x, 404",
        "/lookup/x, 200",
        "/draft/x, 200",
        "/oneoff/x, 200",
    )
    fun `the response to a caller's request for a head ends with its head on a kept connection`(
        path: String,
        status: String,
    ) {
        serve({ request, out, _ ->
            val withBody = !request.start.startsWith("HEAD")
            out.send(head(request["x-attempt"].orEmpty(), 5) + if (withBody) "hello" else "")
            true
        })
        FakeCaller(callers).use { caller ->
            repeat(2) {
                caller.send(request(path, deadlineMillis = DEADLINE_MILLIS).replaceFirst("POST", "HEAD"))
                val head = caller.readUntil("\r\n\r\n")
                expectThat(head).startsWith("HTTP/1.1 $status")
            }
            caller.send(request("/lookup/x", deadlineMillis = DEADLINE_MILLIS))
            expectThat(caller.readUntil("hello")).startsWith("HTTP/1.1 200").endsWith("hello")
        }
    }
}
