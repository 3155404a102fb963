/*
 * The cold start of an engine stand-in. After a start it has little capacity and is slow; both improve linearly until
 * the cold start is over. Above its capacity it crashes: it is down for a while and then starts cold again.
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

    /** Identifies a start of the engine; the start of a replacement process also gets a new one. */
    val bootId: Long get() = synchronized(lock) { firstBootMillis * BOOT_IDS_PER_MILLI + starts }

    /** Whether the engine is down after a crash. */
    val isDown: Boolean get() = synchronized(lock) { nowMillis() < bootedAtMillis }

    /** Time until the engine is up again. */
    val downMillis: Long get() = synchronized(lock) { maxOf(0, bootedAtMillis - nowMillis()) }

    val isCold: Boolean get() = warmRatio() < 1.0

    /** Requests, running and waiting, above which the engine crashes; [Int.MAX_VALUE] once warm, as it then queues. */
    fun capacity(): Int {
        val warmRatio = warmRatio()
        if (warmRatio >= 1.0) return Int.MAX_VALUE
        val gain = (settings.maxRunning - settings.coldCapacity).coerceAtLeast(0) * warmRatio
        return settings.coldCapacity + gain.toInt()
    }

    /** Factor on the time of prefill and of each token. */
    fun slowdown(): Double = settings.coldSlowdown + (1.0 - settings.coldSlowdown) * warmRatio()

    /** Restarts the engine cold after [downMillis]. */
    fun restart(downMillis: Long): Unit = synchronized(lock) {
        bootedAtMillis = nowMillis() + downMillis
        starts += 1
    }

    private fun warmRatio(): Double = synchronized(lock) {
        if (settings.coldStartMillis == 0L) return 1.0
        ((nowMillis() - bootedAtMillis).toDouble() / settings.coldStartMillis).coerceIn(0.0, 1.0)
    }

    private companion object {
        const val BOOT_IDS_PER_MILLI = 1_000L
    }
}
