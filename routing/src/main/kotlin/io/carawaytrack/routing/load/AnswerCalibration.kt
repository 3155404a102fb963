/*
 * Probability that an answer is poor, by the model's confidence in it. Confidence is a rough opinion, so a route learns
 * how much more confident larger models are of the same requests.
 */
package io.carawaytrack.routing.load

/** Probability that an answer is poor at the confidences 0 and 100, before anything is learned. */
private const val POOR_AT_ZERO = 0.9
private const val POOR_AT_HUNDRED = 0.1

private const val MAX_CONFIDENCE = 100
private const val BUCKETS = 10

/** Number of answers that the initial probability counts for, and the most that learned ones count for. */
private const val INITIAL_ANSWERS = 20.0
private const val MAX_ANSWERS = 200.0

public class AnswerCalibration {
    private val answers = DoubleArray(BUCKETS)
    private val poor = DoubleArray(BUCKETS)

    /** Returns the probability that an answer of this [confidence], 0 to 100, is poor. */
    public fun poorProbability(confidence: Int): Double {
        val bucket = bucketOf(confidence)
        val initial = initialProbability(confidence)
        return (initial * INITIAL_ANSWERS + poor[bucket]) / (INITIAL_ANSWERS + answers[bucket])
    }

    /** Records that a larger model's answer had [largerConfidence] where the first one had [confidence]. */
    public fun record(
        confidence: Int,
        largerConfidence: Int,
    ) {
        val bucket = bucketOf(confidence)
        if (answers[bucket] >= MAX_ANSWERS) {
            poor[bucket] *= 1 - 1 / MAX_ANSWERS
            answers[bucket] *= 1 - 1 / MAX_ANSWERS
        }
        answers[bucket]++
        poor[bucket] += maxOf(0, largerConfidence - confidence).toDouble() / MAX_CONFIDENCE
    }

    private fun initialProbability(confidence: Int) = POOR_AT_ZERO +
        (POOR_AT_HUNDRED - POOR_AT_ZERO) * confidence.coerceIn(0, MAX_CONFIDENCE) / MAX_CONFIDENCE

    private fun bucketOf(confidence: Int) =
        (confidence.coerceIn(0, MAX_CONFIDENCE) * BUCKETS / MAX_CONFIDENCE).coerceAtMost(BUCKETS - 1)
}
