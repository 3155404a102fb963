/*
 * The `caraway-control` program: a control host, which stores the configuration and the request ledger.
 */
package io.carawaytrack.control

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.mapBoth
import io.carawaytrack.process.SETTINGS_EXIT_CODE
import io.carawaytrack.process.orExit
import io.carawaytrack.process.runCommand
import io.carawaytrack.process.runUntilStopped
import io.carawaytrack.storage.Disk
import io.carawaytrack.storage.FolderIdentity
import io.carawaytrack.storage.StorageFailure
import io.carawaytrack.storage.initialiseFolder
import io.carawaytrack.storage.openFileDisk
import io.carawaytrack.tables.readSettings
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Files
import java.nio.file.Path
import java.security.SecureRandom
import java.util.concurrent.Callable

/** Runs the `caraway-control` command line. */
public fun main(arguments: Array<String>): Unit = runCommand(ControlMain(), arguments)

@Command(
    name = "caraway-control",
    mixinStandardHelpOptions = true,
    description = ["Stores the configuration and the request ledger."],
    subcommands = [InitCommand::class, RunCommand::class],
)
private class ControlMain

@Command(
    name = "init",
    mixinStandardHelpOptions = true,
    description = ["Initialises an empty data folder, once per host."],
)
private class InitCommand : Callable<Int> {
    @Option(names = ["--settings"], required = true, description = ["Settings file in TOML."])
    private lateinit var settingsFile: Path

    override fun call(): Int {
        val settings = readSettings(settingsFile) { controlSettings() }.orExit()
        val identity = FolderIdentity(settings.clusterId, settings.process.node, SecureRandom().nextLong())
        return openFolder(settings)
            .andThen { disk -> disk.use { initialiseFolder(it, identity) } }
            .mapBoth({ 0 }, ::reportFailure)
    }
}

private fun reportFailure(failure: StorageFailure): Int {
    System.err.println(failure.detail)
    return STORAGE_EXIT_CODE
}

internal fun openFolder(settings: ControlSettings): Result<Disk, StorageFailure> {
    Files.createDirectories(settings.dataFolder)
    return openFileDisk(settings.dataFolder)
}

@Command(name = "run", mixinStandardHelpOptions = true, description = ["Runs the control host until it is stopped."])
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
