/*
 * The queue in front of an upstream. It lets as many requests run as there are permits; the others wait by priority and
 * then by a weighted fair share of each organisation. It is bounded, refuses early what would miss its deadline, and
 * when it is full the organisation that holds most of it for its share gives way.
 */
package io.carawaytrack.limits

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.Priority
import io.carawaytrack.model.notRun
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import java.util.TreeSet
import kotlin.math.ceil

/**
 * Describes a request that wants to run.
 *
 * @property share weight of the organisation
 * @property cost what the request counts for against the share, in tokens
 * @property deadlineMillis moment by which it must have begun, on the queue's clock; null for none
 */
public data class AdmissionRequest(
    val organisation: OrganisationName,
    val share: Int = 1,
    val priority: Priority = Priority.Interactive,
    val cost: Long = 1,
    val deadlineMillis: Long? = null,
)

/**
 * Sets up an admission queue.
 *
 * @property maxWaiting requests that may wait
 * @property expectedHoldMillis time that a request is assumed to run before any has ended
 */
public data class AdmissionSettings(
    val maxWaiting: Int = 256,
    val expectedHoldMillis: Long = 0,
)

/** Allows one request to run; closing it, once or more often, lets the next one in. */
public interface Ticket : AutoCloseable {
    override fun close()
}

/** Decides when a request may run. */
public interface AdmissionQueue {
    /** Requests that hold a ticket. */
    public val running: Int

    /** Requests that wait for one. */
    public val waiting: Int

    /**
     * Waits for a ticket. Fails, always with `NotRun`, with `OrganisationLimit` or `PoolExhausted` and a retry hint
     * when the queue is full or the deadline would pass, and with `ShuttingDown` after [stopAccepting]. A caller that is
     * cancelled while it waits holds nothing.
     */
    public suspend fun acquire(request: AdmissionRequest): Result<Ticket, Failure>

    /** Lets in as many as the permits allow; to be called when they have risen. */
    public fun permitsChanged()

    /** Refuses every later request; those that wait still get their turn. */
    public fun stopAccepting()

    /** Suspends until nothing runs or waits. */
    public suspend fun awaitIdle()
}

/** Creates an admission queue that lets [permits] requests run at once. */
public fun AdmissionQueue(
    settings: AdmissionSettings,
    nowMillis: () -> Long,
    permits: () -> Int,
): AdmissionQueue = FairAdmissionQueue(settings, nowMillis, permits)

private class Waiter(
    val request: AdmissionRequest,
    val virtualStart: Double,
    val arrival: Long,
) {
    val turn = CompletableDeferred<Result<Ticket, Failure>>()

    @Volatile
    var ticket: Ticket? = null
}

private val ORDER_OF_TURNS = compareBy<Waiter>({ it.request.priority }, { it.virtualStart }, { it.arrival })

