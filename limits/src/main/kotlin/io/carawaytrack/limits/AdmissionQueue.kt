/*
 * The admission queue in front of an upstream. It admits as many concurrent requests as there are permits; the others
 * wait in order of priority and then of a weighted fair share of each organisation. The queue is bounded and rejects
 * early the requests that would miss their deadline. When it is full, a request of the organisation that uses most of
 * it in proportion to its share is evicted.
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
 * Describes a request for admission.
 *
 * @property share weight of the organisation
 * @property cost amount charged against the share, in tokens
 * @property deadlineAtMillis latest start, on the clock of the queue; null for none
 */
public data class AdmissionRequest(
    val organisation: OrganisationName,
    val share: Int = 1,
    val priority: Priority = Priority.Interactive,
    val cost: Long = 1,
    val deadlineAtMillis: Long? = null,
)

/**
 * Configures an admission queue.
 *
 * @property maxWaiting maximum number of waiting requests
 * @property initialServiceTimeMillis assumed time that a request runs, until the first one has ended
 */
public data class AdmissionSettings(
    val maxWaiting: Int = 256,
    val initialServiceTimeMillis: Long = 0,
)

/** Permission for one request to run. Closing it admits the next one; repeated calls have no effect. */
public interface Ticket : AutoCloseable {
    override fun close()
}

/** Decides when each request may run. */
public interface AdmissionQueue {
    /** Number of requests that hold a ticket. */
    public val running: Int

    /** Number of requests that wait for a ticket. */
    public val waiting: Int

    /**
     * Waits for a ticket. Fails, always with `NotRun`, with `OrganisationLimit` or `PoolExhausted` and a retry hint
     * when the queue is full or the deadline would pass, and with `ShuttingDown` after [stopAccepting]. When the caller
     * is cancelled while it waits, its place in the queue and any ticket already granted are released.
     */
    public suspend fun acquire(request: AdmissionRequest): Result<Ticket, Failure>

    /** Admits as many waiting requests as the permits allow; must be called when the permits have increased. */
    public fun permitsChanged()

    /** Rejects every later request; requests that already wait are still admitted. */
    public fun stopAccepting()

    /** Suspends until no request runs or waits. */
    public suspend fun awaitIdle()
}

/** Creates an admission queue that runs at most as many concurrent requests as [permits] returns. */
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
    val outcome = CompletableDeferred<Result<Ticket, Failure>>()

    @Volatile
    var ticket: Ticket? = null
}

private val ADMISSION_ORDER = compareBy<Waiter>({ it.request.priority }, { it.virtualStart }, { it.arrival })

