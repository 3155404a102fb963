/*
 * The virtual clock of a replay: actions in the order of their moments, those of one moment in the order of their
 * scheduling, so that a run depends on its seed alone.
 */
package io.carawaytrack.replay

import java.util.PriorityQueue

internal class EventQueue {
    private val waiting = PriorityQueue<Event>(compareBy<Event> { it.atMillis }.thenBy { it.sequence })
    private var sequence = 0L

    var nowMillis: Double = 0.0
        private set

    fun after(
        delayMillis: Double,
        action: () -> Unit,
    ) {
        waiting += Event(nowMillis + delayMillis.coerceAtLeast(0.0), sequence++, action)
    }

    fun at(
        millis: Double,
        action: () -> Unit,
    ) = after(millis - nowMillis, action)

    fun every(
        periodMillis: Double,
        untilMillis: Double,
        action: () -> Unit,
    ) {
        after(periodMillis) {
            action()
            if (nowMillis + periodMillis <= untilMillis) every(periodMillis, untilMillis, action)
        }
    }

    /** Runs everything that is due until [untilMillis]; returns whether nothing is left. */
    fun run(untilMillis: Double): Boolean {
        while (waiting.isNotEmpty() && waiting.peek().atMillis <= untilMillis) {
            val event = waiting.remove()
            nowMillis = event.atMillis
            event.action()
        }
        return waiting.isEmpty()
    }

    private class Event(
        val atMillis: Double,
        val sequence: Long,
        val action: () -> Unit,
    )
}
