/*
 * Decoding of messages that are intact, damaged, truncated or from another cluster.
 */
package io.carawaytrack.consensus

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

class MessageCodecTest {
    private val codec = MessageCodec("test", incarnation = 7)
    private val messages =
        listOf(
            PreVoteRequest(3, lastIndex = 9, lastTerm = 2),
            VoteReply(4, granted = true),
            AppendRequest(5, 6, 7, 4, 3, entries = listOf(SentEntry(5, EntryKind.COMMAND, "command".toByteArray()))),
            AppendReply(5, 6, accepted = false, index = 7, nextIndex = 2),
            SnapshotChunk(5, 6, 7, 4, ByteArray(3), 99, 10, 0, ByteArray(10)),
        )

    @Test
    fun `a message is decoded together with its sender's incarnation`() {
        val envelope = codec.decode(codec.encode(messages.first()))
        expectThat(envelope).isNotNull().get { incarnation to message }.isEqualTo(7L to messages.first())
    }

    @Test
    fun `a message from another cluster is dropped`() {
        expectThat(MessageCodec("other", incarnation = 7).decode(codec.encode(messages.first()))).isNull()
    }

    @Test
    fun `a message truncated at any byte is dropped`() {
        messages.map(codec::encode).forEach { encoded ->
            encoded.indices.forEach { expectThat(codec.decode(encoded.copyOf(it))).isNull() }
        }
    }

    @Test
    fun `a damaged message is dropped`() {
        val random = Random(1)
        repeat(5_000) {
            val damaged = codec.encode(messages.random(random))
            repeat(random.nextInt(1, 4)) { damaged[random.nextInt(damaged.size)] = random.nextInt().toByte() }
            val expected = messages.map(codec::encode).any { it.contentEquals(damaged) }
            expectThat(codec.decode(damaged) != null).isEqualTo(expected)
        }
    }
}
