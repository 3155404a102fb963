/*
 * Encodes and decodes frames. A frame consists of a length prefix of four bytes, big-endian, and one message in CBOR.
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

/** Maximum size of a frame from an authenticated peer, without the length prefix, in bytes. */
public const val MAX_FRAME_BYTES: Int = 16 * 1024 * 1024

/** Maximum size of a frame during the handshake, without the length prefix, in bytes. */
public const val MAX_HANDSHAKE_FRAME_BYTES: Int = 4 * 1024

private val cbor = Cbor { ignoreUnknownKeys = true }

/** Encodes this message as CBOR, without the length prefix of a frame. */
public fun Message.encode(): ByteArray = cbor.encodeToByteArray(Message.serializer(), this)

/** Decodes [bytes]; fails with `ProtocolViolation` if they are not a message of this protocol. */
public fun decodeMessage(bytes: ByteArray): Result<Message, Failure> =
    // The decoder throws many kinds of exceptions on malformed input, including index errors.
    runCatching { cbor.decodeFromByteArray(Message.serializer(), bytes) }
        .mapError { protocolViolation("a message of protocol $PROTOCOL_VERSION", it.message) }

internal suspend fun ByteWriteChannel.writeFrame(message: Message) {
    val payload = message.encode()
    writeInt(payload.size)
    writeByteArray(payload)
}

/** Reads one frame, or returns null at the end of the stream. */
internal suspend fun ByteReadChannel.readFrame(maxBytes: Int): Result<Message, Failure>? {
    val size =
        try {
            readInt()
        } catch (_: EOFException) {
            return null
        }
    if (size !in 1..maxBytes) return Err(protocolViolation("a frame of 1 to $maxBytes bytes", "$size bytes"))
    return decodeMessage(readByteArray(size))
}

internal fun protocolViolation(
    expected: String,
    actual: String?,
): Failure = ErrorKind.ProtocolViolation.notRun("expected $expected, got $actual")
