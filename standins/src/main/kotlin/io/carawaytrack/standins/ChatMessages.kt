/*
 * The subset of the public chat completions API that the engine stand-in reads and writes.
 */
package io.carawaytrack.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull

/** JSON of the chat completions API, which omits absent fields. */
internal val chatJson: Json = Json { ignoreUnknownKeys = true }

@Serializable
internal data class ChatRequest(
    val model: String,
    val messages: List<ChatMessage>,
    val stream: Boolean = false,
    @SerialName("stream_options") val streamOptions: StreamOptions? = null,
    @SerialName("max_tokens") val maxTokens: Int? = null,
    @SerialName("max_completion_tokens") val maxCompletionTokens: Int? = null,
) {
    val prompt: String get() = messages.joinToString(separator = "\n") { "${it.role}: ${it.text}" }
    val tokenLimit: Int? get() = maxCompletionTokens ?: maxTokens
    val wantsUsageChunk: Boolean get() = streamOptions?.includeUsage == true
}

@Serializable
internal data class ChatMessage(
    val role: String,
    val content: JsonElement? = null,
) {
    val text: String
        get() =
            when (content) {
                is JsonPrimitive -> content.contentOrNull.orEmpty()
                is JsonArray -> content.joinToString(separator = "") { it.partText }
                else -> ""
            }

    private val JsonElement.partText: String
        get() = ((this as? JsonObject)?.get("text") as? JsonPrimitive)?.contentOrNull.orEmpty()
}

@Serializable
internal data class StreamOptions(
    @SerialName("include_usage") val includeUsage: Boolean = false,
)

@Serializable
internal data class TokenUsage(
    @SerialName("prompt_tokens") val promptTokens: Long,
    @SerialName("completion_tokens") val completionTokens: Long,
    @SerialName("total_tokens") val totalTokens: Long,
    @SerialName("prompt_tokens_details") val promptDetails: PromptDetails,
)

@Serializable
internal data class PromptDetails(
    @SerialName("cached_tokens") val cachedTokens: Long,
)

@Serializable
internal data class ChatCompletion(
    val id: String,
    @SerialName("object") val kind: String,
    val created: Long,
    val model: String,
    val choices: List<CompletionChoice>,
    val usage: TokenUsage,
)

@Serializable
internal data class CompletionChoice(
    val index: Int,
    val message: AnswerMessage,
    @SerialName("finish_reason") val finishReason: String,
)

@Serializable
internal data class AnswerMessage(
    val role: String,
    val content: String,
)

@Serializable
internal data class ChatChunk(
    val id: String,
    @SerialName("object") val kind: String,
    val created: Long,
    val model: String,
    val choices: List<ChunkChoice>,
    val usage: TokenUsage? = null,
)

@Serializable
internal data class ChunkChoice(
    val index: Int,
    val delta: Delta,
    @SerialName("finish_reason") val finishReason: String?,
)

@Serializable
internal data class Delta(
    val role: String? = null,
    val content: String? = null,
)

@Serializable
internal data class ChatError(
    val error: ChatErrorBody,
)

@Serializable
internal data class ChatErrorBody(
    val message: String,
    val type: String,
    val code: String,
)

@Serializable
internal data class ModelList(
    @SerialName("object") val kind: String,
    val data: List<ModelEntry>,
)

@Serializable
internal data class ModelEntry(
    val id: String,
    @SerialName("object") val kind: String,
    @SerialName("owned_by") val ownedBy: String,
)
