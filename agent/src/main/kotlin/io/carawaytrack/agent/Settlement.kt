/*
 * Keeps the outcome of every completed attempt until its entry settles it. If the entry disconnects or does not settle
 * in time, the agent commits the outcome itself; the ledger accepts whichever record arrives first.
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
private const val MIN_ERROR_STATUS = 400
private const val COMMIT_TIMEOUT_MILLIS = 60_000L

internal class Settlement(
    private val scope: CoroutineScope,
    private val control: ControlClient,
    private val settleMillis: Long,
    private val wallClockMillis: () -> Long,
) {
    private val unsettled = ConcurrentHashMap.newKeySet<CompletableDeferred<Boolean>>()
    private val openCount = MutableStateFlow(0)

    /** Commits [outcome] unless the entry completes [settled] within the settlement time. */
    fun track(
        outcome: AttemptOutcome,
        settled: CompletableDeferred<Boolean>,
    ) {
        unsettled += settled
        openCount.update { it + 1 }
        scope.launch {
            val settledByEntry = withTimeoutOrNull(settleMillis) { settled.await() } ?: false
            unsettled -= settled
            settled.complete(false)
            if (!settledByEntry) commit(outcome)
            openCount.update { it - 1 }
        }
    }

    /** Commits all unsettled outcomes immediately and waits until the commits have ended. */
    suspend fun flush() {
        unsettled.forEach { it.complete(false) }
        openCount.first { it == 0 }
    }

    private suspend fun commit(outcome: AttemptOutcome) {
        val (attempt, usage, answer) = outcome
        val command =
            LedgerCommand.Finish(
                organisation = attempt.organisation,
                request = attempt.request,
                answer = answer,
                bill = if (answer == null || answer.status >= MIN_ERROR_STATUS) null else bill(attempt, usage),
                atMillis = wallClockMillis(),
            )
        control
            .commit(command.encode(), COMMIT_TIMEOUT_MILLIS)
            .onFailure { logger.error { "could not commit the outcome of ${attempt.request}: ${it.detail}" } }
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
