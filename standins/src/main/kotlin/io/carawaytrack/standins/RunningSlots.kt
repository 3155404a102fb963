/*
 * The slots in which an engine stand-in runs its batch. Requests that find none wait by priority, then by arrival.
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
        val turn = CompletableDeferred<Unit>()
    }

    private val lock = Any()
    private val waiters = PriorityQueue(compareBy<Waiter>({ it.priority }, { it.arrival }))
    private var arrivals = 0L
    private var taken = 0

    val running: Int get() = synchronized(lock) { taken }
    val waiting: Int get() = synchronized(lock) { waiters.size }

    /** Runs [block] in a slot, after waiting for one. */
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
        val waiter = enter(priority) ?: return
        var taken = false
        try {
            waiter.turn.await()
            taken = true
        } finally {
            if (!taken) giveUp(waiter)
        }
    }

    private fun enter(priority: Priority): Waiter? = synchronized(lock) {
        if (taken < maxRunning) {
            taken += 1
            return null
        }
        Waiter(priority, arrivals++).also(waiters::add)
    }

    /** Leaves the queue, or passes on the slot that was handed over at the same moment. */
    private fun giveUp(waiter: Waiter) {
        val wasQueued = synchronized(lock) { waiters.remove(waiter) }
        if (!wasQueued) release()
    }

    private fun release() {
        val next =
            synchronized(lock) {
                waiters.poll().also { if (it == null) taken -= 1 }
            }
        next?.turn?.complete(Unit)
    }
}
