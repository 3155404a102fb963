/*
 * Sets up logs, metrics and spans of a process according to its settings.
 */
package io.carawaytrack.process

import io.carawaytrack.model.NodeRole
import io.carawaytrack.telemetry.SpanOutput
import io.carawaytrack.telemetry.Telemetry
import io.carawaytrack.telemetry.TelemetrySettings
import io.carawaytrack.telemetry.installJsonLogs
import io.github.oshai.kotlinlogging.Level

/** Installs logs as JSON lines and returns the metrics and spans; closing them also flushes the logs. */
public fun ProcessSettings.openTelemetry(role: NodeRole): Telemetry {
    val logs = installJsonLogs(node, role, zone, Level.valueOf(logLevel.uppercase()))
    val spans = spansFile?.let(SpanOutput::JsonLines) ?: SpanOutput.None
    val telemetry = Telemetry(node, role, zone, TelemetrySettings(spans, traceSampleRatio))
    return TelemetryWithLogs(telemetry, logs)
}

private class TelemetryWithLogs(
    private val telemetry: Telemetry,
    private val logs: AutoCloseable,
) : Telemetry by telemetry {
    override fun close() {
        telemetry.close()
        logs.close()
    }
}
