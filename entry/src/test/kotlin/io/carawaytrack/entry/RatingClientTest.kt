/*
 * The client of the rating service over a socket: only a valid and whole answer is a rating.
 */
package io.carawaytrack.entry

import io.carawaytrack.model.HostPort
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.RequestId
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val RATING = "{\"rating\":0.5}"

class RatingClientTest {
    /** Returns the rating by a service that answers with [bytes] and ends the connection. */
    private fun ratingBy(bytes: String): Double? = ServerSocket(0).use { server ->
        val answering =
            CompletableFuture.runAsync {
                server.accept().use { socket ->
                    val request = StringBuilder()
                    while (!request.endsWith("}")) request.append(socket.getInputStream().read().toChar())
                    socket.getOutputStream().write(bytes.toByteArray(Charsets.ISO_8859_1))
                }
            }
        val client = RatingClient(HostPort("127.0.0.1", server.localPort))
        val rating = runBlocking { client.rate(RequestId("r1"), ModelVersion("pen", "1"), "answer".toByteArray()) }
        rating.also { answering.get(20, TimeUnit.SECONDS) }
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n$RATING",
            "HTTP/1.1 200\r\nContent-Length: 14\r\n\r\n$RATING",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n$RATING\r\n0\r\n\r\n",
        ],
    )
    fun `a valid answer is a rating`(bytes: String) {
        expectThat(ratingBy(bytes)).isEqualTo(0.5)
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 000 OK\r\nContent-Length: 14\r\n\r\n$RATING",
            "HTTP/1.1 600 OK\r\nContent-Length: 14\r\n\r\n$RATING",
            "HTTP/1.1 200 OK\r\nx y: 1\r\nContent-Length: 14\r\n\r\n$RATING",
            "HTTP/1.1 500 Oops\r\nContent-Length: 14\r\n\r\n$RATING",
            "HTTP/1.1 200 OK\r\nx\u0001: 1\r\nContent-Length: 14\r\n\r\n$RATING",
            "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n$RATING", "junk\r\n\r\n", "",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n$RATING\r\n",
        ],
    )
    fun `an answer that is not valid and whole is no rating`(bytes: String) {
        expectThat(ratingBy(bytes)).isNull()
    }
}
