/*
 * Client of the request ledger.
 */
package io.carawaytrack.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import io.carawaytrack.ledger.LedgerCommand
import io.carawaytrack.ledger.LedgerReply
import io.carawaytrack.ledger.decodeLedgerReply
import io.carawaytrack.ledger.encode
import io.carawaytrack.membership.ControlClient
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.notRun
import io.carawaytrack.telemetry.error
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch

private val logger = KotlinLogging.logger {}

private const val COMMIT_TIMEOUT_MILLIS = 5_000L
private const val BACKGROUND_COMMIT_TIMEOUT_MILLIS = 60_000L

internal class LedgerClient(
    private val scope: CoroutineScope,
    private val control: ControlClient,
) {
    private val pendingOutcomes = MutableStateFlow(0)

    /** Records an intent. Every failure is `NotRun`, since nothing has been sent to an upstream yet. */
    suspend fun begin(command: LedgerCommand.Begin): Result<LedgerReply, Failure> {
        val reply =
            control.commit(command.encode(), COMMIT_TIMEOUT_MILLIS).getOrElse { failure ->
                return Err(ErrorKind.ControlUnavailable.notRun(failure.detail))
            }
        return Ok(decodeLedgerReply(reply))
    }

    /** Records an outcome and returns whether it was committed within [timeoutMillis]. */
    suspend fun finish(
        command: LedgerCommand,
        timeoutMillis: Long = COMMIT_TIMEOUT_MILLIS,
    ): Boolean {
        val committed = control.commit(command.encode(), timeoutMillis)
        return committed.map { true }.getOrElse { false }
    }

    /** Records an outcome in the background and calls [onCommitted] once it is committed. */
    fun finishInBackground(
        command: LedgerCommand.Finish,
        onCommitted: suspend () -> Unit,
    ) {
        pendingOutcomes.update { it + 1 }
        scope.launch {
            if (finish(command, BACKGROUND_COMMIT_TIMEOUT_MILLIS)) {
                onCommitted()
            } else {
                logger.error(command.request) { "outcome not committed within $BACKGROUND_COMMIT_TIMEOUT_MILLIS ms" }
            }
            pendingOutcomes.update { it - 1 }
        }
    }

    /** Waits until every background outcome has been committed or has timed out. */
    suspend fun awaitPendingOutcomes() {
        pendingOutcomes.first { it == 0 }
    }
}
