/*
 * Slow start of one upstream. How many requests it may run at once grows from a small start only with evidence that it
 * is warm, and never faster than a ramp in time; a relapse takes it back to the start.
 */
package io.carawaytrack.limits

import kotlin.math.ceil

/**
 * Sets up a slow start.
 *
 * @property initialPermits permits after a start, what the upstream bears when it is coldest
 * @property maxPermits permits once it is warm
 * @property rampMillis shortest time from a start to [maxPermits]
 * @property growth factor on the permits after a round of good requests
 * @property healthyLatencyFactor a round is good while its time per token is within this factor of the learned one
 * @property improvingRatio an upstream whose time per token still falls below this part of the last round's is warming
 * @property degradedLatencyFactor a request beyond this factor of the learned time per token is a sign of a relapse
 * @property relapseSigns failures that make a relapse, unless a request that began after the first one completes; signs
 * in a row that halve the permits; signs in a row, by requests that began after that, that make a relapse too
 */
public data class SlowStartSettings(
    val initialPermits: Int = 1,
    val maxPermits: Int = 16,
    val rampMillis: Long = 10_000,
    val growth: Double = 1.5,
    val healthyLatencyFactor: Double = 1.5,
    val improvingRatio: Double = 0.8,
    val degradedLatencyFactor: Double = 3.0,
    val relapseSigns: Int = 3,
)

/** Tells how many requests an upstream may run at once. */
public interface SlowStart {
    /** Permits now. */
    public val permits: Int

    /** Whether the permits are at their maximum. */
    public val isWarm: Boolean

    /** Takes in that a request of [tokens] prompt and answer tokens took [latencyMillis]. */
    public fun completed(
        latencyMillis: Long,
        tokens: Long,
    )

    /** Takes in that the upstream failed a request. */
    public fun failed()

    /** Takes in that the upstream has started again, as a changed boot id or a lost health check shows. */
    public fun restarted()
}

/** Creates a slow start at its first permits. */
public fun SlowStart(
    settings: SlowStartSettings,
    nowMillis: () -> Long,
): SlowStart = EvidenceSlowStart(settings, nowMillis)

private class EvidenceSlowStart(
    private val settings: SlowStartSettings,
    private val nowMillis: () -> Long,
) : SlowStart {
    private val lock = Any()
    private var startedAtMillis = nowMillis()
    private var proven = settings.initialPermits
    private var signs = 0
    private var failures = 0
    private var firstFailureMillis = 0L
    private var suspectedAtMillis: Long? = null
    private var learnedMillis: Double? = null
    private var lastRoundMillis: Double? = null
    private var roundMillis = 0.0
    private var roundSize = 0

    override val permits: Int get() = synchronized(lock) { currentPermits() }

    override val isWarm: Boolean get() = permits >= settings.maxPermits

    override fun completed(
        latencyMillis: Long,
        tokens: Long,
    ): Unit = synchronized(lock) {
        val tokenMillis = millisPerToken(latencyMillis, tokens)
        val learned = learnedMillis
        val beganAtMillis = nowMillis() - latencyMillis
        if (beganAtMillis >= firstFailureMillis) failures = 0
        if (learned != null && tokenMillis > learned * settings.degradedLatencyFactor) return sign(beganAtMillis)
        signs = 0
        if (beganAtMillis >= (suspectedAtMillis ?: Long.MAX_VALUE)) suspectedAtMillis = null
        roundMillis += tokenMillis
        roundSize += 1
        if (roundSize >= maxOf(SMALLEST_ROUND, currentPermits())) endRound()
    }

    override fun failed(): Unit = synchronized(lock) {
        if (failures == 0) firstFailureMillis = nowMillis()
        failures += 1
        if (failures >= settings.relapseSigns) fallBack()
    }

    override fun restarted(): Unit = synchronized(lock) { fallBack() }

    /** Takes the lower of what the evidence and the ramp allow. */
    private fun currentPermits(): Int {
        val risenShare = ((nowMillis() - startedAtMillis).toDouble() / maxOf(1, settings.rampMillis)).coerceIn(0.0, 1.0)
        val ramp = settings.initialPermits + ((settings.maxPermits - settings.initialPermits) * risenShare).toInt()
        return minOf(proven, ramp)
    }

    /**
     * Takes in a slow request. One pause of the upstream or the host slows all that run at that moment, so they can
     * only make it a suspect; it has relapsed if requests that began later are slow as well.
     */
    private fun sign(beganAtMillis: Long) {
        if (beganAtMillis < (suspectedAtMillis ?: Long.MIN_VALUE)) return
        signs += 1
        if (signs < settings.relapseSigns) return
        if (suspectedAtMillis != null) return fallBack()
        signs = 0
        suspectedAtMillis = nowMillis()
        proven = maxOf(settings.initialPermits, currentPermits() / 2)
        clearRound()
    }

    private fun fallBack() {
        startedAtMillis = nowMillis()
        proven = settings.initialPermits
        signs = 0
        failures = 0
        suspectedAtMillis = null
        lastRoundMillis = null
        clearRound()
    }

    private fun endRound() {
        val mean = roundMillis / roundSize
        clearRound()
        val isGood = isGood(mean)
        lastRoundMillis = mean
        if (!isGood) return
        learn(mean)
        // What the ramp holds back is not proven: only permits that were in use can have shown that they are borne.
        val inUse = currentPermits()
        proven = maxOf(proven, minOf(settings.maxPermits, ceil(inUse * settings.growth).toInt()))
    }

    /** Compares with what is learned; before anything is, with the round before, which must not be much slower. */
    private fun isGood(mean: Double): Boolean {
        val learned = learnedMillis
        val last = lastRoundMillis
        return when {
            learned != null -> mean <= learned * settings.healthyLatencyFactor
            last == null -> false
            else -> mean >= last * settings.improvingRatio && mean <= last * settings.healthyLatencyFactor
        }
    }

    private fun learn(mean: Double) {
        val learned = learnedMillis
        learnedMillis =
            when {
                learned == null -> mean
                mean < learned -> mean + (learned - mean) * KEPT_WHEN_FASTER
                else -> learned + (mean - learned) * TAKEN_WHEN_SLOWER
            }
    }

    private fun clearRound() {
        roundMillis = 0.0
        roundSize = 0
    }

    private companion object {
        const val SMALLEST_ROUND = 2
        const val KEPT_WHEN_FASTER = 0.5
        const val TAKEN_WHEN_SLOWER = 0.05
    }
}

/** Returns the time that a token took, in milliseconds. */
internal fun millisPerToken(
    latencyMillis: Long,
    tokens: Long,
): Double = latencyMillis.toDouble() / maxOf(1, tokens)
