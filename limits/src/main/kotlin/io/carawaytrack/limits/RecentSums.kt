/*
 * Sums of amounts over a sliding window, by key. The window moves in slices, so recording an amount and reading a sum
 * take constant time.
 */
package io.carawaytrack.limits

/** Number of slices of a window: a sum covers up to one slice less than the window. */
private const val SLICES_PER_WINDOW = 8

/** Sums of the amounts recorded in the last [windowMillis]. Not thread-safe. */
public class RecentSums<K>(
    windowMillis: Long,
    private val nowMillis: () -> Long,
) {
    private class Slice<K>(
        val number: Long,
        val amounts: HashMap<K, Double> = HashMap(),
    )

    private val sliceMillis = maxOf(1, windowMillis / SLICES_PER_WINDOW)
    private val slices = ArrayDeque<Slice<K>>()
    private val sums = HashMap<K, Double>()

    /** Adds [amount] to the sum of [key]. */
    public fun record(
        key: K,
        amount: Double,
    ) {
        expire()
        val number = nowMillis() / sliceMillis
        val slice = slices.lastOrNull()?.takeIf { it.number == number } ?: Slice<K>(number).also(slices::addLast)
        slice.amounts.merge(key, amount, Double::plus)
        sums.merge(key, amount, Double::plus)
    }

    /** Returns the sum of [key]; 0 when nothing was recorded in the window. */
    public operator fun get(key: K): Double {
        expire()
        return sums[key] ?: 0.0
    }

    /** Returns the sums of all keys for which an amount was recorded in the window. */
    public fun all(): Map<K, Double> {
        expire()
        return sums
    }

    private fun expire() {
        val oldest = nowMillis() / sliceMillis - SLICES_PER_WINDOW
        while ((slices.firstOrNull()?.number ?: return) <= oldest) {
            slices.removeFirst().amounts.forEach { (key, amount) -> subtract(key, amount) }
            // Rounding errors of the subtractions must not remain.
            if (slices.isEmpty()) sums.clear()
        }
    }

    private fun subtract(
        key: K,
        amount: Double,
    ) {
        val remaining = (sums[key] ?: 0.0) - amount
        if (slices.any { key in it.amounts }) sums[key] = maxOf(0.0, remaining) else sums -= key
    }
}
