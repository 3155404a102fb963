/*
 * The log events of a test's gateway, as lines of a process would tell them.
 */
package io.carawaytrack.gateway

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import org.slf4j.LoggerFactory
import java.util.concurrent.CopyOnWriteArrayList

/** Records what is logged from now on until it is closed. */
internal class RecordedLog : AutoCloseable {
    private val recorded = CopyOnWriteArrayList<ILoggingEvent>()
    private val logger = LoggerFactory.getLogger("io.carawaytrack.gateway") as Logger
    private val appender =
        object : AppenderBase<ILoggingEvent>() {
            override fun append(event: ILoggingEvent) {
                recorded += event
            }
        }

    init {
        appender.start()
        logger.addAppender(appender)
    }

    /** Returns the fields of the events with [name]. */
    fun events(name: String): List<Map<String, Any?>> = recorded
        .filter { it.message == name }
        .map { event -> event.keyValuePairs.associate { it.key to it.value } }

    override fun close() {
        logger.detachAppender(appender)
    }
}
