/*
 * Logback without its search for a configuration. `installJsonLogs` configures Logback in any case, and searching every
 * jar on the class path for a configuration takes a considerable part of a short start-up. A program selects this
 * provider by setting the system property `slf4j.provider` to the name of the class.
 */
package io.carawaytrack.telemetry

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.util.LogbackMDCAdapter
import org.slf4j.helpers.BasicMarkerFactory
import org.slf4j.spi.SLF4JServiceProvider

/** Provides an unconfigured Logback context to SLF4J. */
public class PlainLogback : SLF4JServiceProvider {
    private val context = LoggerContext()
    private val markers = BasicMarkerFactory()
    private val mdcAdapter = LogbackMDCAdapter()

    override fun getLoggerFactory(): LoggerContext = context

    override fun getMarkerFactory(): BasicMarkerFactory = markers

    override fun getMDCAdapter(): LogbackMDCAdapter = mdcAdapter

    override fun getRequestedApiVersion(): String = SLF4J_API_VERSION

    override fun initialize() {
        context.name = "default"
        context.mdcAdapter = mdcAdapter
        context.start()
    }

    private companion object {
        /** SLF4J API version that Logback 1.5 supports. */
        const val SLF4J_API_VERSION = "2.0.99"
    }
}
