/*
 * What the entry reads and changes in a chat request: the model that the caller names becomes the one that the plan
 * chose, and everything else passes as it came.
 */
package io.carawaytrack.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.notRun
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull

private const val BYTES_PER_TOKEN = 4
private const val DEEPEST_NESTING = 64
private const val DEFAULT_ANSWER_TOKENS = 256L

internal class ChatBody private constructor(
    private val fields: JsonObject,
    val model: String,
    private val bytes: Int,
) {
    val stream: Boolean = (fields["stream"] as? JsonPrimitive)?.booleanOrNull ?: false

    /** Prompt tokens by size, plus the answer that the caller allows. */
    val estimatedTokens: Long
        get() =
            bytes / BYTES_PER_TOKEN +
                ((fields["max_tokens"] as? JsonPrimitive)?.longOrNull ?: DEFAULT_ANSWER_TOKENS)

    /** Returns the body that goes to an engine which serves [version]. */
    fun forVersion(version: ModelVersion): ByteArray =
        JsonObject(fields + ("model" to JsonPrimitive(version.model))).toString().encodeToByteArray()

    companion object {
        fun parse(bytes: ByteArray): Result<ChatBody, Failure> {
            // The parser descends by recursion, so that deep nesting would exhaust the stack.
            if (nesting(bytes) > DEEPEST_NESTING) return malformed("JSON nested at most $DEEPEST_NESTING deep")
            val fields =
                try {
                    Json.parseToJsonElement(bytes.decodeToString()) as? JsonObject
                } catch (malformed: IllegalArgumentException) {
                    return malformed("valid JSON: ${malformed.message?.lineSequence()?.first()}")
                }
            if (fields == null) return malformed("a JSON object")
            val model = (fields["model"] as? JsonPrimitive)?.contentOrNull ?: return malformed("the field model")
            if (fields["messages"] !is JsonArray) return malformed("the list messages")
            return Ok(ChatBody(fields, model, bytes.size))
        }

        private fun malformed(expected: String) = Err(ErrorKind.MalformedRequest.notRun("expected $expected"))
    }
}

/** Counts how deep the objects and lists of a JSON text are nested, without parsing it. */
private fun nesting(json: ByteArray): Int {
    var depth = 0
    var deepest = 0
    var quoted = false
    var escaped = false
    for (byte in json) {
        val character = byte.toInt().toChar()
        when {
            escaped -> escaped = false
            quoted && character == '\\' -> escaped = true
            character == '"' -> quoted = !quoted
            quoted -> continue
            character == '{' || character == '[' -> deepest = maxOf(deepest, ++depth)
            character == '}' || character == ']' -> depth--
        }
    }
    return deepest
}
