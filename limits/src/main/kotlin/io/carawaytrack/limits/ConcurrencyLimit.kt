/*
 * The number of requests that one upstream serves best at once, found from how its time per token answers to the load.
 * A rule looks at one window of completed requests after the other and moves the limit.
 */
package io.carawaytrack.limits

/**
 * Describes a window of completed requests.
 *
 * @property tokenMillis mean time per token within the window
 * @property idleTokenMillis time per token of the upstream when it is not loaded, as far as known
 * @property isUsed whether the limit was nearly reached, without which nothing can be learned from it
 */
public data class LimitWindow(
    val tokenMillis: Double,
    val idleTokenMillis: Double,
    val isUsed: Boolean,
)

/** Returns the next limit from the present one and what was seen under it. */
public typealias LimitRule = (limit: Double, window: LimitWindow) -> Double

/** Raises the limit by one while the time per token is within [tolerance] of the idle one, else lowers it by a part. */
public fun aimdRule(
    tolerance: Double = 1.5,
    decrease: Double = 0.9,
): LimitRule = { limit, window ->
    when {
        window.tokenMillis > window.idleTokenMillis * tolerance -> limit * decrease
        window.isUsed -> limit + 1
        else -> limit
    }
}

/**
 * Sets up a concurrency limit.
 *
 * @property windowSize completed requests that make a window
 * @property probeWindows windows after which the limit is lowered once and the idle time per token learned anew, as the
 * upstream may have become slower or faster for good
 */
public data class ConcurrencySettings(
    val startLimit: Int = 4,
    val minLimit: Int = 1,
    val maxLimit: Int = 256,
    val windowSize: Int = 16,
    val probeWindows: Int = 64,
)

/** Finds out how many requests an upstream should run at once. */
public interface ConcurrencyLimit {
    /** Limit now. */
    public val limit: Int

    /** Takes in that a request of [tokens] took [latencyMillis] while [running] requests, itself included, ran. */
    public fun completed(
        latencyMillis: Long,
        tokens: Long,
        running: Int,
    )

    /** Takes in that the upstream failed a request or refused it as too much. */
    public fun failed()
}

/** Creates a concurrency limit that moves by [rule]. */
public fun ConcurrencyLimit(
    settings: ConcurrencySettings = ConcurrencySettings(),
    rule: LimitRule = aimdRule(),
): ConcurrencyLimit = WindowedConcurrencyLimit(settings, rule)

private class WindowedConcurrencyLimit(
    private val settings: ConcurrencySettings,
    private val rule: LimitRule,
) : ConcurrencyLimit {
    private val lock = Any()
    private var current = settings.startLimit.toDouble()
    private var idleMillis = Double.MAX_VALUE
    private var isProbing = false
    private var windows = 0
    private var sumMillis = 0.0
    private var peakRunning = 0
    private var size = 0

    override val limit: Int get() = synchronized(lock) { current.toInt() }

    override fun completed(
        latencyMillis: Long,
        tokens: Long,
        running: Int,
    ): Unit = synchronized(lock) {
        sumMillis += millisPerToken(latencyMillis, tokens)
        peakRunning = maxOf(peakRunning, running)
        size += 1
        if (size >= settings.windowSize) endWindow()
    }

    override fun failed(): Unit = synchronized(lock) { move(current * DECREASE_ON_FAILURE) }

    private fun endWindow() {
        val tokenMillis = maxOf(sumMillis / size, SHORTEST_TOKEN_MILLIS)
        rememberIdle(tokenMillis)
        if (isProbing) {
            isProbing = false
            move(current * PROBE_SHARE)
            return clearWindow()
        }
        val isUsed = peakRunning >= current.toInt() * USED_SHARE
        move(rule(current, LimitWindow(tokenMillis, idleMillis, isUsed)))
        clearWindow()
    }

    private fun clearWindow() {
        sumMillis = 0.0
        peakRunning = 0
        size = 0
    }

    /** Keeps the fastest window; forgets it now and then and looks again under less load. */
    private fun rememberIdle(tokenMillis: Double) {
        idleMillis = minOf(idleMillis, tokenMillis)
        windows += 1
        if (windows % settings.probeWindows != 0) return
        idleMillis = Double.MAX_VALUE
        isProbing = true
    }

    private fun move(next: Double) {
        current = next.coerceIn(settings.minLimit.toDouble(), settings.maxLimit.toDouble())
    }

    private companion object {
        const val DECREASE_ON_FAILURE = 0.7
        const val USED_SHARE = 0.9
        const val PROBE_SHARE = 0.5
        const val SHORTEST_TOKEN_MILLIS = 0.001
    }
}
