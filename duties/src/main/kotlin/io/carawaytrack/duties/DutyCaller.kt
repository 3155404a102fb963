/*
 * Makes one call to the platform at a time: confirms the leadership before each one, limits the rate, and backs off
 * after a failure.
 */
package io.carawaytrack.duties

/**
 * Maximum time between the start of a confirmation and the writing of the request; together with the wait of a
 * successor it keeps the calls of two holders at least the lease apart.
 */
internal const val CONFIRMATION_VALID_MILLIS: Long = 500

private const val FIRST_RETRY_MILLIS = 300L
private const val MAX_RETRY_MILLIS = 2_000L

/** Smallest fraction of a backoff that is waited. */
private const val MIN_JITTER = 0.5

/** Failures after which the backoff has reached [MAX_RETRY_MILLIS]. */
private const val MAX_DOUBLINGS = 3

private const val MILLIS_PER_SECOND = 1_000.0

internal class DutyCaller(
    private val settings: DutySettings,
    private val ports: DutyPorts,
    private val hold: DutyHold,
    private val clocks: TwoClocks,
) {
    private class Pending(
        val since: Moment,
        val token: Long,
        val message: DutyMessage,
        val done: (CallOutcome) -> Unit,
    ) {
        var sent = false
    }

    private var pending: Pending? = null
    private var failures = 0
    private var notBeforeMillis = Long.MIN_VALUE

    /** Calls that the platform has refused or not answered. */
    var failedCalls: Long = 0
        private set

    /** Message of the call in flight. */
    val inFlight: DutyMessage? get() = pending?.message

    /** Returns whether a call may be made now. */
    fun isReady(): Boolean {
        // A confirmation without an answer is given up once it is too old; a call in flight ends by its timeout.
        pending?.let { if (!it.sent && !clocks.isWithin(it.since, CONFIRMATION_VALID_MILLIS)) pending = null }
        return hold.mayCall && pending == null && clocks.nowMillis() >= notBeforeMillis
    }

    /** Makes a call if [isReady] allows it; [done] is called unless the confirmation fails. */
    fun call(
        token: Long,
        message: DutyMessage,
        done: (CallOutcome) -> Unit,
    ) {
        val call = Pending(clocks.moment(), token, message, done)
        pending = call
        ports.confirmLeadership { confirmed ->
            if (pending !== call) return@confirmLeadership
            if (confirmed && mayBeWritten(call)) send(call) else pending = null
        }
    }

    private fun mayBeWritten(call: Pending) =
        clocks.isWithin(call.since, CONFIRMATION_VALID_MILLIS) && hold.holds(call.token)

    private fun send(call: Pending) {
        call.sent = true
        delayNext((MILLIS_PER_SECOND / settings.callsPerSecond).toLong() + 1)
        // Ends before a successor acts: an unanswered request may still be on its way through a broken network.
        val ageMillis = clocks.nowMillis() - call.since.steadyMillis
        val timeoutMillis = settings.leaseMillis + CONFIRMATION_VALID_MILLIS - ageMillis
        ports.send(
            DutyCall(settings.holder, call.token, call.message, timeoutMillis) { mayBeWritten(call) },
        ) { outcome -> ended(call, outcome) }
    }

    private fun ended(
        call: Pending,
        outcome: CallOutcome,
    ) {
        pending = null
        when (outcome) {
            CallOutcome.Delivered -> failures = 0
            CallOutcome.Expired -> Unit
            is CallOutcome.Failed -> backOff()
        }
        call.done(outcome)
    }

    private fun backOff() {
        failedCalls++
        val backoffMillis = minOf(FIRST_RETRY_MILLIS shl minOf(failures, MAX_DOUBLINGS), MAX_RETRY_MILLIS)
        failures++
        delayNext((backoffMillis * (MIN_JITTER + (1 - MIN_JITTER) * ports.random())).toLong())
    }

    private fun delayNext(millis: Long) {
        notBeforeMillis = maxOf(notBeforeMillis, clocks.nowMillis() + millis)
    }
}
