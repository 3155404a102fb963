/*
 * The program `caraway-control`: one of the hosts that keep the configuration and the request ledger.
 */
package io.carawaytrack.control

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import io.carawaytrack.consensus.GroupReplica
import io.carawaytrack.consensus.ReplicaGroup
import io.carawaytrack.consensus.openReplica
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.process.SETTINGS_EXIT_CODE
import io.carawaytrack.process.monotonicMillis
import io.carawaytrack.process.openTelemetry
import io.carawaytrack.process.orExit
import io.carawaytrack.process.runCommand
import io.carawaytrack.process.runUntilStopped
import io.carawaytrack.storage.Disk
import io.carawaytrack.storage.FolderIdentity
import io.carawaytrack.storage.StorageFailure
import io.carawaytrack.storage.initialiseFolder
import io.carawaytrack.storage.openFileDisk
import io.carawaytrack.tables.readSettings
import io.carawaytrack.telemetry.ObservabilityServer
import io.carawaytrack.wire.LinkHub
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Files
import java.nio.file.Path
import java.security.SecureRandom
import java.util.concurrent.Callable
import kotlin.random.Random
import kotlin.system.exitProcess

private val logger = KotlinLogging.logger {}

/** Exit code of a control host whose data folder cannot be used. */
private const val STORAGE_EXIT_CODE = 3

/** Starts a control host from the command line. */
public fun main(arguments: Array<String>): Unit = runCommand(ControlMain(), arguments)

@Command(
    name = "caraway-control",
    mixinStandardHelpOptions = true,
    description = ["Keeps the configuration and the request ledger."],
    subcommands = [InitCommand::class, RunCommand::class],
)
private class ControlMain

@Command(name = "init", mixinStandardHelpOptions = true, description = ["Prepares an empty data folder, once."])
private class InitCommand : Callable<Int> {
    @Option(names = ["--settings"], required = true, description = ["Settings file in TOML."])
    private lateinit var settingsFile: Path

    override fun call(): Int {
        val settings = readSettings(settingsFile) { controlSettings() }.orExit()
        val identity = FolderIdentity(settings.clusterId, settings.process.node, SecureRandom().nextLong())
        return openFolder(settings)
            .andThen { disk -> disk.use { initialiseFolder(it, identity) } }
            .mapBoth({ 0 }, ::reported)
    }
}

private fun reported(failure: StorageFailure): Int {
    System.err.println(failure.detail)
    return STORAGE_EXIT_CODE
}

private fun openFolder(settings: ControlSettings): Result<Disk, StorageFailure> {
    Files.createDirectories(settings.dataFolder)
    return openFileDisk(settings.dataFolder)
}

@Command(name = "run", mixinStandardHelpOptions = true, description = ["Serves until it is told to stop."])
private class RunCommand : Callable<Int> {
    @Option(names = ["--settings"], required = true, description = ["Settings file in TOML."])
    private lateinit var settingsFile: Path

    override fun call(): Int {
        val settings = readSettings(settingsFile) { controlSettings() }.orExit()
        if (settings.process.node !in settings.members && !settings.joining) {
            System.err.println("$settingsFile: members: expected ${settings.process.node} among the members")
            return SETTINGS_EXIT_CODE
        }
        runUntilStopped { awaitStop -> ControlHost(settings).run(awaitStop) }
        return 0
    }
}

private class ControlHost(
    private val settings: ControlSettings,
) {
    private val process = settings.process
    private val telemetry = process.openTelemetry(NodeRole.Control)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val hub = LinkHub(process.identity(NodeRole.Control), process.sharedSecret(), ::monotonicMillis)
    private val peers = Peers(hub, settings.members - process.node)
    private val registry = HolderRegistry(::monotonicMillis)

    // Set once the replica is open; configurations that it recovers before then have no holder to go to.
    @Volatile
    private var service: HolderService? = null

    suspend fun run(awaitStop: suspend () -> Unit) {
        val state = ControlState { service?.push(it) }
        openReplica(state).use { replica ->
            val serving = HolderService(replica, state, registry, settings.members)
            service = serving
            peers.start(scope)
            hub.listen(settings.linkAddress, serving::serve)
            serve(replica, state, awaitStop)
        }
        hub.close()
        scope.cancel()
        telemetry.close()
    }

    private suspend fun serve(
        replica: GroupReplica,
        state: ControlState,
        awaitStop: suspend () -> Unit,
    ) {
        val expiry = Expiry(replica, state, settings.retentionMillis, System::currentTimeMillis)
        scope.launch { expiry.run() }
        val api = AdministrationApi(replica, state, registry, settings.operators, System::currentTimeMillis)
        val server = api.start(settings.adminAddress)
        val ready = { replica.status().leader != null }
        ObservabilityServer(process.observability, telemetry.registry, ready).use {
            logger.info { "control host ${process.node} listens on ${settings.linkAddress}" }
            awaitStop()
        }
        server.stop()
    }

    private fun openReplica(state: ControlState): GroupReplica {
        val disk = openFolder(settings).getOrElse { exitWith(it.detail) }
        val members: List<NodeId> = if (settings.joining) emptyList() else settings.members.keys.toList()
        return openReplica(
            group = ReplicaGroup(settings.clusterId, process.node, members),
            disk = disk,
            stateMachine = state,
            send = peers::send,
            nowMillis = ::monotonicMillis,
            random = Random(SecureRandom().nextLong()),
            onHalt = ::halted,
        ).getOrElse { exitWith(it.detail) }
    }

    /** Ends the process when the replica can no longer keep what it acknowledges; the platform starts it again. */
    private fun halted(failure: Failure) {
        if (failure.kind == ErrorKind.ShuttingDown) return
        System.err.println(failure.detail)
        // An orderly exit would wait for this very thread.
        Runtime.getRuntime().halt(STORAGE_EXIT_CODE)
    }

    private fun exitWith(detail: String): Nothing {
        System.err.println(detail)
        exitProcess(STORAGE_EXIT_CODE)
    }
}
