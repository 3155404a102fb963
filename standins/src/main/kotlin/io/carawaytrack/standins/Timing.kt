/*
 * The time source of a stand-in: its clock and its delays. Tests pass a clock that each delay advances.
 */
package io.carawaytrack.standins

import kotlinx.coroutines.delay

/**
 * Time source of a stand-in.
 *
 * @property nowMillis returns the time of the clock in milliseconds; only differences are meaningful
 * @property delayMillis suspends for the given number of milliseconds
 */
public class Timing(
    public val nowMillis: () -> Long = { System.nanoTime() / NANOS_PER_MILLI },
    public val delayMillis: suspend (Long) -> Unit = { delay(it) },
) {
    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
