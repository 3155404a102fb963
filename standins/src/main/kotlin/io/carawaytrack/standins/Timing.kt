/*
 * The time that a stand-in lives in: the clock it reads and the way it waits. Tests pass a clock that moves by itself.
 */
package io.carawaytrack.standins

import kotlinx.coroutines.delay

/**
 * Gives a stand-in its time.
 *
 * @property nowMillis reads the clock, in milliseconds
 * @property delayMillis suspends for a number of milliseconds
 */
public class Timing(
    public val nowMillis: () -> Long = { System.nanoTime() / NANOS_PER_MILLI },
    public val delayMillis: suspend (Long) -> Unit = { delay(it) },
) {
    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
