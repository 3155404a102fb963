/*
 * The entry's side of the request ledger.
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

private const val BEGIN_TIMEOUT_MILLIS = 5_000L
private const val FINISH_TIMEOUT_MILLIS = 60_000L

internal class LedgerClient(
    private val scope: CoroutineScope,
    private val control: ControlClient,
) {
    private val unsettled = MutableStateFlow(0)

    /** Records an intent; nothing has been sent to an upstream yet, so every failure says `NotRun`. */
    suspend fun begin(command: LedgerCommand.Begin): Result<LedgerReply, Failure> {
        val reply =
            control.commit(command.encode(), BEGIN_TIMEOUT_MILLIS).getOrElse { failure ->
                return Err(ErrorKind.ControlUnavailable.notRun(failure.detail))
            }
        return Ok(decodeLedgerReply(reply))
    }

    /** Records an outcome and waits for it; returns whether it is committed. */
    suspend fun finish(
        command: LedgerCommand,
        timeoutMillis: Long = BEGIN_TIMEOUT_MILLIS,
    ): Boolean {
        val committed = control.commit(command.encode(), timeoutMillis)
        return committed.map { true }.getOrElse { false }
    }

    /** Records an outcome in the background and then calls [onCommitted]. */
    fun finishLater(
        command: LedgerCommand.Finish,
        onCommitted: suspend () -> Unit,
    ) {
        unsettled.update { it + 1 }
        scope.launch {
            if (finish(command, FINISH_TIMEOUT_MILLIS)) {
                onCommitted()
            } else {
                logger.error(command.request) { "outcome not committed within $FINISH_TIMEOUT_MILLIS ms" }
            }
            unsettled.update { it - 1 }
        }
    }

    /** Waits until every outcome has been committed or given up. */
    suspend fun awaitSettled() {
        unsettled.first { it == 0 }
    }
}
