/*
 * Turns messages into frames and back. A frame is a length of four bytes, big-endian, followed by one message in CBOR.
 */
@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package io.carawaytrack.wire

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.runCatching
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.notRun
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.io.EOFException
import kotlinx.serialization.cbor.Cbor

/** Largest frame that a peer may send once it has proved who it is, in bytes. */
public const val MAX_FRAME_BYTES: Int = 16 * 1024 * 1024

/** Largest frame during the handshake, in bytes. */
public const val MAX_HANDSHAKE_FRAME_BYTES: Int = 4 * 1024

private val cbor = Cbor { ignoreUnknownKeys = true }

/** Encodes this message as CBOR, without the frame's length. */
public fun Message.encode(): ByteArray = cbor.encodeToByteArray(Message.serializer(), this)

/** Decodes [bytes]; fails with `ProtocolViolation` when they are no message of this protocol. */
public fun decodeMessage(bytes: ByteArray): Result<Message, Failure> =
    // The decoder reports malformed input by exceptions of many kinds, index errors among them.
    runCatching { cbor.decodeFromByteArray(Message.serializer(), bytes) }
        .mapError { violation("a message of protocol $PROTOCOL_VERSION", it.message) }

internal suspend fun ByteWriteChannel.writeFrame(message: Message) {
    val payload = message.encode()
    writeInt(payload.size)
    writeByteArray(payload)
}

/** Reads one frame; returns null at the end of the stream. */
internal suspend fun ByteReadChannel.readFrame(maxBytes: Int): Result<Message, Failure>? {
    val size =
        try {
            readInt()
        } catch (_: EOFException) {
            return null
        }
    if (size !in 1..maxBytes) return Err(violation("a frame of 1 to $maxBytes bytes", "$size bytes"))
    return decodeMessage(readByteArray(size))
}

internal fun violation(
    expected: String,
    actual: String?,
): Failure = ErrorKind.ProtocolViolation.notRun("expected $expected, got $actual")
