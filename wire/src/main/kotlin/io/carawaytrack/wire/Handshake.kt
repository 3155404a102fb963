/*
 * Mutual authentication of a link. Both sides prove knowledge of the shared secret without sending it: each proof is an
 * HMAC over the nonces of both sides and the node id of the prover, so that a recorded proof cannot be replayed.
 */
package io.carawaytrack.wire

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.ZoneName
import io.carawaytrack.model.notRun
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Identifies the process at the other end of a link. */
public data class PeerIdentity(
    val node: NodeId,
    val role: NodeRole,
    val zone: ZoneName,
)

/** Holds the secret shared by all processes of a deployment; [toString] hides it, so that it cannot reach the logs. */
public class SharedSecret(
    private val bytes: ByteArray,
) {
    internal fun proof(
        side: String,
        node: NodeId,
        acceptorNonce: ByteArray,
        connectorNonce: ByteArray,
    ): ByteArray {
        val mac = Mac.getInstance(PROOF_ALGORITHM)
        mac.init(SecretKeySpec(bytes, PROOF_ALGORITHM))
        mac.update("$side/$PROTOCOL_VERSION/$node/".encodeToByteArray())
        mac.update(acceptorNonce)
        return mac.doFinal(connectorNonce)
    }

    override fun toString(): String = "SharedSecret(hidden)"
}

private const val PROOF_ALGORITHM = "HmacSHA256"
private const val NONCE_BYTES = 16
private const val CONNECTOR = "connector"
private const val ACCEPTOR = "acceptor"

private val secureRandom = SecureRandom()

private fun newNonce(): ByteArray = ByteArray(NONCE_BYTES).also(secureRandom::nextBytes)

/** Performs the connecting side of the handshake: sends this side's proof and verifies that of the acceptor. */
internal suspend fun connectHandshake(
    read: ByteReadChannel,
    write: ByteWriteChannel,
    self: PeerIdentity,
    secret: SharedSecret,
): Result<PeerIdentity, Failure> {
    val challenge = read.expect<Challenge>().getOrElse { return Err(it) }
    if (challenge.protocol != PROTOCOL_VERSION) return Err(versionMismatch(challenge.protocol))
    val nonce = newNonce()
    val proof = secret.proof(CONNECTOR, self.node, challenge.nonce, nonce)
    write.writeFrame(Hello(PROTOCOL_VERSION, self.node, self.role, self.zone, nonce, proof))
    write.flush()
    val welcome = read.expect<Welcome>().getOrElse { return Err(it) }
    val expected = secret.proof(ACCEPTOR, welcome.node, challenge.nonce, nonce)
    if (!MessageDigest.isEqual(expected, welcome.proof)) return Err(invalidProof(welcome.node))
    return Ok(PeerIdentity(welcome.node, NodeRole.Control, ZoneName("")))
}

/** Performs the accepting side of the handshake: sends the challenge, verifies the proof and sends its own. */
internal suspend fun acceptHandshake(
    read: ByteReadChannel,
    write: ByteWriteChannel,
    self: PeerIdentity,
    secret: SharedSecret,
): Result<PeerIdentity, Failure> {
    val nonce = newNonce()
    write.writeFrame(Challenge(PROTOCOL_VERSION, nonce))
    write.flush()
    val hello = read.expect<Hello>().getOrElse { return Err(it) }
    if (hello.protocol != PROTOCOL_VERSION) return Err(versionMismatch(hello.protocol))
    val expected = secret.proof(CONNECTOR, hello.node, nonce, hello.nonce)
    if (!MessageDigest.isEqual(expected, hello.proof)) return Err(invalidProof(hello.node))
    write.writeFrame(Welcome(self.node, secret.proof(ACCEPTOR, self.node, nonce, hello.nonce)))
    write.flush()
    return Ok(PeerIdentity(hello.node, hello.role, hello.zone))
}

private suspend inline fun <reified M : Message> ByteReadChannel.expect(): Result<M, Failure> {
    val expected = M::class.simpleName ?: "message"
    val frame = readFrame(MAX_HANDSHAKE_FRAME_BYTES) ?: return Err(protocolViolation(expected, "the end of the stream"))
    val message = frame.getOrElse { return Err(it) }
    if (message !is M) return Err(protocolViolation(expected, message::class.simpleName))
    return Ok(message)
}

private fun versionMismatch(protocol: Int) =
    protocolViolation("protocol version $PROTOCOL_VERSION", "version $protocol")

private fun invalidProof(node: NodeId) =
    ErrorKind.Unauthorized.notRun("expected a proof of the shared secret from $node, got an invalid one")
