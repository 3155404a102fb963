/*
 * The batch slots of an engine stand-in. Requests without a free slot wait in order of priority, then of arrival.
 */
package io.carawaytrack.standins

import io.carawaytrack.model.Priority
import kotlinx.coroutines.CompletableDeferred
import java.util.PriorityQueue

internal class RunningSlots(
    private val maxRunning: Int,
) {
    private class Waiter(
        val priority: Priority,
        val arrival: Long,
    ) {
        val slotGrant = CompletableDeferred<Unit>()
    }

    private val lock = Any()
    private val waiters = PriorityQueue(compareBy<Waiter>({ it.priority }, { it.arrival }))
    private var arrivals = 0L
    private var occupied = 0

    val running: Int get() = synchronized(lock) { occupied }
    val waiting: Int get() = synchronized(lock) { waiters.size }

    /** Waits for a batch slot and runs [block] in it. */
    suspend fun <T> run(
        priority: Priority,
        block: suspend () -> T,
    ): T {
        acquire(priority)
        try {
            return block()
        } finally {
            release()
        }
    }

    private suspend fun acquire(priority: Priority) {
        val waiter = occupyOrEnqueue(priority) ?: return
        var isGranted = false
        try {
            waiter.slotGrant.await()
            isGranted = true
        } finally {
            if (!isGranted) abandon(waiter)
        }
    }

    /** Occupies a free slot and returns null, or returns a new entry of the wait queue if no slot is free. */
    private fun occupyOrEnqueue(priority: Priority): Waiter? = synchronized(lock) {
        if (occupied < maxRunning) {
            occupied += 1
            return null
        }
        Waiter(priority, arrivals++).also(waiters::add)
    }

    /** Removes [waiter] from the wait queue, or releases its slot if one was granted concurrently. */
    private fun abandon(waiter: Waiter) {
        val wasQueued = synchronized(lock) { waiters.remove(waiter) }
        if (!wasQueued) release()
    }

    private fun release() {
        val next =
            synchronized(lock) {
                waiters.poll().also { if (it == null) occupied -= 1 }
            }
        next?.slotGrant?.complete(Unit)
    }
}
