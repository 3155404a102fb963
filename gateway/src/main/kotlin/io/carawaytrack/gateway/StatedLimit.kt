/*
 * Limit that an upstream in need states in its answers: the requests a second that it accepts from all hosts together.
 * It holds until the upstream answers without it. Answers overtake each other on their connections, so one without the
 * limit ends it only if none that states it has arrived shortly before.
 */
package io.carawaytrack.gateway

/** Smallest limit that is honoured as stated. Below it, hosts would not hear in time that the limit has ended. */
private const val MIN_PER_SECOND = 0.1

/** Time since the limit was last stated from which an answer without it ends it: many round trips. */
private const val END_AFTER_MILLIS = 500L

/** Parses the value of a header; null if it states no limit or no finite, non-negative number. */
internal fun statedLimit(header: String?): Double? = header
    ?.trim()
    ?.toDoubleOrNull()
    ?.takeIf { it.isFinite() && it >= 0 }
    ?.coerceAtLeast(MIN_PER_SECOND)

internal class StatedLimit(
    private val nowMillis: () -> Long,
) {
    private var statedAtMillis = Long.MIN_VALUE / 2

    /** Requests per second that the upstream accepts; null while it states no limit. */
    var perSecond: Double? = null
        private set

    /**
     * Applies an answer that arrived [ageMillis] ago and states the limit [stated], or null for none. Returns whether
     * the limit has begun or ended.
     */
    fun apply(
        stated: Double?,
        ageMillis: Long,
    ): Boolean {
        val answeredAtMillis = nowMillis() - ageMillis
        val before = perSecond
        when {
            stated == null -> if (answeredAtMillis - statedAtMillis >= END_AFTER_MILLIS) perSecond = null
            answeredAtMillis >= statedAtMillis -> {
                statedAtMillis = answeredAtMillis
                perSecond = stated
            }
        }
        return (before == null) != (perSecond == null)
    }
}
