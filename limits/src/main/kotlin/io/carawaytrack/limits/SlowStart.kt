/*
 * Slow start of one upstream. The number of concurrent requests grows from a low initial value only on evidence that
 * the upstream is warm, and never faster than a linear ramp in time. When the upstream appears to be cold again, the
 * slow start is reset.
 */
package io.carawaytrack.limits

import kotlin.math.ceil

/**
 * Configures a slow start.
 *
 * @property initialPermits permits after a start, the load that the upstream sustains when it is completely cold
 * @property maxPermits permits when the upstream is warm
 * @property rampMillis minimum time from a start to [maxPermits]
 * @property growthFactor factor applied to the permits after a healthy round of requests
 * @property healthyLatencyFactor a round is healthy while its time per token is within this factor of the baseline
 * @property warmingLatencyRatio before there is a baseline, an upstream is still warming up while the time per token
 * falls below this ratio of that of the last round
 * @property degradedLatencyFactor a request is degraded when its time per token exceeds the baseline by this factor
 * @property degradationThreshold number of failures that reset the slow start, unless a request that began after the
 * first of them completes; number of consecutive degraded requests that halve the permits; and number of further
 * consecutive degraded requests, begun after that, that reset the slow start
 */
public data class SlowStartSettings(
    val initialPermits: Int = 1,
    val maxPermits: Int = 16,
    val rampMillis: Long = 10_000,
    val growthFactor: Double = 1.5,
    val healthyLatencyFactor: Double = 1.5,
    val warmingLatencyRatio: Double = 0.8,
    val degradedLatencyFactor: Double = 3.0,
    val degradationThreshold: Int = 3,
)

/** Determines how many requests an upstream may run concurrently. */
public interface SlowStart {
    /** Current permits. */
    public val permits: Int

    /** Whether the permits have reached their maximum. */
    public val isWarm: Boolean

    /** Records that a request of [tokens] prompt and answer tokens took [latencyMillis]. */
    public fun completed(
        latencyMillis: Long,
        tokens: Long,
    )

    /** Records that the upstream failed a request. */
    public fun failed()

    /** Resets the slow start because the upstream has restarted, as a new boot id or a failed health check shows. */
    public fun restarted()
}

/** Creates a slow start with the initial permits. */
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
    private var provenPermits = settings.initialPermits
    private var degradedInRow = 0
    private var failures = 0
    private var firstFailureMillis = 0L
    private var suspectedSinceMillis: Long? = null
    private var baselineMillis: Double? = null
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
        val baseline = baselineMillis
        val beganMillis = nowMillis() - latencyMillis
        if (beganMillis >= firstFailureMillis) failures = 0
        if (baseline != null && tokenMillis > baseline * settings.degradedLatencyFactor) return onDegraded(beganMillis)
        degradedInRow = 0
        if (beganMillis >= (suspectedSinceMillis ?: Long.MAX_VALUE)) suspectedSinceMillis = null
        roundMillis += tokenMillis
        roundSize += 1
        if (roundSize >= maxOf(MIN_ROUND_SIZE, currentPermits())) endRound()
    }

    override fun failed(): Unit = synchronized(lock) {
        if (failures == 0) firstFailureMillis = nowMillis()
        failures += 1
        if (failures >= settings.degradationThreshold) reset()
    }

    override fun restarted(): Unit = synchronized(lock) { reset() }

    /** Returns the lower of the permits proven by evidence and those allowed by the ramp. */
    private fun currentPermits(): Int {
        val rampRatio = ((nowMillis() - startedAtMillis).toDouble() / maxOf(1, settings.rampMillis)).coerceIn(0.0, 1.0)
        val rampLimit = settings.initialPermits + ((settings.maxPermits - settings.initialPermits) * rampRatio).toInt()
        return minOf(provenPermits, rampLimit)
    }

    /**
     * Records a degraded request. A single pause of the upstream or its host slows all requests that run at the time,
     * so these only make the upstream suspect; it counts as cold again when requests that began later are degraded too.
     */
    private fun onDegraded(beganMillis: Long) {
        if (beganMillis < (suspectedSinceMillis ?: Long.MIN_VALUE)) return
        degradedInRow += 1
        if (degradedInRow < settings.degradationThreshold) return
        if (suspectedSinceMillis != null) return reset()
        degradedInRow = 0
        suspectedSinceMillis = nowMillis()
        provenPermits = maxOf(settings.initialPermits, currentPermits() / 2)
        clearRound()
    }

    private fun reset() {
        startedAtMillis = nowMillis()
        provenPermits = settings.initialPermits
        degradedInRow = 0
        failures = 0
        suspectedSinceMillis = null
        lastRoundMillis = null
        clearRound()
    }

    private fun endRound() {
        val mean = roundMillis / roundSize
        clearRound()
        val isHealthy = isHealthy(mean)
        lastRoundMillis = mean
        if (!isHealthy) return
        updateBaseline(mean)
        // Permits above the ramp were not in use, so the round is no evidence that the upstream sustains them.
        val inUse = currentPermits()
        provenPermits = maxOf(provenPermits, minOf(settings.maxPermits, ceil(inUse * settings.growthFactor).toInt()))
    }

    /**
     * Compares the mean with the baseline or, before there is one, with the previous round: the time per token must not
     * fall much, which means that the upstream is still warming up, and must not be much higher.
     */
    private fun isHealthy(mean: Double): Boolean {
        val baseline = baselineMillis
        val last = lastRoundMillis
        return when {
            baseline != null -> mean <= baseline * settings.healthyLatencyFactor
            last == null -> false
            else -> mean >= last * settings.warmingLatencyRatio && mean <= last * settings.healthyLatencyFactor
        }
    }

    private fun updateBaseline(mean: Double) {
        val baseline = baselineMillis
        baselineMillis =
            when {
                baseline == null -> mean
                mean < baseline -> mean + (baseline - mean) * FASTER_RETAINED_RATIO
                else -> baseline + (mean - baseline) * SLOWER_SMOOTHING_RATIO
            }
    }

    private fun clearRound() {
        roundMillis = 0.0
        roundSize = 0
    }

    private companion object {
        const val MIN_ROUND_SIZE = 2
        const val FASTER_RETAINED_RATIO = 0.5
        const val SLOWER_SMOOTHING_RATIO = 0.05
    }
}

/** Returns the mean time per token, in milliseconds. */
internal fun millisPerToken(
    latencyMillis: Long,
    tokens: Long,
): Double = latencyMillis.toDouble() / maxOf(1, tokens)
