/*
 * Adaptive concurrency limit of one upstream, derived from how its time per token responds to the load. A rule
 * evaluates one window of completed requests after another and adjusts the limit.
 */
package io.carawaytrack.limits

/**
 * Describes a window of completed requests.
 *
 * @property tokenMillis mean time per token within the window
 * @property idleTokenMillis estimated time per token of the upstream without load
 * @property isNearLimit whether the limit was nearly reached; otherwise the window is no evidence for a higher limit
 */
public data class LimitWindow(
    val tokenMillis: Double,
    val idleTokenMillis: Double,
    val isNearLimit: Boolean,
)

/** Returns the next limit, given the current limit and a window observed under it. */
public typealias LimitRule = (limit: Double, window: LimitWindow) -> Double

/**
 * Returns a rule of additive increase and multiplicative decrease: the limit rises by one while it is nearly reached
 * and the time per token is at most [tolerance] times the idle one, and is multiplied by [decrease] above that.
 */
public fun aimdRule(
    tolerance: Double = 1.5,
    decrease: Double = 0.9,
): LimitRule = { limit, window ->
    when {
        window.tokenMillis > window.idleTokenMillis * tolerance -> limit * decrease
        window.isNearLimit -> limit + 1
        else -> limit
    }
}

/**
 * Configures a concurrency limit.
 *
 * @property windowSize completed requests in a window
 * @property probeWindows windows after which the limit is lowered once and the idle time per token is measured again,
 * because the upstream may have become permanently slower or faster
 */
public data class ConcurrencySettings(
    val initialLimit: Int = 4,
    val minLimit: Int = 1,
    val maxLimit: Int = 256,
    val windowSize: Int = 16,
    val probeWindows: Int = 64,
)

/** Estimates how many requests an upstream should run concurrently. */
public interface ConcurrencyLimit {
    /** Current limit. */
    public val limit: Int

    /** Records that a request of [tokens] took [latencyMillis] while [running] requests, including it, were running. */
    public fun completed(
        latencyMillis: Long,
        tokens: Long,
        running: Int,
    )

    /** Records that the upstream failed a request or rejected it because of overload. */
    public fun failed()
}

/** Creates a concurrency limit that is adjusted by [rule]. */
public fun ConcurrencyLimit(
    settings: ConcurrencySettings = ConcurrencySettings(),
    rule: LimitRule = aimdRule(),
): ConcurrencyLimit = WindowedConcurrencyLimit(settings, rule)

private class WindowedConcurrencyLimit(
    private val settings: ConcurrencySettings,
    private val rule: LimitRule,
) : ConcurrencyLimit {
    private val lock = Any()
    private var currentLimit = settings.initialLimit.toDouble()
    private var idleTokenMillis = Double.MAX_VALUE
    private var isProbing = false
    private var windowCount = 0
    private var sumMillis = 0.0
    private var peakRunning = 0
    private var requestCount = 0

    override val limit: Int get() = synchronized(lock) { currentLimit.toInt() }

    override fun completed(
        latencyMillis: Long,
        tokens: Long,
        running: Int,
    ): Unit = synchronized(lock) {
        sumMillis += millisPerToken(latencyMillis, tokens)
        peakRunning = maxOf(peakRunning, running)
        requestCount += 1
        if (requestCount >= settings.windowSize) endWindow()
    }

    override fun failed(): Unit = synchronized(lock) { setLimit(currentLimit * FAILURE_DECREASE_RATIO) }

    private fun endWindow() {
        val tokenMillis = maxOf(sumMillis / requestCount, MIN_TOKEN_MILLIS)
        updateIdleTime(tokenMillis)
        if (isProbing) {
            isProbing = false
            setLimit(currentLimit * PROBE_LIMIT_RATIO)
            return clearWindow()
        }
        val isNearLimit = peakRunning >= currentLimit.toInt() * NEAR_LIMIT_RATIO
        setLimit(rule(currentLimit, LimitWindow(tokenMillis, idleTokenMillis, isNearLimit)))
        clearWindow()
    }

    private fun clearWindow() {
        sumMillis = 0.0
        peakRunning = 0
        requestCount = 0
    }

    /** Keeps the time per token of the fastest window; discards it regularly to measure it again under less load. */
    private fun updateIdleTime(tokenMillis: Double) {
        idleTokenMillis = minOf(idleTokenMillis, tokenMillis)
        windowCount += 1
        if (windowCount % settings.probeWindows != 0) return
        idleTokenMillis = Double.MAX_VALUE
        isProbing = true
    }

    private fun setLimit(next: Double) {
        currentLimit = next.coerceIn(settings.minLimit.toDouble(), settings.maxLimit.toDouble())
    }

    private companion object {
        const val FAILURE_DECREASE_RATIO = 0.7
        const val NEAR_LIMIT_RATIO = 0.9
        const val PROBE_LIMIT_RATIO = 0.5
        const val MIN_TOKEN_MILLIS = 0.001
    }
}
