/*
 * Logs as one object of JSON a line. Lines pass through a bounded queue, so that a full pipe behind stderr costs lines
 * and never delays a request. The request id is given with each call, because a coroutine moves between threads.
 */
package io.carawaytrack.telemetry

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.RequestId
import io.carawaytrack.model.ZoneName
import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.Level
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import ch.qos.logback.classic.Level as LogbackLevel

/**
 * Sends all logs of the process from [level] on to [sink] as lines of JSON, in place of what was installed before.
 * Closing the returned handle writes what is still queued.
 */
public fun installJsonLogs(
    node: NodeId,
    role: NodeRole,
    zone: ZoneName,
    level: Level = Level.INFO,
    sink: (String) -> Unit = System.err::println,
): AutoCloseable {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    val lines = LineAppender(Origin(node, role, zone), sink)
    val queue = queue(context, lines)
    val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
    root.detachAndStopAllAppenders()
    root.level = LogbackLevel.toLevel(level.name)
    root.addAppender(queue)
    return AutoCloseable { root.detachAndStopAllAppenders() }
}

/** Logs at level info with the field `requestId`. */
public fun KLogger.info(
    request: RequestId,
    cause: Throwable? = null,
    message: () -> String,
): Unit = log(Level.INFO, request, cause, message)

/** Logs at level warn with the field `requestId`. */
public fun KLogger.warn(
    request: RequestId,
    cause: Throwable? = null,
    message: () -> String,
): Unit = log(Level.WARN, request, cause, message)

/** Logs at level error with the field `requestId`. */
public fun KLogger.error(
    request: RequestId,
    cause: Throwable? = null,
    message: () -> String,
): Unit = log(Level.ERROR, request, cause, message)

/**
 * Logs that [event] happened, with [fields] as fields of the line; those without a value are left out. The names of
 * events are stable: docs/OPERATIONS.md lists them.
 */
public fun KLogger.event(
    event: String,
    fields: Map<String, Any?> = emptyMap(),
    level: Level = Level.INFO,
): Unit = at(level) {
    message = event
    payload = fields.filterValues { it != null }
}

private fun KLogger.log(
    level: Level,
    request: RequestId,
    cause: Throwable?,
    text: () -> String,
) = at(level) {
    this.cause = cause
    message = text()
    payload = mapOf(REQUEST_ID to request.value)
}

private const val REQUEST_ID = "requestId"
private const val QUEUED_LINES = 4_096
private const val CLOSE_TIMEOUT_MILLIS = 5_000

private fun queue(
    context: LoggerContext,
    lines: LineAppender,
): AsyncAppender {
    lines.context = context
    lines.start()
    val queue = AsyncAppender()
    queue.context = context
    queue.queueSize = QUEUED_LINES
    queue.maxFlushTime = CLOSE_TIMEOUT_MILLIS
    queue.isNeverBlock = true
    queue.addAppender(lines)
    queue.start()
    return queue
}

private class LineAppender(
    private val origin: Origin,
    private val sink: (String) -> Unit,
) : AppenderBase<ILoggingEvent>() {
    override fun append(event: ILoggingEvent) = sink(jsonLine(event, origin))
}
