/*
 * Reads the settings file of a control host.
 */
package io.carawaytrack.control

import io.carawaytrack.model.HostPort
import io.carawaytrack.model.NodeId
import io.carawaytrack.process.ProcessSettings
import io.carawaytrack.process.processSettings
import io.carawaytrack.tables.SettingsReader
import java.nio.file.Path

/**
 * Settings of a control host.
 *
 * @property dataFolder folder of the persistent state
 * @property linkAddress address on which this host accepts links from entries, agents and other control hosts
 * @property members link addresses of all control hosts, this one included
 * @property joining whether this host joins a running group as a learner
 * @property operators hex SHA-256 digest of each operator's token, by operator name
 * @property retentionMillis age at which request records, session pins and bills are deleted
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
private const val MAX_RETENTION_HOURS = 8_760L

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
            1..MAX_RETENTION_HOURS,
            DEFAULT_RETENTION_HOURS,
        ) * MILLIS_PER_HOUR,
)
