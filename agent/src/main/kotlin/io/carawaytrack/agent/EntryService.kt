/*
 * Serves the links of entries: admits or refuses their attempts and runs the admitted ones.
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

private const val LONGEST_WAIT_MILLIS = 2_000L
private const val NANOS_PER_MILLI = 1_000_000L

/** What an [EntryService] needs from the agent around it. */
internal class EntryServicePorts(
    val gate: Gate,
    val condition: UpstreamCondition,
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
        permits = ports.condition.permits,
        running = admission.running + admission.waiting,
        queuedTokens = queuedTokens.get(),
    )

    /** Refuses what comes from now on and waits until no attempt runs. */
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
                else -> logger.warn { "ignored a ${message::class.simpleName} from ${link.peer.node}" }
            }
        }
        attempts.values.forEach(RunningAttempt::entryGone)
    }

    private suspend fun open(
        link: Link,
        attempt: OpenAttempt,
        attempts: ConcurrentHashMap<Long, RunningAttempt>,
    ) {
        val runner = AttemptRunner(attempt, link::send, ::load, ports.nowMillis)
        refusal(attempt)?.let { return refuse(runner, it) }
        // Begun here and now, up to its first wait: cancelled before that, an attempt would never give its answer.
        val job = scope.launch(start = CoroutineStart.UNDISPATCHED) { admitAndRun(attempt, runner) }
        attempts[attempt.attempt] = RunningAttempt(attempt, runner, job)
        runner.settled.invokeOnCompletion { attempts.remove(attempt.attempt) }
    }

    private fun refusal(attempt: OpenAttempt): Failure? =
        ports.gate.refusal(attempt) ?: ports.condition.refusal(attempt.fingerprint)

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
            withContext(NonCancellable) { endCancelled(attempt, runner) }
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
            deadlineMillis = ports.nowMillis() + minOf(attempt.timeoutMillis, LONGEST_WAIT_MILLIS),
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
        // What was allowed when the attempt joined the queue may be forbidden now.
        refusal(attempt)?.let { return refuse(runner, it) }
        ports.condition.started(attempt.fingerprint)
        val outcome = runner.run(ports.runUpstream)
        if (outcome.failure != null) runner.settled.complete(false)
        ports.onOutcome(outcome, runner)
        ports.metrics.attemptEnded(outcome.toMetric())
        ports.condition.ended(attempt.fingerprint, outcome)
    }

    private suspend fun endCancelled(
        attempt: OpenAttempt,
        runner: AttemptRunner,
    ) {
        runner.settled.complete(false)
        runner.cancelled()
        ports.condition.ended(attempt.fingerprint, outcome = null)
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

    /** Ends what nobody waits for; a request that may not be repeated runs on, so that its outcome becomes known. */
    fun entryGone() {
        runner.settled.complete(false)
        runner.addCredit(Long.MAX_VALUE / 2)
        if (attempt.repeatable) cancel()
    }
}
