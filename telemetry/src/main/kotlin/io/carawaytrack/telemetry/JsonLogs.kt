/*
 * Logs with one JSON object per line. Lines pass through a bounded queue: when the pipe behind stderr is full, lines
 * are dropped and no request is delayed. Each call passes the request id explicitly, because a coroutine moves between
 * threads and a thread-bound diagnostic context would not follow it.
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
 * Writes all logs of the process at [level] or above to [sink] as lines of JSON, replacing any installed appenders.
 * Closing the returned handle writes the lines that are still queued.
 */
public fun installJsonLogs(
    node: NodeId,
    role: NodeRole,
    zone: ZoneName,
    level: Level = Level.INFO,
    sink: (String) -> Unit = System.err::println,
): AutoCloseable {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    val lineAppender = LineAppender(Origin(node, role, zone), sink)
    val asyncAppender = startAsyncAppender(context, lineAppender)
    val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
    root.detachAndStopAllAppenders()
    root.level = LogbackLevel.toLevel(level.name)
    root.addAppender(asyncAppender)
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
 * Logs [event] with [fields] as fields of the line; fields with a null value are omitted. Event names are stable and
 * listed in docs/OPERATIONS.md.
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
    payload = mapOf(REQUEST_ID_FIELD to request.value)
}

private const val REQUEST_ID_FIELD = "requestId"
private const val MAX_QUEUED_LINES = 4_096
private const val CLOSE_TIMEOUT_MILLIS = 5_000

private fun startAsyncAppender(
    context: LoggerContext,
    lineAppender: LineAppender,
): AsyncAppender {
    lineAppender.context = context
    lineAppender.start()
    val asyncAppender = AsyncAppender()
    asyncAppender.context = context
    asyncAppender.queueSize = MAX_QUEUED_LINES
    asyncAppender.maxFlushTime = CLOSE_TIMEOUT_MILLIS
    asyncAppender.isNeverBlock = true
    asyncAppender.addAppender(lineAppender)
    asyncAppender.start()
    return asyncAppender
}

private class LineAppender(
    private val origin: Origin,
    private val sink: (String) -> Unit,
) : AppenderBase<ILoggingEvent>() {
    override fun append(event: ILoggingEvent) = sink(jsonLine(event, origin))
}
