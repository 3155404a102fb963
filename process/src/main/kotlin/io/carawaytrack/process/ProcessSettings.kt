/*
 * The settings that every process of the system has: who it is, where it stands, and the files and ports that the
 * operator's tools use. Wrong settings stop the process before it opens a port.
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

/** Exit code of a process whose settings contain faults. */
public const val SETTINGS_EXIT_CODE: Int = 2

private const val SHORTEST_SECRET_BYTES = 16
private const val WHOLE_PERCENT = 100
private const val DEFAULT_DRAIN_MILLIS = 30_000L
private const val LONGEST_DRAIN_MILLIS = 3_600_000L

/**
 * Holds the settings common to all processes.
 *
 * @property secretFile file with the secret that all processes of the deployment share
 * @property observability address of health checks and metrics
 * @property spansFile file for spans as JSON lines; null writes none
 * @property traceSampleRatio share of new traces that are recorded, 0 to 1
 * @property drainMillis bound on a graceful shutdown
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
    /** Returns how the process presents itself to its peers. */
    public fun identity(role: NodeRole): PeerIdentity = PeerIdentity(node, role, zone)

    /** Reads the shared secret; ends the process with [SETTINGS_EXIT_CODE] when the file is missing or too short. */
    public fun sharedSecret(): SharedSecret {
        val text = runCatching { Files.readString(secretFile).trim() }.getOrNull()
        if (text == null || text.length < SHORTEST_SECRET_BYTES) {
            exitWithFaults(listOf("$secretFile: expected a readable secret of at least $SHORTEST_SECRET_BYTES bytes"))
        }
        return SharedSecret(text.encodeToByteArray())
    }
}

/** Reads the keys common to all processes. */
public fun SettingsReader.processSettings(): ProcessSettings = ProcessSettings(
    node = NodeId(text("node")),
    zone = ZoneName(text("availability_zone")),
    secretFile = Path.of(text("secret_file")),
    observability = address("observability_address"),
    logLevel = choice("log_level", setOf("debug", "info", "warn", "error"), "info"),
    spansFile = optionalText("spans_file")?.let(Path::of),
    traceSampleRatio = int("trace_sample_percent", 0..WHOLE_PERCENT, WHOLE_PERCENT) / WHOLE_PERCENT.toDouble(),
    drainMillis = long("drain_millis", 0..LONGEST_DRAIN_MILLIS, DEFAULT_DRAIN_MILLIS),
)

/** Returns the settings, or prints every fault and ends the process with [SETTINGS_EXIT_CODE]. */
public fun <T : Any> Result<T, List<Fault>>.orExit(): T = getOrElse { faults -> exitWithFaults(faults) }

private fun exitWithFaults(faults: List<Any>): Nothing {
    faults.forEach { System.err.println(it) }
    exitProcess(SETTINGS_EXIT_CODE)
}
