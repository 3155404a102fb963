/*
 * The settings file of a control host.
 */
package io.carawaytrack.control

import io.carawaytrack.model.HostPort
import io.carawaytrack.model.NodeId
import io.carawaytrack.process.ProcessSettings
import io.carawaytrack.process.processSettings
import io.carawaytrack.tables.SettingsReader
import java.nio.file.Path

/**
 * Holds the settings of a control host.
 *
 * @property dataFolder folder that holds the state which must survive
 * @property linkAddress address on which entries, agents and other control hosts connect
 * @property members link addresses of all control hosts, this one included
 * @property joining true for a host that joins a running group as a learner
 * @property operators hex SHA-256 digest of each operator's token, by operator name
 * @property retentionMillis age at which request records, pins and bills are dropped
 */
internal data class ControlSettings(
    val process: ProcessSettings,
    val dataFolder: Path,
    val linkAddress: HostPort,
    val adminAddress: HostPort,
    val members: Map<NodeId, HostPort>,
    val clusterId: String,
    val joining: Boolean,
    val operators: Map<String, String>,
    val retentionMillis: Long,
)

private const val MILLIS_PER_HOUR = 3_600_000L
private const val DEFAULT_RETENTION_HOURS = 72L
private const val LONGEST_RETENTION_HOURS = 8_760L

internal fun SettingsReader.controlSettings(): ControlSettings = ControlSettings(
    process = processSettings(),
    dataFolder = Path.of(text("data_folder")),
    linkAddress = address("link_address"),
    adminAddress = address("admin_address"),
    members = addressTable("members").mapKeys { (node, _) -> NodeId(node) },
    clusterId = text("cluster"),
    joining = flag("joining", false),
    operators = textTable("operators"),
    retentionMillis =
        long(
            "retention_hours",
            1..LONGEST_RETENTION_HOURS,
            DEFAULT_RETENTION_HOURS,
        ) * MILLIS_PER_HOUR,
)
