/*
 * Body of a chat request. The entry replaces the model that the caller names with the model of the planned version and
 * relays all other fields unchanged.
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
private const val MAX_NESTING_DEPTH = 64
private const val DEFAULT_ANSWER_TOKENS = 256L

internal class ChatBody private constructor(
    private val fields: JsonObject,
    val model: String,
    private val bytes: Int,
) {
    val stream: Boolean = (fields["stream"] as? JsonPrimitive)?.booleanOrNull ?: false

    /** Prompt tokens estimated from the body size, plus the answer tokens that the caller allows. */
    val estimatedTokens: Long
        get() =
            bytes / BYTES_PER_TOKEN +
                ((fields["max_tokens"] as? JsonPrimitive)?.longOrNull ?: DEFAULT_ANSWER_TOKENS)

    /** Returns the body to send to an upstream that serves [version]. */
    fun forVersion(version: ModelVersion): ByteArray =
        JsonObject(fields + ("model" to JsonPrimitive(version.model))).toString().encodeToByteArray()

    companion object {
        fun parse(bytes: ByteArray): Result<ChatBody, Failure> {
            // The JSON parser is recursive: deep nesting would overflow the stack.
            if (nestingDepth(bytes) > MAX_NESTING_DEPTH) return malformed("JSON nested at most $MAX_NESTING_DEPTH deep")
            val fields =
                try {
                    Json.parseToJsonElement(bytes.decodeToString()) as? JsonObject
                } catch (invalid: IllegalArgumentException) {
                    return malformed("valid JSON: ${invalid.message?.lineSequence()?.first()}")
                }
            if (fields == null) return malformed("a JSON object")
            val model = (fields["model"] as? JsonPrimitive)?.contentOrNull ?: return malformed("the field model")
            if (fields["messages"] !is JsonArray) return malformed("the array messages")
            return Ok(ChatBody(fields, model, bytes.size))
        }

        private fun malformed(expected: String) = Err(ErrorKind.MalformedRequest.notRun("expected $expected"))
    }
}

/** Returns the nesting depth of the objects and arrays in a JSON text, without parsing it. */
private fun nestingDepth(json: ByteArray): Int {
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
