/*
 * The program `caraway-entry`: takes callers' requests, decides where they run, and brings the answers back.
 */
package io.carawaytrack.entry

import io.carawaytrack.process.orExit
import io.carawaytrack.process.runCommand
import io.carawaytrack.process.runUntilStopped
import io.carawaytrack.tables.readSettings
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path
import java.util.concurrent.Callable

/** Starts an entry from the command line. */
public fun main(arguments: Array<String>): Unit = runCommand(EntryCommand(), arguments)

@Command(name = "caraway-entry", mixinStandardHelpOptions = true, description = ["Takes callers' requests."])
private class EntryCommand : Callable<Int> {
    @Option(names = ["--settings"], required = true, description = ["Settings file in TOML."])
    private lateinit var settingsFile: Path

    override fun call(): Int {
        val settings = readSettings(settingsFile) { entrySettings() }.orExit()
        runUntilStopped { awaitStop -> Entry(settings).run(awaitStop) }
        return 0
    }
}
