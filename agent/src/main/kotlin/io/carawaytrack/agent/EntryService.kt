/*
 * Serves the links from entries: admits or refuses their attempts and runs the admitted ones.
 */
package io.carawaytrack.agent

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.carawaytrack.limits.AdmissionQueue
import io.carawaytrack.limits.AdmissionRequest
import io.carawaytrack.limits.Ticket
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.telemetry.AgentMetrics
import io.carawaytrack.telemetry.UpstreamAttemptEnd
import io.carawaytrack.wire.AttemptSettled
import io.carawaytrack.wire.CancelAttempt
import io.carawaytrack.wire.Credit
import io.carawaytrack.wire.Link
import io.carawaytrack.wire.OpenAttempt
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.yield
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

private val logger = KotlinLogging.logger {}

private const val MAX_QUEUE_WAIT_MILLIS = 2_000L
private const val NANOS_PER_MILLI = 1_000_000L

/** Dependencies of an [EntryService]. */
internal class EntryServicePorts(
    val admissionCheck: AdmissionCheck,
    val health: UpstreamHealth,
    val admission: AdmissionQueue,
    val configuration: () -> Configuration,
    val runUpstream: RunUpstream,
    val metrics: AgentMetrics,
    val nowMillis: () -> Long,
    val onOutcome: (AttemptOutcome, AttemptRunner) -> Unit,
)

internal class EntryService(
    private val scope: CoroutineScope,
    private val ports: EntryServicePorts,
) {
    private val admission = ports.admission
    private val queuedTokens = AtomicLong()

    fun load(): UpstreamLoad = UpstreamLoad(
        permits = ports.health.permits,
        running = admission.running + admission.waiting,
        queuedTokens = queuedTokens.get(),
    )

    /** Refuses new attempts and waits until no attempt is running. */
    suspend fun awaitIdle() {
        admission.stopAccepting()
        admission.awaitIdle()
    }

    suspend fun serve(link: Link) {
        val attempts = ConcurrentHashMap<Long, RunningAttempt>()
        while (true) {
            when (val message = link.receive() ?: break) {
                is OpenAttempt -> open(link, message, attempts)
                is Credit -> attempts[message.attempt]?.runner?.addCredit(message.bytes)
                is CancelAttempt -> attempts[message.attempt]?.cancel()
                is AttemptSettled -> attempts[message.attempt]?.runner?.settled?.complete(true)
                else -> logger.warn { "ignored unexpected ${message::class.simpleName} from ${link.peer.node}" }
            }
        }
        attempts.values.forEach(RunningAttempt::onEntryDisconnected)
    }

    private suspend fun open(
        link: Link,
        attempt: OpenAttempt,
        attempts: ConcurrentHashMap<Long, RunningAttempt>,
    ) {
        val runner = AttemptRunner(attempt, link::send, ::load, ports.nowMillis)
        refusal(attempt)?.let { return refuse(runner, it) }
        // Starts undispatched: an attempt cancelled before its coroutine has started would never send a reply.
        val job = scope.launch(start = CoroutineStart.UNDISPATCHED) { admitAndRun(attempt, runner) }
        attempts[attempt.attempt] = RunningAttempt(attempt, runner, job)
        runner.settled.invokeOnCompletion { attempts.remove(attempt.attempt) }
    }

    private fun refusal(attempt: OpenAttempt): Failure? =
        ports.admissionCheck.refusal(attempt) ?: ports.health.refusal(attempt.fingerprint)

    private suspend fun refuse(
        runner: AttemptRunner,
        failure: Failure,
    ) {
        ports.metrics.refused(failure.kind)
        if (failure.kind == ErrorKind.Quarantined) ports.metrics.quarantined()
        runner.settled.complete(false)
        runner.refuse(failure)
    }

    private suspend fun admitAndRun(
        attempt: OpenAttempt,
        runner: AttemptRunner,
    ) {
        val tokens = attempt.estimatedTokens
        queuedTokens.addAndGet(tokens)
        try {
            yield()
            val ticket = ticket(attempt).getOrElse { return refuse(runner, it) }
            ticket.use { run(attempt, runner) }
        } catch (cancelled: CancellationException) {
            withContext(NonCancellable) { finishCancelled(attempt, runner) }
            throw cancelled
        } finally {
            queuedTokens.addAndGet(-tokens)
        }
    }

    private suspend fun ticket(attempt: OpenAttempt): Result<Ticket, Failure> = admission.acquire(
        AdmissionRequest(
            organisation = attempt.organisation,
            share = shareOf(attempt),
            priority = attempt.priority,
            cost = attempt.estimatedTokens.coerceAtLeast(1),
            deadlineAtMillis = ports.nowMillis() + minOf(attempt.timeoutMillis, MAX_QUEUE_WAIT_MILLIS),
        ),
    )

    private fun shareOf(attempt: OpenAttempt): Int = ports
        .configuration()
        .tables.organisations
        .find { it.name == attempt.organisation }
        ?.share ?: 1

    private suspend fun run(
        attempt: OpenAttempt,
        runner: AttemptRunner,
    ) {
        // Checks again, because the configuration may have changed while the attempt was queued.
        refusal(attempt)?.let { return refuse(runner, it) }
        ports.health.recordStart(attempt.fingerprint)
        val outcome = runner.run(ports.runUpstream)
        if (outcome.failure != null) runner.settled.complete(false)
        ports.onOutcome(outcome, runner)
        ports.metrics.attemptEnded(outcome.toMetric())
        ports.health.recordOutcome(attempt.fingerprint, outcome)
    }

    private suspend fun finishCancelled(
        attempt: OpenAttempt,
        runner: AttemptRunner,
    ) {
        runner.settled.complete(false)
        runner.reportCancelled()
        ports.health.recordOutcome(attempt.fingerprint, outcome = null)
    }

    private fun AttemptOutcome.toMetric() = UpstreamAttemptEnd(
        version = attempt.version,
        failure = failure?.kind,
        execution = failure?.execution ?: Execution.Ran,
        elapsedNanos = elapsedMillis * NANOS_PER_MILLI,
    )
}

private class RunningAttempt(
    val attempt: OpenAttempt,
    val runner: AttemptRunner,
    val job: Job,
) {
    fun cancel(): Unit = job.cancel()

    /**
     * Cancels the attempt if it is repeatable. Otherwise lets it finish without flow control, so that its outcome is
     * recorded.
     */
    fun onEntryDisconnected() {
        runner.settled.complete(false)
        runner.addCredit(Long.MAX_VALUE / 2)
        if (attempt.repeatable) cancel()
    }
}
