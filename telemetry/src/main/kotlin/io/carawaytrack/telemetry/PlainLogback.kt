/*
 * Logback without its search for a configuration: installJsonLogs sets it up in any case, and looking into every jar of
 * the class path for another one takes a good part of a short start. A program uses it by the system property
 * `slf4j.provider` with the name of this class.
 */
package io.carawaytrack.telemetry

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.util.LogbackMDCAdapter
import org.slf4j.helpers.BasicMarkerFactory
import org.slf4j.spi.SLF4JServiceProvider

/** Provides Logback to SLF4J as it is before any configuration. */
public class PlainLogback : SLF4JServiceProvider {
    private val context = LoggerContext()
    private val markers = BasicMarkerFactory()
    private val diagnostics = LogbackMDCAdapter()

    override fun getLoggerFactory(): LoggerContext = context

    override fun getMarkerFactory(): BasicMarkerFactory = markers

    override fun getMDCAdapter(): LogbackMDCAdapter = diagnostics

    override fun getRequestedApiVersion(): String = API_VERSION

    override fun initialize() {
        context.name = "default"
        context.mdcAdapter = diagnostics
        context.start()
    }

    private companion object {
        /** Version of SLF4J's interface that Logback 1.5 is made for. */
        const val API_VERSION = "2.0.99"
    }
}
