/*
 * Prevents Logback from installing its default configuration, which `installJsonLogs` would remove again and which
 * would slow down every process start. Logs written before that call are dropped.
 */
package io.carawaytrack.telemetry

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.core.spi.ContextAwareBase

/** Leaves the context unconfigured; Logback loads this class as a service. */
public class NoDefaultConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus =
        Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
}
