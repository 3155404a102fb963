/*
 * What a caller has read from its socket, judged by the grammar of HTTP/1.1 byte by byte instead of by a decoder.
 */
package io.carawaytrack.gateway

private val statusLine = Regex("HTTP/1\\.1 ([1-5]\\d\\d) [\\t -~\\u0080-\\u00ff]*")
private val fieldLine = Regex("([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\\t -~\\u0080-\\u00ff]*)")
private const val HEAD_END = "\r\n\r\n"

/** A response as received until its connection ended; [faults] says in what it is not valid and whole. */
internal class ReceivedBytes(
    val status: Int?,
    private val fields: List<Pair<String, String>>,
    val body: String,
    val faults: List<String>,
    val printable: String,
) {
    operator fun get(name: String): String? = fields.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second
}

/** Returns [text] with control characters escaped. */
internal fun printable(text: String): String =
    text.map { if (it in ' '..'~') it.toString() else "\\x%02x".format(it.code) }.joinToString("")

/** Judges [bytes], one character each, as the only response on a connection that has ended. */
internal fun judge(
    bytes: String,
    withBody: Boolean = true,
): ReceivedBytes {
    val faults = ArrayList<String>()
    val head = bytes.substringBefore(HEAD_END)
    if (head.length == bytes.length) faults += "no complete head"
    val lines = head.split("\r\n")
    val status =
        statusLine
            .matchEntire(lines.first())
            ?.groupValues
            ?.get(1)
            ?.toInt()
    if (status == null) faults += "status line"
    val fields =
        lines.drop(1).mapNotNull { line ->
            val match = fieldLine.matchEntire(line)
            if (match == null) faults += "field line ${printable(line)}"
            match?.let { it.groupValues[1] to it.groupValues[2].trim() }
        }
    val rest = bytes.substringAfter(HEAD_END, "")
    val body = if (withBody) bodyOf(rest, fields, faults) else rest.also { if (it.isNotEmpty()) faults += "a body" }
    return ReceivedBytes(status, fields, body, faults, printable(bytes))
}

private fun bodyOf(
    rest: String,
    fields: List<Pair<String, String>>,
    faults: MutableList<String>,
): String {
    val length = fields.filter { it.first.equals("Content-Length", ignoreCase = true) }.map { it.second }
    val codings = fields.filter { it.first.equals("Transfer-Encoding", ignoreCase = true) }.map { it.second }
    when {
        length.size + codings.size != 1 -> faults += "framing $length $codings"
        codings == listOf("chunked") -> return chunkedBody(rest, faults)
        length.single() != rest.length.toString() -> faults += "${rest.length} bytes of ${length.single()}"
    }
    return rest
}

private fun chunkedBody(
    rest: String,
    faults: MutableList<String>,
): String {
    val body = StringBuilder()
    var from = 0
    while (true) {
        val lineEnd = rest.indexOf("\r\n", from)
        val size = if (lineEnd < 0) null else rest.substring(from, lineEnd).toIntOrNull(HEX)
        val dataEnd = lineEnd + 2 + (size ?: 0)
        if (size == null || !rest.startsWith("\r\n", dataEnd)) {
            faults += "chunk at $from"
            return body.toString()
        }
        body.append(rest, lineEnd + 2, dataEnd)
        from = dataEnd + 2
        if (size == 0) break
    }
    if (from != rest.length) faults += "bytes after the end"
    return body.toString()
}

private const val HEX = 16
