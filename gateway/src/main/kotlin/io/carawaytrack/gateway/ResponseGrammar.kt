/*
 * The grammar of an upstream's responses (RFC 9112), examined byte by byte before any of them is decoded. The decoder
 * is more tolerant: it turns bytes that are no response into one, whose meaning is not the upstream's.
 */
package io.carawaytrack.gateway

import io.netty.buffer.ByteBuf

/** Kinds of faults for which an upstream's response is rejected. */
internal enum class ResponseFault {
    /** The status line is malformed, or its status is not between 100 and 599. */
    StatusLine,

    /** The name of a field is no token, or a line of the head is no field. */
    FieldName,

    /** The value of a field holds a control character. */
    FieldValue,

    /** The size of a chunk is no number that the decoder supports, or the chunk does not end where its size says. */
    Chunk,

    /** It exceeds a limit of the decoder, or where its body ends is contradictory, no number or an unknown coding. */
    Undecodable,

    /** It may belong to another request, is joined from several responses, or its content has a coding. */
    Unattributable,

    /** Too many interim responses, or bytes of responses to other requests, precede it. */
    Excess,
}

private const val BYTE_MASK = 0xFF
private const val LINE_FEED = '\n'.code
private const val CARRIAGE_RETURN = '\r'.code
private const val SPACE = ' '.code
private const val TAB = '\t'.code
private const val DELETE = 0x7F
private const val COLON = ':'.code
private const val SEMICOLON = ';'.code
private const val HEXADECIMAL = 16

/** Characters of a token other than letters and digits; the most frequent one comes first. */
private const val TOKEN_SYMBOLS = "-!#$%&'*+.^_`|~"

/** A part of a response that has a grammar of its own. */
internal abstract class GrammarPart {
    /** Whether the part's last byte has been examined. */
    var isComplete = false
        protected set

    var fault: ResponseFault? = null
        protected set

    /** Number of bytes that come next and may have any value. */
    protected var opaqueBytes = 0

    /**
     * Examines the bytes of [buffer] from the index [start] up to [end], and returns the index after the last one that
     * belongs to this part.
     */
    fun examine(
        buffer: ByteBuf,
        start: Int,
        end: Int,
    ): Int {
        var index = start
        while (index < end && !isComplete && fault == null) {
            val skippedBytes = minOf(opaqueBytes, end - index)
            opaqueBytes -= skippedBytes
            index += skippedBytes
            if (index < end) examine(buffer.getByte(index++).toInt() and BYTE_MASK)
        }
        return index
    }

    /** Examines the next [byte], which is not one of the opaque ones. */
    abstract fun examine(byte: Int)
}

/** `HTTP/1.x`, a status from 100 to 599 and the reason phrase, which may be absent with the space before it. */
internal class StatusLine : GrammarPart() {
    private var position = 0
    private var carriageReturnSeen = false

    override fun examine(byte: Int) {
        val mayEnd = position >= PATTERN.length
        when {
            carriageReturnSeen && byte != LINE_FEED -> fault = ResponseFault.StatusLine
            mayEnd && byte == LINE_FEED -> isComplete = true
            mayEnd && byte == CARRIAGE_RETURN -> carriageReturnSeen = true
            !isAllowed(byte) -> fault = ResponseFault.StatusLine
            else -> position++
        }
    }

    private fun isAllowed(byte: Int): Boolean = when {
        position > PATTERN.length -> isText(byte)
        position == PATTERN.length -> byte == SPACE
        PATTERN[position] == ANY_DIGIT -> byte.toChar() in '0'..'9'
        PATTERN[position] == STATUS_CLASS -> byte.toChar() in '1'..'5'
        else -> byte == PATTERN[position].code
    }

    private companion object {
        const val PATTERN = "HTTP/1.d cdd"
        const val ANY_DIGIT = 'd'
        const val STATUS_CLASS = 'c'
    }
}

/** Field lines and the empty line after them: a token, a colon and a value, which no other line continues. */
internal class FieldSection : GrammarPart() {
    private enum class State { LineStart, Name, Value, ValueReturn, LastReturn }

