/*
 * What a request says of its prompt. Engines keep the parts that requests share, so a request is cheapest where its
 * parts are held already.
 */
package io.carawaytrack.gateway

/** Names a part of a prompt. */
public data class PromptPart(
    val id: String,
    val tokens: Int,
)

/**
 * Describes the work that a request asks of an engine.
 *
 * @property parts parts of the prompt in order; the last one belongs to the request or its session alone
 */
public data class PromptDemand(
    val promptTokens: Int = 0,
    val outputTokens: Int = 0,
    val parts: List<PromptPart> = emptyList(),
) {
    /** The parts that other requests may share. */
    val sharedParts: List<PromptPart> get() = if (parts.size > 1) parts.subList(0, parts.size - 1) else emptyList()

    /** The longest chain of shared parts, by which requests about one thing are recognised; null without any. */
    val sharedPrefixId: String? get() = sharedParts.lastOrNull()?.id
}

/** Reads the values of the headers for token counts and prompt parts; what can't be read counts as absent. */
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
