/*
 * Event queue and virtual clock of a simulation. Events run in order of time, and events with the same time in the
 * order in which they were scheduled, so that a run is determined by its trace, policy and seed.
 */
package io.carawaytrack.replay

import java.util.PriorityQueue

internal class EventQueue {
    private val pending = PriorityQueue<Event>(compareBy<Event> { it.atMillis }.thenBy { it.sequence })
    private var sequence = 0L

    var nowMillis: Double = 0.0
        private set

    fun after(
        delayMillis: Double,
        action: () -> Unit,
    ) {
        pending += Event(nowMillis + delayMillis.coerceAtLeast(0.0), sequence++, action)
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

    /** Runs all events scheduled up to and including [untilMillis]; returns whether the queue is empty. */
    fun run(untilMillis: Double): Boolean {
        while (pending.isNotEmpty() && pending.peek().atMillis <= untilMillis) {
            val event = pending.remove()
            nowMillis = event.atMillis
            event.action()
        }
        return pending.isEmpty()
    }

    private class Event(
        val atMillis: Double,
        val sequence: Long,
        val action: () -> Unit,
    )
}
