/*
 * The warmth of an engine stand-in. After a start it bears few requests and is slow; both ease until the cold start is
 * over. Given more than it bears, it falls over: it answers nothing for a while and starts cold again.
 */
package io.carawaytrack.standins

internal class ColdStart(
    private val settings: EngineSettings,
    private val nowMillis: () -> Long,
) {
    private val lock = Any()
    private val firstBootMillis = nowMillis()
    private var bootedAtMillis = firstBootMillis
    private var starts = 1L

    /** Changes with every start, also with that of another process in its place. */
    val bootId: Long get() = synchronized(lock) { firstBootMillis * BOOT_IDS_PER_MILLI + starts }

    /** Whether it answers nothing because it has fallen over. */
    val isDown: Boolean get() = synchronized(lock) { nowMillis() < bootedAtMillis }

    /** Time until it answers again. */
    val downMillis: Long get() = synchronized(lock) { maxOf(0, bootedAtMillis - nowMillis()) }

    val isCold: Boolean get() = warmth() < 1.0

    /** Requests that it bears now, running and waiting; [Int.MAX_VALUE] once warm, when the others wait. */
    fun bearing(): Int {
        val warmth = warmth()
        if (warmth >= 1.0) return Int.MAX_VALUE
        val gain = (settings.maxRunning - settings.coldCapacity).coerceAtLeast(0) * warmth
        return settings.coldCapacity + gain.toInt()
    }

    /** Factor on the time of each token. */
    fun slowdown(): Double = settings.coldSlowdown + (1.0 - settings.coldSlowdown) * warmth()

    /** Starts again, cold, after [downMillis]. */
    fun restart(downMillis: Long): Unit = synchronized(lock) {
        bootedAtMillis = nowMillis() + downMillis
        starts += 1
    }

    private fun warmth(): Double = synchronized(lock) {
        if (settings.coldStartMillis == 0L) return 1.0
        ((nowMillis() - bootedAtMillis).toDouble() / settings.coldStartMillis).coerceIn(0.0, 1.0)
    }

    private companion object {
        const val BOOT_IDS_PER_MILLI = 1_000L
    }
}