private class FairAdmissionQueue(
    private val settings: AdmissionSettings,
    private val nowMillis: () -> Long,
    private val permits: () -> Int,
) : AdmissionQueue {
    private val lock = Any()
    private val waiters = TreeSet(ORDER_OF_TURNS)
    private val fairClock = FairClock()
    private val held = MutableStateFlow(0)
    private var taken = 0
    private var arrivals = 0L
    private var isClosed = false
    private var holdMillis = settings.expectedHoldMillis.toDouble()

    override val running: Int get() = synchronized(lock) { taken }
    override val waiting: Int get() = synchronized(lock) { waiters.size }

    override suspend fun acquire(request: AdmissionRequest): Result<Ticket, Failure> {
        val waiter = enter(request)
        var isAnswered = false
        try {
            val answer = await(waiter)
            isAnswered = true
            return answer
        } finally {
            if (!isAnswered) giveUp(waiter)
        }
    }

    override fun permitsChanged(): Unit = change { admitWaiting() }

    override fun stopAccepting(): Unit = change { isClosed = true }

    override suspend fun awaitIdle() {
        held.first { it == 0 }
    }

    private suspend fun await(waiter: Waiter): Result<Ticket, Failure> {
        val deadlineMillis = waiter.request.deadlineMillis ?: return waiter.turn.await()
        val leftMillis = maxOf(0, deadlineMillis - nowMillis())
        val answer = withTimeoutOrNull(leftMillis) { waiter.turn.await() }
        if (answer != null) return answer
        val waited = Err(ErrorKind.PoolExhausted.notRun("waited $leftMillis ms for a ticket", retryHintMillis()))
        val wasWaiting = change { leave(waiter) }
        return if (wasWaiting) waited else waiter.turn.await()
    }

    /** Queues the request, answers it at once, or both. */
    private fun enter(request: AdmissionRequest): Waiter = change {
        val waiter = Waiter(request, fairClock.startOf(request), arrivals++)
        val refusal = refusalOf(waiter)
        if (refusal != null) {
            waiter.turn.complete(Err(refusal))
        } else {
            fairClock.charge(request, waiter.virtualStart)
            waiters += waiter
            admitWaiting()
        }
        waiter
    }

    private fun refusalOf(waiter: Waiter): Failure? {
        if (isClosed) return ErrorKind.ShuttingDown.notRun()
        if (waiters.isEmpty() && taken < permits()) return null
        val ahead = waiters.headSet(waiter).size
        val waitMillis = expectedWaitMillis(ahead)
        val deadlineMillis = waiter.request.deadlineMillis
        if (deadlineMillis != null && nowMillis() + waitMillis > deadlineMillis) {
            val leftMillis = deadlineMillis - nowMillis()
            return ErrorKind.PoolExhausted.notRun("would wait $waitMillis ms of $leftMillis ms", waitMillis)
        }
        return if (waiters.size < settings.maxWaiting) null else makeRoomFor(waiter)
    }

    /** Turns out the waiting request that has the least claim to its place, or returns why there is none. */
    private fun makeRoomFor(newcomer: Waiter): Failure? {
        val waitingByOrganisation = waiters.groupingBy { it.request.organisation }.eachCount()

        fun holdingOf(request: AdmissionRequest) =
            (waitingByOrganisation[request.organisation] ?: 0).toDouble() / request.share
        val last = waiters.lastOrNull() ?: return ErrorKind.PoolExhausted.notRun(retryAfterMillis = retryHintMillis())
        val lowest = waiters.filter { it.request.priority == last.request.priority }
        val victim = lowest.maxWith(compareBy({ holdingOf(it.request) }, { it.virtualStart }, { it.arrival }))
        val isLower = victim.request.priority > newcomer.request.priority
        val isEqual = victim.request.priority == newcomer.request.priority
        val newcomerHolding = holdingOf(newcomer.request) + 1.0 / newcomer.request.share
        if (isLower || (isEqual && newcomerHolding < holdingOf(victim.request))) {
            leave(victim)
            victim.turn.complete(Err(ErrorKind.OrganisationLimit.notRun(retryAfterMillis = retryHintMillis())))
            return null
        }
        val isOverShare = waitingByOrganisation.size > 1 && newcomerHolding > holdingOf(victim.request)
        val kind = if (isOverShare) ErrorKind.OrganisationLimit else ErrorKind.PoolExhausted
        return kind.notRun("${waiters.size} requests wait, the most allowed", retryHintMillis())
    }

    private fun admitWaiting() {
        while (taken < permits()) {
            val next = waiters.pollFirst() ?: return
            fairClock.served(next.virtualStart)
            val deadlineMillis = next.request.deadlineMillis
            if (deadlineMillis != null && nowMillis() > deadlineMillis) {
                fairClock.refund(next.request)
                next.turn.complete(Err(ErrorKind.PoolExhausted.notRun("the deadline passed", retryHintMillis())))
                continue
            }
            taken += 1
            val ticket = HeldTicket(nowMillis())
            next.ticket = ticket
            next.turn.complete(Ok(ticket))
        }
    }

    /** Leaves the queue; a ticket that was handed over at the same moment goes to the next one. */
    private fun giveUp(waiter: Waiter) {
        change { leave(waiter) }
        waiter.ticket?.close()
    }

    /** Takes a request that was not served out of the queue; returns whether it was there. */
    private fun leave(waiter: Waiter): Boolean {
        val wasWaiting = waiters.remove(waiter)
        if (wasWaiting) fairClock.refund(waiter.request)
        return wasWaiting
    }

    private fun expectedWaitMillis(ahead: Int): Long = ceil(holdMillis * (ahead + 1) / maxOf(1, permits())).toLong()

    private fun retryHintMillis(): Long = maxOf(SHORTEST_RETRY_HINT_MILLIS, expectedWaitMillis(waiters.size))

    private fun <T> change(block: () -> T): T = synchronized(lock) { block().also { publish() } }

    private fun publish() {
        held.value = taken + waiters.size
    }

    private inner class HeldTicket(
        private val sinceMillis: Long,
    ) : Ticket {
        private var isOpen = true

        override fun close(): Unit = change {
            if (!isOpen) return@change
            isOpen = false
            taken -= 1
            val heldMillis = nowMillis() - sinceMillis
            holdMillis += (heldMillis - holdMillis) * WEIGHT_OF_LAST_HOLD
            admitWaiting()
        }
    }

    private companion object {
        const val WEIGHT_OF_LAST_HOLD = 0.1
        const val SHORTEST_RETRY_HINT_MILLIS = 100L
    }
}

/** Gives each request the virtual time at which it is due, by start-time fair queueing. */
private class FairClock {
    private val dueNext = HashMap<OrganisationName, Double>()
    private var virtualNow = 0.0

    fun startOf(request: AdmissionRequest): Double = maxOf(virtualNow, dueNext[request.organisation] ?: 0.0)

    fun charge(
        request: AdmissionRequest,
        start: Double,
    ) {
        dueNext[request.organisation] = start + request.virtualCost
        if (dueNext.size > ORGANISATIONS_BEFORE_PRUNING) dueNext.values.removeIf { it <= virtualNow }
    }

    /** Takes back the charge of a request that was not served. */
    fun refund(request: AdmissionRequest) {
        dueNext.computeIfPresent(request.organisation) { _, due -> due - request.virtualCost }
    }

    fun served(start: Double) {
        virtualNow = maxOf(virtualNow, start)
    }

    private val AdmissionRequest.virtualCost: Double get() = cost.toDouble() / maxOf(1, share)

    private companion object {
        const val ORGANISATIONS_BEFORE_PRUNING = 256
    }
}
