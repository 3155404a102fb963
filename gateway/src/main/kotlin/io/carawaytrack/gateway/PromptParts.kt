/*
 * Description of a request's prompt. Engines cache the parts that several requests share, so a request is cheapest on
 * an engine that has its parts cached.
 */
package io.carawaytrack.gateway

/** A part of a prompt. */
public data class PromptPart(
    val id: String,
    val tokens: Int,
)

/**
 * Describes the work that a request causes on an engine.
 *
 * @property outputTokens maximum number of generated tokens
 * @property parts parts of the prompt in order; the last one is specific to the request or its session
 */
public data class PromptDemand(
    val promptTokens: Int = 0,
    val outputTokens: Int = 0,
    val parts: List<PromptPart> = emptyList(),
) {
    /** Parts that other requests may have in common with this one. */
    val sharedParts: List<PromptPart> get() = if (parts.size > 1) parts.subList(0, parts.size - 1) else emptyList()

    /** Identifier of the longest shared prefix, which groups related requests; null when no part is shared. */
    val sharedPrefixId: String? get() = sharedParts.lastOrNull()?.id
}

/** Parses the headers for token counts and prompt parts; values that cannot be parsed count as absent. */
internal fun parsePromptDemand(
    usage: String?,
    parts: String?,
): PromptDemand {
    val counts = usage?.split(',')?.map { it.trim().toIntOrNull() ?: 0 }.orEmpty()
    val parsedParts = parts?.split(',')?.mapNotNull(::parsePromptPart).orEmpty()
    return PromptDemand(counts.getOrElse(0) { 0 }, counts.getOrElse(1) { 0 }, parsedParts)
}

private fun parsePromptPart(entry: String): PromptPart? {
    val id = entry.substringBefore(':').trim()
    val tokens = entry.substringAfter(':', "").trim().toIntOrNull() ?: return null
    return PromptPart(id, tokens)
}
