/*
 * Keeps the outcome of every completed attempt until its entry reports that it has been committed. When the entry is
 * gone or silent, the agent commits the outcome itself; the ledger takes whichever record comes first.
 */
package io.carawaytrack.agent

import com.github.michaelbull.result.onFailure
import io.carawaytrack.ledger.LedgerCommand
import io.carawaytrack.ledger.encode
import io.carawaytrack.membership.ControlClient
import io.carawaytrack.model.Bill
import io.carawaytrack.wire.OpenAttempt
import io.carawaytrack.wire.Usage
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

private val logger = KotlinLogging.logger {}

private const val TOKENS_PER_KILO_TOKEN = 1_000.0
private const val LOWEST_ERROR_STATUS = 400
private const val COMMIT_TIMEOUT_MILLIS = 60_000L

internal class Settlement(
    private val scope: CoroutineScope,
    private val control: ControlClient,
    private val settleMillis: Long,
    private val wallClockMillis: () -> Long,
) {
    private val waiting = ConcurrentHashMap.newKeySet<CompletableDeferred<Boolean>>()
    private val open = MutableStateFlow(0)

    /** Waits for [settled] and commits the outcome itself when it does not come. */
    fun expect(
        outcome: AttemptOutcome,
        settled: CompletableDeferred<Boolean>,
    ) {
        waiting += settled
        open.update { it + 1 }
        scope.launch {
            val byEntry = withTimeoutOrNull(settleMillis) { settled.await() } ?: false
            waiting -= settled
            settled.complete(false)
            if (!byEntry) commit(outcome)
            open.update { it - 1 }
        }
    }

    /** Commits at once what no entry has settled, and waits for it. */
    suspend fun flush() {
        waiting.forEach { it.complete(false) }
        open.first { it == 0 }
    }

    private suspend fun commit(outcome: AttemptOutcome) {
        val (attempt, usage, answer) = outcome
        val command =
            LedgerCommand.Finish(
                organisation = attempt.organisation,
                request = attempt.request,
                answer = answer,
                bill = if (answer == null || answer.status >= LOWEST_ERROR_STATUS) null else bill(attempt, usage),
                atMillis = wallClockMillis(),
            )
        control
            .commit(command.encode(), COMMIT_TIMEOUT_MILLIS)
            .onFailure { logger.error { "outcome of ${attempt.request} not committed: ${it.detail}" } }
    }

    private fun bill(
        attempt: OpenAttempt,
        usage: Usage,
    ): Bill {
        val tokens = usage.promptTokens + usage.answerTokens
        return Bill(
            request = attempt.request,
            organisation = attempt.organisation,
            attempts = listOf(attempt.version),
            promptTokens = usage.promptTokens,
            answerTokens = usage.answerTokens,
            cost = tokens / TOKENS_PER_KILO_TOKEN * attempt.costPerKiloToken,
        )
    }
}
