/*
 * Keeps logback from setting up its own default output, which `installJsonLogs` would only take down again: every start
 * of a process would pay for it. Logs written before that call are dropped.
 */
package io.carawaytrack.telemetry

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.core.spi.ContextAwareBase

/** Leaves the context as it is; found by logback as a service. */
public class NoDefaultConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus =
        Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
}
