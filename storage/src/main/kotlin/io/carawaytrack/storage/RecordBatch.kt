/*
 * The on-disk format of a log segment. A segment consists of batches of records, each written by one append and made
 * durable by one sync. A batch has a header with its own checksum, so that a damaged length is never used, and a
 * checksum over its records. A batch is only written once the previous one is durable, so a torn write can only affect
 * the last batch. Damage anywhere else, or damage that a torn write can't cause, is reported as corruption.
 */
package io.carawaytrack.storage

import com.dynatrace.hash4j.hashing.Hashing
import java.io.IOException
import java.nio.ByteBuffer

private const val MAGIC = 0x43_57_4C_31
private const val HEADER_BYTES = 24
private const val CHECKSUMMED_HEADER_BYTES = 16
private const val RECORD_HEADER_BYTES = 21
private const val SECTOR_BYTES = 512
private const val RESET_KIND: Byte = -1

/**
 * One entry of the replicated log.
 *
 * @property index position in the log, from 1
 * @property term term of the leader that created the entry
 * @property kind tag by which the owner of the log interprets [payload]; not negative
 */
public class LogEntry(
    public val index: Long,
    public val term: Long,
    public val kind: Byte,
    public val payload: ByteArray,
) {
    /** Whether this entry discards all entries before it; written when a snapshot replaces the log. */
    internal val isReset: Boolean get() = kind == RESET_KIND

    override fun toString(): String = "LogEntry($index, term $term, kind $kind, ${payload.size} bytes)"

    internal companion object {
        fun reset(
            index: Long,
            term: Long,
        ) = LogEntry(index, term, RESET_KIND, ByteArray(0))
    }
}

/** The records read from a segment, and the length of the part without a torn write. */
internal class ScannedSegment(
    val records: List<LogEntry>,
    val validBytes: Int,
)

/** Reports corrupt data; converted to [StorageFailure.Corrupt] at the API of the store. */
internal class CorruptException(
    message: String,
) : IOException(message)

/** Returns the XXH3 64-bit checksum used for stored and transmitted data. */
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
    batch.putLong(checksum(batch.array(), 0, CHECKSUMMED_HEADER_BYTES)).put(body.array())
    return batch.array()
}

/**
 * Reads the segment [name]. A torn write at its end is ignored if [allowTornWrite] is set; any other damage throws
 * [CorruptException].
 */
internal fun scanSegment(
    name: String,
    content: ByteArray,
    allowTornWrite: Boolean,
): ScannedSegment {
    val records = mutableListOf<LogEntry>()
    var offset = 0
    while (offset < content.size) {
        val end = intactBatchEnd(content, offset)
        if (end == null) {
            if (allowTornWrite && isTornWrite(content, offset)) break
            throw CorruptException("expected an intact batch at byte $offset of $name, found a damaged one")
        }
        decodeRecords(content, offset + HEADER_BYTES, end, records)
        offset = end
    }
    return ScannedSegment(records, offset)
}

/** Returns the end of the intact batch at [offset], or null if there is none. */
private fun intactBatchEnd(
    content: ByteArray,
    offset: Int,
): Int? {
    val end = declaredEnd(content, offset) ?: return null
    if (end > content.size) return null
    val bodyChecksum = ByteBuffer.wrap(content).getLong(offset + Int.SIZE_BYTES * 2)
    val bodyOffset = offset + HEADER_BYTES
    return end.toInt().takeIf { checksum(content, bodyOffset, it - bodyOffset) == bodyChecksum }
}

/** Returns the end of the batch at [offset] according to its header, or null if the header is damaged. */
private fun declaredEnd(
    content: ByteArray,
    offset: Int,
): Long? {
    if (content.size - offset < HEADER_BYTES) return null
    val header = ByteBuffer.wrap(content, offset, HEADER_BYTES)
    val magic = header.getInt()
    val bodyBytes = header.getInt()
    header.getLong()
    val isValid = magic == MAGIC && header.getLong() == checksum(content, offset, CHECKSUMMED_HEADER_BYTES)
    return if (isValid && bodyBytes >= 0) offset + HEADER_BYTES + bodyBytes.toLong() else null
}

/** Returns whether the damage at [offset] can be caused by a torn write, one interrupted before its sync returned. */
private fun isTornWrite(
    content: ByteArray,
    offset: Int,
): Boolean {
    if (content.size - offset < HEADER_BYTES) return true
    val end = declaredEnd(content, offset) ?: content.size.toLong()
    val isTruncated = end > content.size
    return (isTruncated || hasZeroedSector(content, offset)) && !hasIntactBatchAfter(content, offset)
}

private fun hasIntactBatchAfter(
    content: ByteArray,
    offset: Int,
): Boolean = (offset + 1..content.size - HEADER_BYTES).any { intactBatchEnd(content, it) != null }

/** Returns whether a disk sector from [offset] on is all zeros: the file was extended, but its data was not written. */
private fun hasZeroedSector(
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
    target: MutableList<LogEntry>,
) {
    val body = ByteBuffer.wrap(content, start, end - start)
    while (body.hasRemaining()) {
        val index = body.getLong()
        val term = body.getLong()
        val kind = body.get()
        val payload = ByteArray(body.getInt())
        body.get(payload)
        target += LogEntry(index, term, kind, payload)
    }
}
