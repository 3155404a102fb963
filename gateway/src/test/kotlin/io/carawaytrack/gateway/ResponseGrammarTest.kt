/*
 * The grammar of responses, without a connection: which bytes are allowed, however the reads cut them.
 */
package io.carawaytrack.gateway

import io.netty.buffer.Unpooled
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

private const val NEXT = "next"

internal class ResponseGrammarTest {
    /** Examines [bytes] in reads of [readBytes] and returns how many belong to [part]. */
    private fun examine(
        part: GrammarPart,
        bytes: String,
        readBytes: Int,
    ): Int {
        val buffer = Unpooled.wrappedBuffer(bytes.toByteArray(Charsets.ISO_8859_1))
        var index = 0
        for (end in (readBytes until bytes.length step readBytes) + bytes.length) {
            if (!part.isComplete && part.fault == null) index = part.examine(buffer, index, end)
        }
        return index
    }

    private fun expectValid(
        bytes: String,
        part: () -> GrammarPart,
    ) {
        for (readBytes in 1..bytes.length) {
            val examined = part()
            expectThat(examine(examined, bytes + NEXT, readBytes)).describedAs("examined").isEqualTo(bytes.length)
            expectThat(examined.fault).isNull()
            expectThat(examined.isComplete).isTrue()
        }
        // Every prefix leaves the part unfinished, and valid.
        for (length in 0 until bytes.length) {
            val examined = part()
            examine(examined, bytes.take(length), bytes.length)
            expectThat(examined.fault).describedAs("prefix of $length").isNull()
            expectThat(examined.isComplete).describedAs("prefix of $length").isFalse()
        }
    }

    private fun expectFault(
        bytes: String,
        fault: ResponseFault,
        part: () -> GrammarPart,
    ) {
        for (readBytes in 1..bytes.length) {
            val examined = part()
            examine(examined, bytes, readBytes)
            expectThat(examined.fault).describedAs(printable(bytes)).isEqualTo(fault)
            expectThat(examined.isComplete).isFalse()
        }
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200 OK\n", "HTTP/1.1 200\r\n",
            "HTTP/1.1 200 \r\n", "HTTP/1.1 100 Continue\r\n", "HTTP/1.1 599 x\r\n", "HTTP/1.1 299 \r\n",
            "HTTP/1.1 404 Not\tFound \u00e9\r\n",
        ],
    )
    fun `a status line is valid by the grammar`(line: String) = expectValid(line, ::StatusLine)

    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 000 \r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 999 OK\r\n",
            "HTTP/1.1 20 OK\r\n", "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 -20 OK\r\n", "HTTP/1.1  200 OK\r\n",
            "HTTP/1.1\t200 OK\r\n", "HTTP/1.1 200\tOK\r\n", "HTTP/1.1\r\n", "HTTP/1.1 \r\n", "HTTP/1. 200 OK\r\n",
            "HTTP/1.10 200 OK\r\n", "HTTP/2.0 200 OK\r\n", "http/1.1 200 OK\r\n", "ICY 200 OK\r\n",
            "\r\nHTTP/1.1 200 OK\r\n", " HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 O\rK\r\n", "HTTP/1.1 200 O\u0000K\r\n",
            "HTTP/1.1 200 O\u007fK\r\n", "HTTP/1.1 200\r \n", "{}\r\n",
        ],
    )
    fun `a status line is rejected wherever the reads cut it`(line: String) =
        expectFault(line, ResponseFault.StatusLine, ::StatusLine)

    @ParameterizedTest
    @ValueSource(
        strings = [
            "\r\n", "\n", "a:\r\n\r\n", "a:b\r\n\r\n", "a: b\nc:\td\t\n\n", "Content-Length: 5\r\nX: a:b\r\n\r\n",
            "!#\$%&'*+-.^_`|~09azAZ: \u00e9 \"(),/:;<=>?@[\\]{}\r\n\r\n",
        ],
    )
    fun `field lines are valid by the grammar`(section: String) = expectValid(section, ::FieldSection)

    @ParameterizedTest
    @ValueSource(
        strings = [
            "x y: 1\r\n", "x : 1\r\n", " x: 1\r\n", "\tx: 1\r\n", "a: b\r\n c\r\n", ": 1\r\n", "x\r\n",
            "x\u0001: 1\r\n", "x\u0000y: 1\r\n", "\u007f: 1\r\n", "x\ry: 1\r\n", "\rx: 1\r\n", "x(y): 1\r\n",
            "x\u00e4: 1\r\n", "HTTP/1.1 200 OK\r\n",
        ],
    )
    fun `the name of a field is rejected wherever the reads cut it`(section: String) =
        expectFault(section, ResponseFault.FieldName, ::FieldSection)

    @ParameterizedTest
    @ValueSource(
        strings = [
            "x: a\u0000\r\n", "x: \u0001b\r\n", "x:\u007f\r\n", "x: a\rb\r\n", "x: a\r\r\n", "x: a\u000bb\r\n",
        ],
    )
    fun `the value of a field is rejected wherever the reads cut it`(section: String) =
        expectFault(section, ResponseFault.FieldValue, ::FieldSection)

    @ParameterizedTest
    @ValueSource(
        strings = [
            "0\r\n\r\n", "0\r\n\n", "000\r\n\r\n", "4\r\n\r\n\u0000\u007f\r\n0\r\n\r\n",
            "0a\r\n0123456789\r\n0\r\n\r\n", "A;a=b\r\n0123456789\r\n0;c\r\n\r\n",
            "1 ;a=\"b c\"\r\nx\r\n0\t;d\r\n\r\n", "1\r\nx\r\n1\r\ny\r\n0\r\na: b\r\nc:\r\n\r\n",
        ],
    )
    fun `a body in chunks is valid by the grammar`(body: String) = expectValid(body, ::ChunkedBody)

    @ParameterizedTest
    @ValueSource(
        strings = [
            "\r\n", "g\r\n", "-1\r\n", "+1\r\n", "0x1\r\n", " 1\r\n", "1 \r\n", "1\t\r\n", "1 1\r\n", ";a\r\n",
            "1,\r\n", "1\r1", "1;\u0001\r\n", "0\n", "1;a\n", "1\r\nx\n", "1;a\rb\r\n", "80000000\r\n",
            "10000000000000000\r\n", "1\r\nxy\r\n", "1\r\nx\ry", "2\r\nx\r\n0", "1\r\nx\r\n\r\n",
        ],
    )
    fun `a chunk is rejected wherever the reads cut it`(body: String) =
        expectFault(body, ResponseFault.Chunk, ::ChunkedBody)

    @ParameterizedTest
    @ValueSource(strings = ["0\r\nx y: 1\r\n", "1\r\na\r\n0\r\nb: c\r\n d\r\n"])
    fun `a trailer is rejected wherever the reads cut it`(body: String) =
        expectFault(body, ResponseFault.FieldName, ::ChunkedBody)
}
