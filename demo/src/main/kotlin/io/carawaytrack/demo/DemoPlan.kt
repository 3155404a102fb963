/*
 * Plans a small deployment on loopback: chooses free ports and writes a settings file for each process, the tables, the
 * keys, and the list of processes in the order in which they are started.
 */
package io.carawaytrack.demo

import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.security.MessageDigest
import java.security.SecureRandom

internal const val LOOPBACK = "127.0.0.1"
internal const val DEMO_ORGANISATION = "market-stalls"
internal const val CALLER_KEY_FILE = "caller.key"
internal const val OPERATOR_TOKEN_FILE = "operator.token"
internal const val ADDRESSES_FILE = "addresses.json"
internal const val ROUTES_FILE = "routes.toml"
internal const val POOLS_FILE = "pools.toml"
private const val SECRET_FILE = "secret"
private const val PROCESSES_FILE = "processes"
private const val KEY_BYTES = 24

/**
 * Describes an upstream of the demo; an engine serves a model, a plain service serves `stock`.
 *
 * @property model model that an engine serves, null for a plain service
 * @property standInOptions additional command-line options of the stand-in
 */
public data class DemoUpstream(
    val id: String,
    val zone: String,
    val model: String?,
    val version: String,
    val standInOptions: String = "",
)

/**
 * Describes a deployment, apart from its three control hosts.
 *
 * @property entryZones zones of the entries, one entry for each
 * @property entrySettings additional lines of each entry's settings file
 */
public data class DemoLayout(
    val upstreams: List<DemoUpstream> = demoUpstreams,
    val entryZones: List<String> = listOf("zone-1", "zone-2"),
    val entrySettings: String = "",
)

/**
 * Describes a process and the command that starts it. A process whose name ends with `-init` runs once, before the
 * process that it prepares is started.
 */
public data class DemoProcess(
    val name: String,
    val command: String,
)

/** Writes settings, keys and tables to [folder] and returns the processes in the order in which they are started. */
public fun planDemo(
    folder: Path,
    layout: DemoLayout = DemoLayout(),
): List<DemoProcess> = DemoPlan(folder, layout).write()

private val demoUpstreams =
    listOf(
        DemoUpstream("quill-small-a", "zone-1", "quill-small", "1"),
        DemoUpstream("quill-small-b", "zone-2", "quill-small", "1"),
        DemoUpstream("quill-large-a", "zone-2", "quill-large", "1"),
        DemoUpstream("quill-large-b", "zone-3", "quill-large", "1"),
        DemoUpstream("stock-a", "zone-1", null, "service"),
        DemoUpstream("stock-b", "zone-3", null, "service"),
    )

private val controlNodes = listOf("control-1" to "zone-1", "control-2" to "zone-2", "control-3" to "zone-3")

