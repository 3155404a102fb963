/*
 * Settings common to all processes: identity, availability zone, secret file, logging, tracing and the address of the
 * observability endpoints. A process with invalid settings exits before it opens a port.
 */
package io.carawaytrack.process

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.ZoneName
import io.carawaytrack.tables.Fault
import io.carawaytrack.tables.SettingsReader
import io.carawaytrack.wire.PeerIdentity
import io.carawaytrack.wire.SharedSecret
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

/** Exit code of a process with invalid settings. */
public const val SETTINGS_EXIT_CODE: Int = 2

private const val MIN_SECRET_BYTES = 16
private const val MAX_PERCENT = 100
private const val DEFAULT_DRAIN_MILLIS = 30_000L
private const val MAX_DRAIN_MILLIS = 3_600_000L

/**
 * Holds the settings common to all processes.
 *
 * @property secretFile file with the secret shared by all processes of the deployment
 * @property observability address of the health check and metrics endpoints
 * @property spansFile file to which spans are written as JSON lines, null to write none
 * @property traceSampleRatio ratio of new traces that are recorded, from 0 to 1
 * @property drainMillis timeout of a graceful shutdown
 */
public data class ProcessSettings(
    val node: NodeId,
    val zone: ZoneName,
    val secretFile: Path,
    val observability: HostPort,
    val logLevel: String,
    val spansFile: Path?,
    val traceSampleRatio: Double,
    val drainMillis: Long,
) {
    /** Returns the identity of this process in [role], as sent to its peers. */
    public fun identity(role: NodeRole): PeerIdentity = PeerIdentity(node, role, zone)

    /** Reads the shared secret; exits with [SETTINGS_EXIT_CODE] if the file is unreadable or the secret too short. */
    public fun sharedSecret(): SharedSecret {
        val text = runCatching { Files.readString(secretFile).trim() }.getOrNull()
        if (text == null || text.length < MIN_SECRET_BYTES) {
            exitWithFaults(listOf("$secretFile: expected a readable secret of at least $MIN_SECRET_BYTES bytes"))
        }
        return SharedSecret(text.encodeToByteArray())
    }
}

/** Reads the settings common to all processes. */
public fun SettingsReader.processSettings(): ProcessSettings = ProcessSettings(
    node = NodeId(text("node")),
    zone = ZoneName(text("availability_zone")),
    secretFile = Path.of(text("secret_file")),
    observability = address("observability_address"),
    logLevel = choice("log_level", setOf("debug", "info", "warn", "error"), "info"),
    spansFile = optionalText("spans_file")?.let(Path::of),
    traceSampleRatio = int("trace_sample_percent", 0..MAX_PERCENT, MAX_PERCENT) / MAX_PERCENT.toDouble(),
    drainMillis = long("drain_millis", 0..MAX_DRAIN_MILLIS, DEFAULT_DRAIN_MILLIS),
)

/** Returns the settings, or prints all faults and exits with [SETTINGS_EXIT_CODE]. */
public fun <T : Any> Result<T, List<Fault>>.orExit(): T = getOrElse { faults -> exitWithFaults(faults) }

private fun exitWithFaults(faults: List<Any>): Nothing {
    faults.forEach { System.err.println(it) }
    exitProcess(SETTINGS_EXIT_CODE)
}
