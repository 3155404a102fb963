/*
 * Serves the links of entries: admits or refuses their attempts and runs the admitted ones.
 */
package io.carawaytrack.agent

import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.model.notRun
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
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

private val logger = KotlinLogging.logger {}

private const val FULL_RETRY_AFTER_MILLIS = 100L

internal class EntryService(
    private val scope: CoroutineScope,
    private val gate: Gate,
    private val permits: () -> Int,
    private val runUpstream: RunUpstream,
    private val onOutcome: (AttemptOutcome, AttemptRunner) -> Unit,
) {
    private val running = MutableStateFlow(0)

    fun load(): UpstreamLoad = UpstreamLoad(permits = permits(), running = running.value)

    /** Waits until no attempt runs. */
    suspend fun awaitIdle() {
        running.first { it == 0 }
    }

    suspend fun serve(link: Link) {
        val attempts = ConcurrentHashMap<Long, RunningAttempt>()
        while (true) {
            when (val message = link.receive() ?: break) {
                is OpenAttempt -> open(link, message, attempts)
                is Credit -> attempts[message.attempt]?.runner?.addCredit(message.bytes)
                is CancelAttempt -> attempts[message.attempt]?.cancel()
                is AttemptSettled ->
                    attempts
                        .remove(message.attempt)
                        ?.runner
                        ?.settled
                        ?.complete(true)
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
        val runner = AttemptRunner(attempt, link::send, ::load)
        val refusal = gate.refusal(attempt) ?: if (acquire()) null else full()
        if (refusal != null) return runner.refuse(refusal)
        runner.settled.invokeOnCompletion { attempts.remove(attempt.attempt) }
        val job = scope.launch(start = CoroutineStart.LAZY) { run(runner) }
        attempts[attempt.attempt] = RunningAttempt(attempt, runner, job)
        job.start()
    }

    private fun full() = ErrorKind.PoolExhausted.notRun("all ${permits()} permits are taken", FULL_RETRY_AFTER_MILLIS)

    private fun acquire(): Boolean {
        while (true) {
            val now = running.value
            if (now >= permits()) return false
            if (running.compareAndSet(now, now + 1)) return true
        }
    }

    private suspend fun run(runner: AttemptRunner) {
        try {
            val outcome = runner.run(runUpstream)
            if (outcome == null || outcome.failure != null) runner.settled.complete(false)
            if (outcome != null) onOutcome(outcome, runner)
        } catch (cancelled: CancellationException) {
            runner.settled.complete(false)
            throw cancelled
        } finally {
            running.update { it - 1 }
        }
    }
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
