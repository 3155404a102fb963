/*
 * The handshake by which both ends of a link prove that they know the shared secret, without sending it. Each proof is
 * an HMAC over both sides' numbers used once and the prover's identity, so that a recorded one is of no use later.
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

/** Holds the secret that all processes of a deployment share; its text never shows in logs. */
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

/** Proves this side to the acceptor and checks the acceptor's proof. */
internal suspend fun connectHandshake(
    read: ByteReadChannel,
    write: ByteWriteChannel,
    self: PeerIdentity,
    secret: SharedSecret,
): Result<PeerIdentity, Failure> {
    val challenge = read.expect<Challenge>().getOrElse { return Err(it) }
    if (challenge.protocol != PROTOCOL_VERSION) return Err(wrongVersion(challenge.protocol))
    val nonce = newNonce()
    val proof = secret.proof(CONNECTOR, self.node, challenge.nonce, nonce)
    write.writeFrame(Hello(PROTOCOL_VERSION, self.node, self.role, self.zone, nonce, proof))
    write.flush()
    val welcome = read.expect<Welcome>().getOrElse { return Err(it) }
    val expected = secret.proof(ACCEPTOR, welcome.node, challenge.nonce, nonce)
    if (!MessageDigest.isEqual(expected, welcome.proof)) return Err(unproved(welcome.node))
    return Ok(PeerIdentity(welcome.node, NodeRole.Control, ZoneName("")))
}

/** Challenges the connecting side and answers with this side's proof. */
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
    if (hello.protocol != PROTOCOL_VERSION) return Err(wrongVersion(hello.protocol))
    val expected = secret.proof(CONNECTOR, hello.node, nonce, hello.nonce)
    if (!MessageDigest.isEqual(expected, hello.proof)) return Err(unproved(hello.node))
    write.writeFrame(Welcome(self.node, secret.proof(ACCEPTOR, self.node, nonce, hello.nonce)))
    write.flush()
    return Ok(PeerIdentity(hello.node, hello.role, hello.zone))
}

private suspend inline fun <reified M : Message> ByteReadChannel.expect(): Result<M, Failure> {
    val wanted = M::class.simpleName ?: "message"
    val frame = readFrame(MAX_HANDSHAKE_FRAME_BYTES) ?: return Err(violation(wanted, "the end of the stream"))
    val message = frame.getOrElse { return Err(it) }
    if (message !is M) return Err(violation(wanted, message::class.simpleName))
    return Ok(message)
}

private fun wrongVersion(protocol: Int) = violation("protocol version $PROTOCOL_VERSION", "version $protocol")

private fun unproved(node: NodeId) = ErrorKind.Unauthorized.notRun("expected a proof of the shared secret from $node")
