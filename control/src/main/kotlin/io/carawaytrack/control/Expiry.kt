/*
 * Expires old request records, session pins and bills. The leader proposes the expiry through the log, so that every
 * host deletes the same records.
 */
package io.carawaytrack.control

import com.github.michaelbull.result.onFailure
import io.carawaytrack.consensus.Replica
import io.carawaytrack.ledger.LedgerCommand
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay

private val logger = KotlinLogging.logger {}

private const val EXPIRY_INTERVAL_MILLIS = 600_000L

internal class Expiry(
    private val replica: Replica,
    private val state: ControlState,
    private val retentionMillis: Long,
    private val wallClockMillis: () -> Long,
) {
    suspend fun run() {
        while (true) {
            delay(EXPIRY_INTERVAL_MILLIS)
            if (replica.status().leading) expire()
        }
    }

    private suspend fun expire() {
        val beforeMillis = wallClockMillis() - retentionMillis
        state.configuration.tables.organisations.forEach { organisation ->
            val command = ControlCommand.LedgerUpdate(LedgerCommand.Expire(organisation.name, beforeMillis))
            replica
                .propose(command.encode())
                .onFailure { logger.warn { "failed to expire records of ${organisation.name}: ${it.detail}" } }
        }
    }
}
