/*
 * The form of a log segment on disk: batches, each written by one append and made durable by one sync. A batch has a
 * header with its own checksum, so that a damaged length is never followed, and a checksum over its records. Since a
 * batch is only written once the one before it is durable, damage can come from an interrupted write in the last batch
 * alone; damage anywhere else, or damage that no interrupted write leaves, is reported as corruption.
 */
package io.carawaytrack.storage

import com.dynatrace.hash4j.hashing.Hashing
import java.io.IOException
import java.nio.ByteBuffer

private const val MAGIC = 0x43_57_4C_31
private const val HEADER_BYTES = 24
private const val HASHED_HEADER_BYTES = 16
private const val RECORD_HEADER_BYTES = 21
private const val SECTOR_BYTES = 512
private const val RESET_KIND: Byte = -1

/**
 * Holds one entry of the replicated log.
 *
 * @property index position in the log, from 1
 * @property term term of the leader that appended it
 * @property kind tells the owner of the log how to read [payload]; not negative
 */
public class LogEntry(
    public val index: Long,
    public val term: Long,
    public val kind: Byte,
    public val payload: ByteArray,
) {
    /** Whether this entry discards all before it, left by a snapshot that replaced the log. */
    internal val isReset: Boolean get() = kind == RESET_KIND

    override fun toString(): String = "LogEntry($index, term $term, kind $kind, ${payload.size} bytes)"

    internal companion object {
        fun reset(
            index: Long,
            term: Long,
        ) = LogEntry(index, term, RESET_KIND, ByteArray(0))
    }
}

/** Holds the records read from a segment and the length of the part that is whole. */
internal class ScannedSegment(
    val records: List<LogEntry>,
    val wholeBytes: Int,
)

/** Carries a corruption finding up to the boundary of the store. */
internal class CorruptException(
    message: String,
) : IOException(message)

/** Returns the checksum under which stored and sent state is compared. */
public fun checksum(
    bytes: ByteArray,
    offset: Int = 0,
    length: Int = bytes.size,
): Long = Hashing.xxh3_64().hashBytesToLong(bytes, offset, length)

internal fun encodeBatch(records: List<LogEntry>): ByteArray {
    val bodyBytes = records.sumOf { RECORD_HEADER_BYTES + it.payload.size }
    val body = ByteBuffer.allocate(bodyBytes)
    for (record in records) {
        body.putLong(record.index).putLong(record.term).put(record.kind)
        body.putInt(record.payload.size).put(record.payload)
    }
    val batch = ByteBuffer.allocate(HEADER_BYTES + bodyBytes)
    batch.putInt(MAGIC).putInt(bodyBytes).putLong(checksum(body.array()))
    batch.putLong(checksum(batch.array(), 0, HASHED_HEADER_BYTES)).put(body.array())
    return batch.array()
}

/**
 * Reads the segment [name]. An interrupted write at its end is left out when [mayEndTorn]; any other damage throws
 * [CorruptException].
 */
internal fun scanSegment(
    name: String,
    content: ByteArray,
    mayEndTorn: Boolean,
): ScannedSegment {
    val records = mutableListOf<LogEntry>()
    var offset = 0
    while (offset < content.size) {
        val end = batchEnd(content, offset)
        if (end == null) {
            if (mayEndTorn && isTorn(content, offset)) break
            throw CorruptException("expected a whole batch at byte $offset of $name, found a damaged one")
        }
        decodeRecords(content, offset + HEADER_BYTES, end, records)
        offset = end
    }
    return ScannedSegment(records, offset)
}

/** Returns the end of the whole batch at [offset], or null when none stands there. */
private fun batchEnd(
    content: ByteArray,
    offset: Int,
): Int? {
    val end = declaredEnd(content, offset) ?: return null
    if (end > content.size) return null
    val bodyChecksum = ByteBuffer.wrap(content).getLong(offset + Int.SIZE_BYTES * 2)
    val bodyOffset = offset + HEADER_BYTES
    return end.toInt().takeIf { checksum(content, bodyOffset, it - bodyOffset) == bodyChecksum }
}

/** Returns where the batch at [offset] should end by its header, or null when the header is damaged. */
private fun declaredEnd(
    content: ByteArray,
    offset: Int,
): Long? {
    if (content.size - offset < HEADER_BYTES) return null
    val header = ByteBuffer.wrap(content, offset, HEADER_BYTES)
    val magic = header.getInt()
    val bodyBytes = header.getInt()
    header.getLong()
    val valid = magic == MAGIC && header.getLong() == checksum(content, offset, HASHED_HEADER_BYTES)
    return if (valid && bodyBytes >= 0) offset + HEADER_BYTES + bodyBytes.toLong() else null
}

/** Returns whether the damage at [offset] can stem from a write that was interrupted before its sync returned. */
private fun isTorn(
    content: ByteArray,
    offset: Int,
): Boolean {
    if (content.size - offset < HEADER_BYTES) return true
    val end = declaredEnd(content, offset) ?: content.size.toLong()
    val endsShort = end > content.size
    return (endsShort || hasBlankSector(content, offset)) && !holdsBatchAfter(content, offset)
}

private fun holdsBatchAfter(
    content: ByteArray,
    offset: Int,
): Boolean = (offset + 1..content.size - HEADER_BYTES).any { batchEnd(content, it) != null }

/** Returns whether a disk sector from [offset] on holds only zeros: the file had grown, its data had not arrived. */
private fun hasBlankSector(
    content: ByteArray,
    offset: Int,
): Boolean {
    var start = offset
    while (start < content.size) {
        val end = minOf((start / SECTOR_BYTES + 1) * SECTOR_BYTES, content.size)
        if ((start until end).all { content[it] == 0.toByte() }) return true
        start = end
    }
    return false
}

private fun decodeRecords(
    content: ByteArray,
    start: Int,
    end: Int,
    into: MutableList<LogEntry>,
) {
    val body = ByteBuffer.wrap(content, start, end - start)
    while (body.hasRemaining()) {
        val index = body.getLong()
        val term = body.getLong()
        val kind = body.get()
        val payload = ByteArray(body.getInt())
        body.get(payload)
        into += LogEntry(index, term, kind, payload)
    }
}
