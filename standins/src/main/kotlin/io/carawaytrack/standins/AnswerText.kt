/*
 * Generates the text of a stand-in's answers: a marker with the answer's quality, which the rating stand-in reads,
 * followed by words that depend only on seed, version and prompt.
 */
package io.carawaytrack.standins

import io.carawaytrack.model.ModelVersion
import java.util.Locale
import kotlin.random.Random

private val WORDS =
    listOf("the", "spare", "drawer", "letter", "draft", "dear", "part", "till", "of", "and", "to", "for")
private val QUALITY_MARKER = Regex("""\[q=([01]\.\d+)]""")
private const val CHARS_PER_TOKEN = 4

/** Derives a seed from [seed] and [parts]; equal arguments give equal seeds in every process. */
internal fun seedOf(
    seed: Long,
    vararg parts: String,
): Long = parts.fold(seed) { mixed, part -> mixed * HASH_MULTIPLIER + part.hashCode() }

private const val HASH_MULTIPLIER = 1_000_003L

/**
 * Returns the quality of an answer: [mean] plus an offset from a band of width [spread], limited to 0 to 1. The offset
 * depends only on seed and prompt and emulates the difficulty of the prompt.
 */
internal fun qualityOf(
    seed: Long,
    prompt: String,
    mean: Double,
    spread: Double,
): Double = (mean - spread / 2 + Random(seedOf(seed, prompt)).nextDouble() * spread).coerceIn(0.0, 1.0)

/** Formats the marker at the start of an answer. */
internal fun qualityMarker(quality: Double): String = "[q=%.3f]".format(Locale.ROOT, quality)

/** Returns the quality in the marker of [answer], or null if it has no marker. */
internal fun markedQuality(answer: String): Double? = QUALITY_MARKER
    .find(answer)
    ?.groupValues
    ?.get(1)
    ?.toDouble()

/** Returns the [count] tokens of an answer, the first of which is the quality marker. */
internal fun answerTokens(
    seed: Long,
    version: ModelVersion,
    prompt: String,
    quality: Double,
    count: Int,
): List<String> {
    val random = Random(seedOf(seed, version.toString(), prompt))
    return List(count) { if (it == 0) qualityMarker(quality) else " " + WORDS.random(random) }
}

/** Returns the number of tokens that [text] is counted as, one per [CHARS_PER_TOKEN] characters, rounded up. */
internal fun tokensOf(text: String): Long = (text.length + CHARS_PER_TOKEN - 1L) / CHARS_PER_TOKEN
