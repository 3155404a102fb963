/*
 * Extracts token counts from an answer while it is relayed: from a JSON body or from the events of a stream.
 */
package io.carawaytrack.agent

import io.carawaytrack.wire.Usage
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import java.io.ByteArrayOutputStream

/** Maximum bytes kept of a stream line or of a JSON body; the usage in a longer one is not recognized. */
private const val MAX_LINE_BYTES = 1024 * 1024
private const val EVENT_PREFIX = "data:"
private const val CLOSING_EVENT = "[DONE]"
private const val NEWLINE = '\n'.code.toByte()

internal class UsageMeter(
    private val streamed: Boolean,
) {
    /** Current line of a stream, or the complete body of an answer that is not streamed. */
    private val line = ByteArrayOutputStream()
    private var events = 0L
    private var reportedUsage: Usage? = null

    /** Whether the stream has sent its closing event; always true for an answer that is not streamed. */
    var complete: Boolean = !streamed
        private set

    fun add(bytes: ByteArray) {
        var start = 0
        bytes.forEachIndexed { index, byte ->
            if (byte != NEWLINE || !streamed) return@forEachIndexed
            append(bytes, start, index)
            endLine()
            start = index + 1
        }
        append(bytes, start, bytes.size)
    }

    /** Returns the counts reported by the upstream, or else the number of events as the count of answer tokens. */
    fun usage(): Usage {
        if (line.size() > 0) endLine()
        return reportedUsage ?: Usage(answerTokens = events)
    }

    private fun append(
        bytes: ByteArray,
        from: Int,
        to: Int,
    ) {
        val freeBytes = MAX_LINE_BYTES - line.size()
        line.write(bytes, from, minOf(to - from, freeBytes))
    }

    private fun endLine() {
        val text = line.toString(Charsets.UTF_8).trim()
        line.reset()
        if (!streamed) return parseUsage(text)
        if (!text.startsWith(EVENT_PREFIX)) return
        val event = text.removePrefix(EVENT_PREFIX).trim()
        if (event == CLOSING_EVENT) {
            complete = true
            return
        }
        events++
        if ("\"usage\"" in event) parseUsage(event)
    }

    private fun parseUsage(text: String) {
        val answer = runCatching { Json.parseToJsonElement(text).jsonObject }.getOrNull() ?: return
        val usage = answer["usage"] as? JsonObject ?: return
        reportedUsage = Usage(usage.count("prompt_tokens"), usage.count("completion_tokens"))
    }

    private fun JsonObject.count(name: String): Long = get(name)?.jsonPrimitive?.longOrNull ?: 0
}
