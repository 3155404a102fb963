/*
 * Guards against malformed frames that are accepted as messages or that cause an exception instead of a failure. The
 * random bytes and the flipped bits are seeded.
 */
package io.carawaytrack.wire

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.Membership
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.RequestId
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.model.notRun
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.runBlocking
import kotlinx.io.IOException
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.nio.ByteBuffer
import kotlin.random.Random

private const val SEED_COUNT = 2_000
private const val MAX_TEST_FRAME_BYTES = 4_096

class FrameCodecTest {
    private val load = UpstreamLoad(1, 2, 3)
    private val messages =
        listOf(
            Ping,
            AnswerChunk(1, 2, ByteArray(64)),
            AnswerEnd(1, 2, Usage(3, 4), load),
            AttemptRefused(1, ErrorKind.PoolExhausted.notRun(), load),
            LeaseGrant(1, 2, 3, Configuration(4), membership = Membership(1, true, emptyList())),
            OpenAttempt(
                attempt = 1,
                request = RequestId("r"),
                organisation = OrganisationName("market"),
                version = ModelVersion("pen", "1"),
                configurationNumber = 1,
                method = "POST",
                path = "/",
                headers = listOf(Header("a", "b")),
                body = ByteArray(32),
                timeoutMillis = 1,
                creditBytes = 1,
            ),
        )

    private fun frame(payload: ByteArray): ByteArray = ByteBuffer
        .allocate(Int.SIZE_BYTES + payload.size)
        .putInt(payload.size)
        .put(payload)
        .array()

    /** Reads [bytes] like a link does; returns null at the end of the stream or on an I/O error. */
    private fun read(bytes: ByteArray): Result<Message, Failure>? = runBlocking {
        try {
            ByteReadChannel(bytes).readFrame(MAX_TEST_FRAME_BYTES)
        } catch (_: IOException) {
            null
        }
    }

    private fun expectMessageOrViolation(
        bytes: ByteArray,
        description: String,
    ) {
        val failure = read(bytes)?.getError() ?: return
        expectThat(failure.kind).describedAs(description).isEqualTo(ErrorKind.ProtocolViolation)
    }

    @Test
    fun `random bytes are rejected as a protocol violation and cause no other exception`() {
        repeat(SEED_COUNT) { seed ->
            val random = Random(seed)
            val bytes = random.nextBytes(random.nextInt(1, 200))
            expectMessageOrViolation(bytes, "bytes of seed $seed")
            expectMessageOrViolation(frame(bytes), "frame of seed $seed")
        }
    }

    @Test
    fun `a frame with flipped bits is decoded or rejected as a protocol violation`() {
        repeat(SEED_COUNT) { seed ->
            val random = Random(seed)
            val payload = messages.random(random).encode()
            repeat(random.nextInt(1, 4)) {
                val position = random.nextInt(payload.size)
                payload[position] = (payload[position].toInt() xor (1 shl random.nextInt(Byte.SIZE_BITS))).toByte()
            }
            expectMessageOrViolation(frame(payload), "flipped frame of seed $seed")
        }
    }

    @Test
    fun `a truncated frame is never decoded as a message`() {
        messages.map { frame(it.encode()) }.forEach { complete ->
            (0 until complete.size).forEach { size -> expectThat(read(complete.copyOf(size))).isEqualTo(null) }
            (1 until complete.size - Int.SIZE_BYTES).forEach { size ->
                val payload = complete.copyOfRange(Int.SIZE_BYTES, Int.SIZE_BYTES + size)
                expectThat(read(frame(payload))?.getError()?.kind).isEqualTo(ErrorKind.ProtocolViolation)
            }
        }
    }

    @Test
    fun `a frame with an invalid length is rejected before its payload is read`() {
        listOf(0, -1, MAX_TEST_FRAME_BYTES + 1, Int.MAX_VALUE).forEach { size ->
            val header = ByteBuffer.allocate(Int.SIZE_BYTES).putInt(size).array()
            expectThat(read(header)?.getError()?.kind).isEqualTo(ErrorKind.ProtocolViolation)
        }
    }
}