private class DemoPlan(
    private val folder: Path,
    private val layout: DemoLayout,
) {
    private val processes = mutableListOf<DemoProcess>()
    private val addresses = DemoAddresses.Builder()
    private val ports = FreePorts()
    private val controlLinks = controlNodes.map { (node, _) -> node to ports.next() }

    fun write(): List<DemoProcess> {
        Files.createDirectories(folder)
        writeSecrets()
        writeTables()
        layout.upstreams.forEach(::planStandIn)
        controlNodes.forEach { (node, zone) -> planControl(node, zone) }
        layout.upstreams.forEach(::planAgent)
        layout.entryZones.forEachIndexed { index, zone -> planEntry("entry-${index + 1}", zone) }
        ports.release()
        Files.writeString(folder.resolve(ADDRESSES_FILE), addresses.toJson())
        Files.write(folder.resolve(PROCESSES_FILE), processes.map { "${it.name} ${it.command}" })
        return processes
    }

    private fun writeSecrets() {
        listOf(SECRET_FILE, CALLER_KEY_FILE, OPERATOR_TOKEN_FILE).forEach { name ->
            val key = ByteArray(KEY_BYTES).also(SecureRandom()::nextBytes)
            Files.writeString(folder.resolve(name), key.toHexString())
        }
    }

    private fun digestOf(file: String): String {
        val key = Files.readString(folder.resolve(file))
        return MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray()).toHexString()
    }

    private fun writeTables() {
        val digest = digestOf(CALLER_KEY_FILE)
        Files.writeString(folder.resolve(ROUTES_FILE), demoRoutes(digest))
        Files.writeString(folder.resolve(POOLS_FILE), DEMO_POOLS)
    }

    private fun planStandIn(upstream: DemoUpstream) {
        val port = ports.next()
        addresses.upstreams[upstream.id] = "$LOOPBACK:$port"
        val command =
            if (upstream.model == null) {
                "service --port $port"
            } else {
                "engine --port $port --model ${upstream.model} --version ${upstream.version}"
            }
        addProcess("standin-${upstream.id}", "caraway-standin $command ${upstream.standInOptions}".trim())
    }

    private fun planControl(
        node: String,
        zone: String,
    ) {
        val link = controlLinks.first { it.first == node }.second
        addresses.controlLinks += "$LOOPBACK:$link"
        val admin = ports.next()
        addresses.administration += "$LOOPBACK:$admin"
        val members = controlLinks.joinToString("\n") { (name, port) -> "$name = \"$LOOPBACK:$port\"" }
        val settings =
            """
            |cluster = "demo"
            |data_folder = "${folder.resolve("data").resolve(node)}"
            |link_address = "$LOOPBACK:$link"
            |admin_address = "$LOOPBACK:$admin"
            |
            |[members]
            |$members
            |
            |[operators]
            |demo = "${digestOf(OPERATOR_TOKEN_FILE)}"
            """.trimMargin()
        val file = settingsFile(node, zone, settings)
        addProcess("$node-init", "caraway-control init --settings $file")
        addProcess(node, "caraway-control run --settings $file")
    }

    private fun planAgent(upstream: DemoUpstream) {
        val node = "agent-${upstream.id}"
        val versions = if (upstream.model == null) "stock" else "${upstream.model}@${upstream.version}"
        val settings =
            """
            |link_address = "$LOOPBACK:${ports.next()}"
            |control_addresses = [${controlList()}]
            |
            |[upstream]
            |id = "${upstream.id}"
            |kind = "${if (upstream.model == null) "service" else "model"}"
            |address = "${addresses.upstreams[upstream.id]}"
            |versions = ["$versions"]
            """.trimMargin()
        addProcess(node, "caraway-agent --settings ${settingsFile(node, upstream.zone, settings)}")
    }

    private fun planEntry(
        node: String,
        zone: String,
    ) {
        val caller = ports.next()
        addresses.callers += "$LOOPBACK:$caller"
        val settings =
            """
            |caller_address = "$LOOPBACK:$caller"
            |control_addresses = [${controlList()}]
            |${layout.entrySettings}
            """.trimMargin()
        addProcess(node, "caraway-entry --settings ${settingsFile(node, zone, settings)}")
    }

    private fun controlList() = controlLinks.joinToString { (_, port) -> "\"$LOOPBACK:$port\"" }

    private fun settingsFile(
        node: String,
        zone: String,
        settings: String,
    ): Path {
        val observability = ports.next()
        addresses.observability[node] = "$LOOPBACK:$observability"
        val common =
            """
            |node = "$node"
            |availability_zone = "$zone"
            |secret_file = "${folder.resolve(SECRET_FILE)}"
            |observability_address = "$LOOPBACK:$observability"
            |spans_file = "${folder.resolve("$node.spans.jsonl")}"
            |
            """.trimMargin()
        val file = folder.resolve("$node.toml")
        Files.writeString(file, common + settings + "\n")
        return file
    }

    private fun addProcess(
        name: String,
        command: String,
    ) {
        processes += DemoProcess(name, command)
    }
}

/** Keeps chosen ports bound until all have been chosen, so that none is chosen twice. */
private class FreePorts {
    private val sockets = mutableListOf<ServerSocket>()

    fun next(): Int {
        val socket = ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))
        sockets += socket
        return socket.localPort
    }

    fun release(): Unit = sockets.forEach(ServerSocket::close)
}