private class FairAdmissionQueue(
    private val settings: AdmissionSettings,
    private val nowMillis: () -> Long,
    private val permits: () -> Int,
) : AdmissionQueue {
    private val lock = Any()
    private val waiters = TreeSet(ADMISSION_ORDER)
    private val virtualClock = VirtualClock()
    private val unfinishedCount = MutableStateFlow(0)
    private var runningCount = 0
    private var arrivalCount = 0L
    private var isClosed = false
    private var meanServiceMillis = settings.initialServiceTimeMillis.toDouble()

    override val running: Int get() = synchronized(lock) { runningCount }
    override val waiting: Int get() = synchronized(lock) { waiters.size }

    override suspend fun acquire(request: AdmissionRequest): Result<Ticket, Failure> {
        val waiter = enqueue(request)
        var isSettled = false
        try {
            val outcome = awaitOutcome(waiter)
            isSettled = true
            return outcome
        } finally {
            if (!isSettled) abandon(waiter)
        }
    }

    override fun permitsChanged(): Unit = update { admitWaiting() }

    override fun stopAccepting(): Unit = update { isClosed = true }

    override suspend fun awaitIdle() {
        unfinishedCount.first { it == 0 }
    }

    private suspend fun awaitOutcome(waiter: Waiter): Result<Ticket, Failure> {
        val deadlineAtMillis = waiter.request.deadlineAtMillis ?: return waiter.outcome.await()
        val remainingMillis = maxOf(0, deadlineAtMillis - nowMillis())
        val outcome = withTimeoutOrNull(remainingMillis) { waiter.outcome.await() }
        if (outcome != null) return outcome
        val timedOut =
            Err(ErrorKind.PoolExhausted.notRun("no permit within $remainingMillis ms of waiting", retryHintMillis()))
        val wasWaiting = update { removeWaiting(waiter) }
        return if (wasWaiting) timedOut else waiter.outcome.await()
    }

    /** Queues the request or rejects it; the outcome may already be complete on return. */
    private fun enqueue(request: AdmissionRequest): Waiter = update {
        val waiter = Waiter(request, virtualClock.startOf(request), arrivalCount++)
        val refusal = refusalOf(waiter)
        if (refusal != null) {
            waiter.outcome.complete(Err(refusal))
        } else {
            virtualClock.charge(request, waiter.virtualStart)
            waiters += waiter
            admitWaiting()
        }
        waiter
    }

    private fun refusalOf(waiter: Waiter): Failure? {
        if (isClosed) return ErrorKind.ShuttingDown.notRun()
        if (waiters.isEmpty() && runningCount < permits()) return null
        val ahead = waiters.headSet(waiter).size
        val waitMillis = expectedWaitMillis(ahead)
        val deadlineAtMillis = waiter.request.deadlineAtMillis
        if (deadlineAtMillis != null && nowMillis() + waitMillis > deadlineAtMillis) {
            val remainingMillis = deadlineAtMillis - nowMillis()
            return ErrorKind.PoolExhausted.notRun(
                "expected wait of $waitMillis ms exceeds the time until the deadline, $remainingMillis ms",
                waitMillis,
            )
        }
        return if (waiters.size < settings.maxWaiting) null else evictFor(waiter)
    }

    /** Evicts a waiting request in favour of [arriving], or returns why [arriving] is rejected instead. */
    private fun evictFor(arriving: Waiter): Failure? {
        val waitingByOrganisation = waiters.groupingBy { it.request.organisation }.eachCount()

        fun queueUseOf(request: AdmissionRequest) =
            (waitingByOrganisation[request.organisation] ?: 0).toDouble() / request.share
        val tail = waiters.lastOrNull() ?: return ErrorKind.PoolExhausted.notRun(retryAfterMillis = retryHintMillis())
        val candidates = waiters.filter { it.request.priority == tail.request.priority }
        val victim = candidates.maxWith(compareBy({ queueUseOf(it.request) }, { it.virtualStart }, { it.arrival }))
        val isLower = victim.request.priority > arriving.request.priority
        val isEqual = victim.request.priority == arriving.request.priority
        val arrivingUse = queueUseOf(arriving.request) + 1.0 / arriving.request.share
        if (isLower || (isEqual && arrivingUse < queueUseOf(victim.request))) {
            removeWaiting(victim)
            victim.outcome.complete(Err(ErrorKind.OrganisationLimit.notRun(retryAfterMillis = retryHintMillis())))
            return null
        }
        val isOverShare = waitingByOrganisation.size > 1 && arrivingUse > queueUseOf(victim.request)
        val kind = if (isOverShare) ErrorKind.OrganisationLimit else ErrorKind.PoolExhausted
        return kind.notRun("the wait queue is full: ${waiters.size} requests wait, the maximum", retryHintMillis())
    }

    private fun admitWaiting() {
        while (runningCount < permits()) {
            val next = waiters.pollFirst() ?: return
            virtualClock.advanceTo(next.virtualStart)
            val deadlineAtMillis = next.request.deadlineAtMillis
            if (deadlineAtMillis != null && nowMillis() > deadlineAtMillis) {
                virtualClock.refund(next.request)
                next.outcome.complete(
                    Err(ErrorKind.PoolExhausted.notRun("deadline passed before a permit was free", retryHintMillis())),
                )
                continue
            }
            runningCount += 1
            val ticket = RunningTicket(nowMillis())
            next.ticket = ticket
            next.outcome.complete(Ok(ticket))
        }
    }

    /** Removes a cancelled request; a ticket that it was granted at the same time passes to the next one. */
    private fun abandon(waiter: Waiter) {
        update { removeWaiting(waiter) }
        waiter.ticket?.close()
    }

    /** Removes a request that was not admitted from the queue; returns whether it was still waiting. */
    private fun removeWaiting(waiter: Waiter): Boolean {
        val wasWaiting = waiters.remove(waiter)
        if (wasWaiting) virtualClock.refund(waiter.request)
        return wasWaiting
    }

    private fun expectedWaitMillis(ahead: Int): Long =
        ceil(meanServiceMillis * (ahead + 1) / maxOf(1, permits())).toLong()

    private fun retryHintMillis(): Long = maxOf(MIN_RETRY_HINT_MILLIS, expectedWaitMillis(waiters.size))

    private fun <T> update(block: () -> T): T = synchronized(lock) { block().also { publish() } }

    private fun publish() {
        unfinishedCount.value = runningCount + waiters.size
    }

    private inner class RunningTicket(
        private val startedAtMillis: Long,
    ) : Ticket {
        private var isOpen = true

        override fun close(): Unit = update {
            if (!isOpen) return@update
            isOpen = false
            runningCount -= 1
            val serviceMillis = nowMillis() - startedAtMillis
            meanServiceMillis += (serviceMillis - meanServiceMillis) * SERVICE_TIME_SMOOTHING_RATIO
            admitWaiting()
        }
    }

    private companion object {
        const val SERVICE_TIME_SMOOTHING_RATIO = 0.1
        const val MIN_RETRY_HINT_MILLIS = 100L
    }
}

/** Assigns each request its virtual start time, by start-time fair queueing. */
private class VirtualClock {
    private val nextStarts = HashMap<OrganisationName, Double>()
    private var virtualNow = 0.0

    fun startOf(request: AdmissionRequest): Double = maxOf(virtualNow, nextStarts[request.organisation] ?: 0.0)

    fun charge(
        request: AdmissionRequest,
        start: Double,
    ) {
        nextStarts[request.organisation] = start + request.virtualCost
        if (nextStarts.size > PRUNING_THRESHOLD_ORGANISATIONS) nextStarts.values.removeIf { it <= virtualNow }
    }

    /** Reverts the charge of a request that was not admitted. */
    fun refund(request: AdmissionRequest) {
        nextStarts.computeIfPresent(request.organisation) { _, start -> start - request.virtualCost }
    }

    fun advanceTo(start: Double) {
        virtualNow = maxOf(virtualNow, start)
    }

    private val AdmissionRequest.virtualCost: Double get() = cost.toDouble() / maxOf(1, share)

    private companion object {
        const val PRUNING_THRESHOLD_ORGANISATIONS = 256
    }
}
