/*
 * One host's share of a rate that all hosts together keep to: a bucket of one token. After a pause the bucket starts at
 * a random level: if it were full on every host, all hosts together would exceed the rate at once.
 *
 * Up to some hundred hosts share rates of a few to some hundred requests a second.
 */
package io.carawaytrack.gateway

private const val MILLIS_PER_SECOND = 1_000.0

/**
 * Creates a share; after a pause, all hosts together may start as many requests at once as [burstMillis] of their rate
 * bring.
 */
internal class RateShare(
    private val nowMillis: () -> Long,
    private val random: () -> Double,
    private val burstMillis: Long = 0,
) {
    private var tokens = 0.0
    private var refilledAtMillis: Long? = null

    /** Takes a token from the bucket, which is refilled at a rate of [perSecond]; returns false if it has none. */
    fun tryTake(perSecond: Double): Boolean {
        val now = nowMillis()
        val added = refilledAtMillis?.let { (now - it) * perSecond / MILLIS_PER_SECOND }
        val paused = added == null || added >= 1.0
        val level = if (paused) random() + burstMillis * perSecond / MILLIS_PER_SECOND else tokens + added
        tokens = minOf(1.0, level)
        refilledAtMillis = now
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }
}
