/*
 * Settings of an entry, read from its TOML file.
 */
package io.carawaytrack.entry

import io.carawaytrack.model.HostPort
import io.carawaytrack.process.ProcessSettings
import io.carawaytrack.process.processSettings
import io.carawaytrack.tables.SettingsReader

/**
 * Settings of an entry.
 *
 * @property callerAddress address on which callers connect
 * @property ratingAddress address of the service that rates answers; null disables rating
 * @property maxBodyBytes maximum size of a request body
 * @property receiveTimeoutMillis time limit for receiving the request headers, and separately for the body
 * @property windowBytes maximum bytes of one answer buffered for a slow caller
 * @property memoryBudgetBytes maximum bytes of all answers together buffered for slow callers
 * @property drainNoticeMillis delay between reporting unready and refusing requests, so that the
 *   platform's load balancer can react first
 */
internal data class EntrySettings(
    val process: ProcessSettings,
    val callerAddress: HostPort,
    val control: List<HostPort>,
    val ratingAddress: HostPort?,
    val maxBodyBytes: Int,
    val receiveTimeoutMillis: Long,
    val windowBytes: Long,
    val memoryBudgetBytes: Long,
    val drainNoticeMillis: Long,
)

private const val DEFAULT_MAX_BODY_BYTES = 2 * 1024 * 1024
private const val MAX_BODY_BYTES = 8 * 1024 * 1024
private const val DEFAULT_RECEIVE_TIMEOUT_MILLIS = 10_000L
private const val MAX_RECEIVE_TIMEOUT_MILLIS = 600_000L
private const val DEFAULT_WINDOW_BYTES = 256 * 1024L
private const val MIN_WINDOW_BYTES = 16 * 1024L
private const val MAX_WINDOW_BYTES = 8 * 1024 * 1024L
private const val DEFAULT_BUDGET_BYTES = 64 * 1024 * 1024L
private const val MIN_BUDGET_BYTES = 1024 * 1024L
private const val DEFAULT_DRAIN_NOTICE_MILLIS = 1_000L
private const val MAX_DRAIN_NOTICE_MILLIS = 600_000L

internal fun SettingsReader.entrySettings(): EntrySettings = EntrySettings(
    process = processSettings(),
    callerAddress = address("caller_address"),
    control = addressList("control_addresses"),
    ratingAddress = optionalAddress("rating_address"),
    maxBodyBytes = int("max_body_bytes", 1..MAX_BODY_BYTES, DEFAULT_MAX_BODY_BYTES),
    receiveTimeoutMillis = long("receive_millis", 1..MAX_RECEIVE_TIMEOUT_MILLIS, DEFAULT_RECEIVE_TIMEOUT_MILLIS),
    windowBytes = long("window_bytes", MIN_WINDOW_BYTES..MAX_WINDOW_BYTES, DEFAULT_WINDOW_BYTES),
    memoryBudgetBytes = long("memory_budget_bytes", MIN_BUDGET_BYTES..Long.MAX_VALUE, DEFAULT_BUDGET_BYTES),
    drainNoticeMillis = long("drain_notice_millis", 0..MAX_DRAIN_NOTICE_MILLIS, DEFAULT_DRAIN_NOTICE_MILLIS),
)
