/*
 * Reads token counts out of an answer as it passes, from a whole JSON answer or from the events of a stream.
 */
package io.carawaytrack.agent

import io.carawaytrack.wire.Usage
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import java.io.ByteArrayOutputStream

private const val LONGEST_LINE_BYTES = 1024 * 1024
private const val EVENT_PREFIX = "data:"
private const val END_EVENT = "[DONE]"
private const val NEWLINE = '\n'.code.toByte()

internal class UsageMeter(
    private val streamed: Boolean,
) {
    private val line = ByteArrayOutputStream()
    private var events = 0L
    private var reported: Usage? = null

    /** Whether a stream has shown its closing event; a whole answer always counts as complete. */
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

    /** Returns the counts of the whole answer, by the engine's report or else by the number of events. */
    fun usage(): Usage {
        if (line.size() > 0) endLine()
        return reported ?: Usage(answerTokens = events)
    }

    private fun append(
        bytes: ByteArray,
        from: Int,
        to: Int,
    ) {
        val room = LONGEST_LINE_BYTES - line.size()
        line.write(bytes, from, minOf(to - from, room))
    }

    private fun endLine() {
        val text = line.toString(Charsets.UTF_8).trim()
        line.reset()
        if (!streamed) return read(text)
        if (!text.startsWith(EVENT_PREFIX)) return
        val event = text.removePrefix(EVENT_PREFIX).trim()
        if (event == END_EVENT) {
            complete = true
            return
        }
        events++
        if ("\"usage\"" in event) read(event)
    }

    private fun read(text: String) {
        val answer = runCatching { Json.parseToJsonElement(text).jsonObject }.getOrNull() ?: return
        val usage = answer["usage"] as? JsonObject ?: return
        reported = Usage(usage.count("prompt_tokens"), usage.count("completion_tokens"))
    }

    private fun JsonObject.count(name: String): Long = get(name)?.jsonPrimitive?.longOrNull ?: 0
}