    private var state = State.LineStart

    override fun examine(byte: Int) {
        when (state) {
            State.LineStart -> beginLine(byte)
            State.Name ->
                when {
                    byte == COLON -> state = State.Value
                    !isToken(byte) -> fault = ResponseFault.FieldName
                }
            State.Value ->
                when {
                    byte == LINE_FEED -> state = State.LineStart
                    byte == CARRIAGE_RETURN -> state = State.ValueReturn
                    !isText(byte) -> fault = ResponseFault.FieldValue
                }
            State.ValueReturn ->
                if (byte == LINE_FEED) state = State.LineStart else fault = ResponseFault.FieldValue
            State.LastReturn ->
                if (byte == LINE_FEED) isComplete = true else fault = ResponseFault.FieldName
        }
    }

    private fun beginLine(byte: Int) {
        when {
            byte == LINE_FEED -> isComplete = true
            byte == CARRIAGE_RETURN -> state = State.LastReturn
            isToken(byte) -> state = State.Name
            else -> fault = ResponseFault.FieldName
        }
    }
}

/**
 * A body in chunks: the size of each in hexadecimal digits, extensions, and that many bytes; then trailers. Other than
 * in fields, a line feed alone ends no line.
 */
internal class ChunkedBody : GrammarPart() {
    private enum class State { Size, BlankAfterSize, Extension, SizeReturn, DataEnd, DataReturn, Trailers }

    private var state = State.Size
    private var size: Long? = null
    private val trailers = FieldSection()

    override fun examine(byte: Int) {
        when (state) {
            State.Size -> examineSize(byte)
            State.BlankAfterSize ->
                when {
                    byte == SEMICOLON -> state = State.Extension
                    !isBlank(byte) -> fault = ResponseFault.Chunk
                }
            State.Extension ->
                when {
                    byte == CARRIAGE_RETURN -> state = State.SizeReturn
                    !isText(byte) -> fault = ResponseFault.Chunk
                }
            State.SizeReturn -> expect(byte, LINE_FEED, ::beginData)
            State.DataEnd -> expect(byte, CARRIAGE_RETURN) { state = State.DataReturn }
            State.DataReturn -> expect(byte, LINE_FEED, ::beginChunk)
            State.Trailers -> examineTrailers(byte)
        }
    }

    private inline fun expect(
        byte: Int,
        expected: Int,
        next: () -> Unit,
    ) {
        if (byte == expected) next() else fault = ResponseFault.Chunk
    }

    private fun beginChunk() {
        size = null
        state = State.Size
    }

    private fun examineSize(byte: Int) {
        val digit = Character.digit(byte, HEXADECIMAL)
        val sizeSoFar = size
        when {
            digit >= 0 -> {
                val next = (sizeSoFar ?: 0) * HEXADECIMAL + digit
                if (next <= Int.MAX_VALUE) size = next else fault = ResponseFault.Chunk
            }
            sizeSoFar == null -> fault = ResponseFault.Chunk
            byte == CARRIAGE_RETURN -> state = State.SizeReturn
            byte == SEMICOLON -> state = State.Extension
            isBlank(byte) -> state = State.BlankAfterSize
            else -> fault = ResponseFault.Chunk
        }
    }

    private fun beginData() {
        opaqueBytes = size?.toInt() ?: 0
        state = if (opaqueBytes == 0) State.Trailers else State.DataEnd
    }

    private fun examineTrailers(byte: Int) {
        trailers.examine(byte)
        fault = trailers.fault
        isComplete = trailers.isComplete
    }
}

private fun isBlank(byte: Int): Boolean = byte == SPACE || byte == TAB

/** Returns whether [byte] may occur in a token, such as the name of a field. */
private fun isToken(byte: Int): Boolean = byte.toChar().let { char ->
    char in 'a'..'z' || char in 'A'..'Z' || char in '0'..'9' || char in TOKEN_SYMBOLS
}

/** Returns whether [byte] may occur in a reason phrase or in the value of a field. */
private fun isText(byte: Int): Boolean = byte == TAB || (byte >= SPACE && byte != DELETE)
