/*
 * Guards against lost messages and against peers that are accepted without a valid handshake. Uses loopback sockets.
 */
package io.carawaytrack.wire

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.ZoneName
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.net.Socket
import java.nio.ByteBuffer

class LinkTest {
    private val acceptor = PeerIdentity(NodeId("agent-1"), NodeRole.Agent, ZoneName("z1"))
    private val connector = PeerIdentity(NodeId("entry-1"), NodeRole.Entry, ZoneName("z1"))
    private val ephemeralPort = HostPort("127.0.0.1", 0)

    private fun hub(
        self: PeerIdentity,
        secret: String = "shared",
    ) = LinkHub(self, SharedSecret(secret.encodeToByteArray())) { System.nanoTime() / 1_000_000 }

    @Test
    fun `a message is received with the identity of its sender`(): Unit = runBlocking {
        val received = CompletableDeferred<Pair<PeerIdentity, Message?>>()
        hub(acceptor).use { server ->
            val port = server.listen(ephemeralPort) { received.complete(it.peer to it.receive()) }
            hub(connector).use { client ->
                val link = client.connect(HostPort("127.0.0.1", port)).get()!!
                expectThat(link.peer.node).isEqualTo(acceptor.node)
                expectThat(link.send(CancelAttempt(7))).isTrue()
                val (peer, message) = received.await()
                expectThat(peer).isEqualTo(connector)
                expectThat(message).isA<CancelAttempt>().get { attempt }.isEqualTo(7)
            }
        }
    }

    @Test
    fun `a peer with a different secret is rejected`(): Unit = runBlocking {
        hub(acceptor).use { server ->
            val port = server.listen(ephemeralPort) { error("expected no link, got one without a valid proof") }
            hub(connector, secret = "other").use { client ->
                val failure = client.connect(HostPort("127.0.0.1", port)).getError()
                expectThat(failure?.kind).isEqualTo(ErrorKind.ProtocolViolation)
            }
        }
    }

    private class InvalidInput(
        val name: String,
        val bytes: ByteArray,
    )

    @TestFactory
    fun `input other than a valid handshake closes the connection`(): List<DynamicTest> = listOf(
        InvalidInput("a frame over the size limit", frame(Int.MAX_VALUE, byteArrayOf())),
        InvalidInput("a frame of negative length", frame(-1, byteArrayOf())),
        InvalidInput("bytes that are not a message", frame(4, byteArrayOf(1, 2, 3, 4))),
        InvalidInput("an HTTP request", "GET / HTTP/1.1\r\n\r\n".encodeToByteArray()),
        InvalidInput("a message other than Hello", framed(Ping)),
        InvalidInput("another protocol version", framed(helloOfVersion(PROTOCOL_VERSION + 1))),
    ).map { case -> DynamicTest.dynamicTest(case.name) { expectThat(closesAfter(case.bytes)).isTrue() } }

    private fun helloOfVersion(version: Int) =
        Hello(version, connector.node, connector.role, connector.zone, ByteArray(16), ByteArray(32))

    private fun framed(message: Message): ByteArray = message.encode().let { frame(it.size, it) }

    private fun frame(
        size: Int,
        payload: ByteArray,
    ): ByteArray = ByteBuffer
        .allocate(Int.SIZE_BYTES + payload.size)
        .putInt(size)
        .put(payload)
        .array()

    private fun closesAfter(bytes: ByteArray): Boolean = runBlocking {
        hub(acceptor).use { server ->
            val port = server.listen(ephemeralPort) { error("expected no link, got one without a valid proof") }
            withContext(Dispatchers.IO) {
                Socket("127.0.0.1", port).use { socket ->
                    socket.getOutputStream().write(bytes)
                    socket.getInputStream().readBytes()
                    true
                }
            }
        }
    }

    @Test
    fun `a closed link receives null and rejects messages`(): Unit = runBlocking {
        hub(acceptor).use { server ->
            val port = server.listen(ephemeralPort) { it.close() }
            hub(connector).use { client ->
                val link = client.connect(HostPort("127.0.0.1", port)).get()!!
                expectThat(link.receive()).isNull()
                expectThat(link.send(Ping)).isEqualTo(false)
            }
        }
    }
}
