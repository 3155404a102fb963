/*
 * Splits a server-sent event stream into complete events. An upstream may fail in the middle of an event whose
 * remainder then never arrives, so only complete events are forwarded to the caller. The identifier of the last one is
 * the point from which another upstream has to resume.
 */
package io.carawaytrack.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled

private const val NEWLINE = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private val ID_FIELD = "id:".encodeToByteArray()
private val DATA_FIELD = "data:".encodeToByteArray()

/** Two line ends at the end of an event, as the last bytes received. */
private const val EMPTY_LINE = 0x0A0A
private const val EMPTY_LINE_MASK = 0xFFFF
private const val EMPTY_LINE_WITH_RETURN = 0x0A0D0A
private const val EMPTY_LINE_WITH_RETURN_BYTES = 3
private const val EMPTY_LINE_WITH_RETURN_MASK = 0xFFFFFF

/** Maximum size of an incomplete event that is buffered. */
private const val MAX_EVENT_BYTES = 256 * 1024

internal class EventScanner(
    /** Identifier of the last forwarded event, initially the one from which the caller resumes. */
    var lastId: String?,
) {
    private var partial: ByteBuf = Unpooled.EMPTY_BUFFER
    private var lastNumber = lastId?.toLongOrNull()

    /** Number of complete events forwarded so far. */
    var events = 0
        private set

    /** Whether the incomplete event exceeds [MAX_EVENT_BYTES]. */
    var corrupted = false
        private set

    /** Whether no incomplete event is buffered. */
    val isAtBoundary: Boolean get() = !partial.isReadable

    /** Whether a part of the event after the last forwarded one was discarded, so that the stream has not ended yet. */
    private var isNextEventDue = false

    /** Whether the current upstream has so far only repeated events that precede the last one forwarded. */
    private var isBehind = false

    /** Whether the last forwarded event has an identifier. */
    private var isIdentified = true

    /** Whether another upstream can go on after the last forwarded event. */
    val canResume: Boolean get() = !corrupted && isIdentified

    /** Whether the stream may end here, as far as the received events show. */
    val mayEnd: Boolean get() = isAtBoundary && !isNextEventDue && !isBehind

    /**
     * Appends [bytes], which it releases, and returns the events that are now complete, to be released by the caller.
     */
    fun append(
        bytes: ByteBuf,
        allocator: ByteBufAllocator,
    ): ByteBuf {
        val scannedBytes = partial.readableBytes()
        val buffer = if (scannedBytes == 0) bytes else partial.writeBytes(bytes).also { bytes.release() }
        val end = endOfLastEvent(buffer, scannedBytes)
        if (end < 0) {
            if (scannedBytes == 0) partial = ownCopyOf(buffer, allocator)
            corrupted = corrupted || partial.readableBytes() > MAX_EVENT_BYTES
            return Unpooled.EMPTY_BUFFER
        }
        val complete = buffer.readRetainedSlice(end - buffer.readerIndex())
        partial = ownCopyOf(buffer, allocator)
        return withoutDuplicates(complete, allocator)
    }

    /** Discards an incomplete event after its upstream failed; another one resumes the stream with that event. */
    fun discardPartial() {
        // Without an identifier to resume from, the next upstream begins a stream of its own.
        if (!isAtBoundary && !isBehind && lastId != null) isNextEventDue = true
        isBehind = false
        partial.release()
        partial = Unpooled.EMPTY_BUFFER
        corrupted = false
    }

    /** Copies [buffer], which it releases, into a buffer that can grow without affecting others. */
    private fun ownCopyOf(
        buffer: ByteBuf,
        allocator: ByteBufAllocator,
    ): ByteBuf {
        val copy = if (buffer.isReadable) allocator.buffer(buffer.readableBytes()).writeBytes(buffer) else null
        buffer.release()
        return copy ?: Unpooled.EMPTY_BUFFER
    }

    /** Returns the index after the last empty line, or -1; the first [scannedBytes] hold no empty line. */
    private fun endOfLastEvent(
        buffer: ByteBuf,
        scannedBytes: Int,
    ): Int {
        var index = buffer.writerIndex() - 1
        val first = buffer.readerIndex() + maxOf(1, scannedBytes)
        while (index >= first) {
            if (buffer.getByte(index) == NEWLINE && isLineEnd(buffer, index - 1)) return index + 1
            index--
        }
        return -1
    }

    private fun isLineEnd(
        buffer: ByteBuf,
        index: Int,
    ): Boolean {
        val byte = buffer.getByte(index)
        if (byte == NEWLINE) return true
        return byte == CARRIAGE_RETURN && index > buffer.readerIndex() && buffer.getByte(index - 1) == NEWLINE
    }

    /** Removes events that the caller has already received, after a stream resumed on another upstream. */
    private fun withoutDuplicates(
        complete: ByteBuf,
        allocator: ByteBufAllocator,
    ): ByteBuf {
        var filtered: ByteBuf? = null
        val first = complete.readerIndex()
        var start = first
        while (start < complete.writerIndex()) {
            val end = endOfFirstEvent(complete, start)
            val id = valueOf(ID_FIELD, complete, start, end)
            val duplicate = isDuplicate(id)
            isBehind = duplicate && events > 0 && id != lastId
            if (duplicate && filtered == null) filtered = allocator.buffer().writeBytes(complete, first, start - first)
            if (!duplicate) {
                recordId(id)
                // A comment has neither data nor an identifier, and may come twice.
                isIdentified = id != null || (isIdentified && valueOf(DATA_FIELD, complete, start, end) == null)
                isNextEventDue = false
                events++
                filtered?.writeBytes(complete, start, end - start)
            }
            start = end
        }
        if (filtered == null) return complete
        complete.release()
        return filtered
    }

    private fun isDuplicate(id: String?): Boolean {
        val number = id?.toLongOrNull() ?: return false
        return number <= (lastNumber ?: return false)
    }

    private fun recordId(id: String?) {
        if (id == null) return
        lastId = id
        lastNumber = id.toLongOrNull()
    }

    private fun endOfFirstEvent(
        buffer: ByteBuf,
        from: Int,
    ): Int {
        var index = from + 1
        while (index < buffer.writerIndex()) {
            if (buffer.getByte(index) == NEWLINE && isLineEnd(buffer, index - 1)) return index + 1
            index++
        }
        return buffer.writerIndex()
    }

    private fun valueOf(
        field: ByteArray,
        buffer: ByteBuf,
        start: Int,
        end: Int,
    ): String? {
        var line = start
        while (line < end) {
            val lineEnd = buffer.indexOf(line, end, NEWLINE).let { if (it < 0) end else it }
            if (startsWith(field, buffer, line, lineEnd)) {
                return buffer.toString(line + field.size, lineEnd - line - field.size, Charsets.US_ASCII).trim()
            }
            line = lineEnd + 1
        }
        return null
    }

    private fun startsWith(
        field: ByteArray,
        buffer: ByteBuf,
        start: Int,
        end: Int,
    ): Boolean = end - start > field.size && field.indices.all { buffer.getByte(start + it) == field[it] }
}

/** Tracks whether a stream whose bytes are forwarded as they arrive is at the end of an event. */
internal class EventBoundary {
    private var lastBytes = EMPTY_LINE

    /** Whether no event has begun since the last one ended. */
    val isReached: Boolean
        get() =
            lastBytes and EMPTY_LINE_MASK == EMPTY_LINE ||
                lastBytes and EMPTY_LINE_WITH_RETURN_MASK == EMPTY_LINE_WITH_RETURN

    /** Follows [bytes], the next ones of the stream. */
    fun append(bytes: ByteBuf) {
        val first = maxOf(bytes.readerIndex(), bytes.writerIndex() - EMPTY_LINE_WITH_RETURN_BYTES)
        for (index in first until bytes.writerIndex()) {
            lastBytes = (lastBytes shl Byte.SIZE_BITS) or bytes.getUnsignedByte(index).toInt()
        }
    }
}
