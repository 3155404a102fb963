/*
 * The settings file of an entry.
 */
package io.carawaytrack.entry

import io.carawaytrack.model.HostPort
import io.carawaytrack.process.ProcessSettings
import io.carawaytrack.process.processSettings
import io.carawaytrack.tables.SettingsReader

/**
 * Holds the settings of an entry.
 *
 * @property callerAddress address on which callers connect
 * @property ratingAddress address of the service that rates answers, null when there is none
 * @property maxBodyBytes largest request body
 * @property receiveMillis bound on receiving the headers, and again on the body
 * @property windowBytes bytes of one answer that may be held for a slow caller
 * @property memoryBudgetBytes bytes of all answers together that may be held for slow callers
 * @property drainNoticeMillis time between turning unready and refusing connections, for the platform's balancer
 */
internal data class EntrySettings(
    val process: ProcessSettings,
    val callerAddress: HostPort,
    val control: List<HostPort>,
    val ratingAddress: HostPort?,
    val maxBodyBytes: Int,
    val receiveMillis: Long,
    val windowBytes: Long,
    val memoryBudgetBytes: Long,
    val drainNoticeMillis: Long,
)

private const val DEFAULT_BODY_BYTES = 2 * 1024 * 1024
private const val LARGEST_BODY_BYTES = 8 * 1024 * 1024
private const val DEFAULT_RECEIVE_MILLIS = 10_000L
private const val LONGEST_RECEIVE_MILLIS = 600_000L
private const val DEFAULT_WINDOW_BYTES = 256 * 1024L
private const val SMALLEST_WINDOW_BYTES = 16 * 1024L
private const val LARGEST_WINDOW_BYTES = 8 * 1024 * 1024L
private const val DEFAULT_BUDGET_BYTES = 64 * 1024 * 1024L
private const val SMALLEST_BUDGET_BYTES = 1024 * 1024L
private const val DEFAULT_DRAIN_NOTICE_MILLIS = 1_000L
private const val LONGEST_DRAIN_NOTICE_MILLIS = 600_000L

internal fun SettingsReader.entrySettings(): EntrySettings = EntrySettings(
    process = processSettings(),
    callerAddress = address("caller_address"),
    control = addressList("control_addresses"),
    ratingAddress = optionalAddress("rating_address"),
    maxBodyBytes = int("max_body_bytes", 1..LARGEST_BODY_BYTES, DEFAULT_BODY_BYTES),
    receiveMillis = long("receive_millis", 1..LONGEST_RECEIVE_MILLIS, DEFAULT_RECEIVE_MILLIS),
    windowBytes = long("window_bytes", SMALLEST_WINDOW_BYTES..LARGEST_WINDOW_BYTES, DEFAULT_WINDOW_BYTES),
    memoryBudgetBytes = long("memory_budget_bytes", SMALLEST_BUDGET_BYTES..Long.MAX_VALUE, DEFAULT_BUDGET_BYTES),
    drainNoticeMillis = long("drain_notice_millis", 0..LONGEST_DRAIN_NOTICE_MILLIS, DEFAULT_DRAIN_NOTICE_MILLIS),
)
