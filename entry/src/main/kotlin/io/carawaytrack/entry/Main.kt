/*
 * The `caraway-entry` program: accepts requests from callers, routes them to upstreams and relays the answers.
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

/** Entry point of the command line program. */
public fun main(arguments: Array<String>): Unit = runCommand(EntryCommand(), arguments)

@Command(name = "caraway-entry", mixinStandardHelpOptions = true, description = ["Routes requests to upstreams."])
private class EntryCommand : Callable<Int> {
    @Option(names = ["--settings"], required = true, description = ["Settings file in TOML."])
    private lateinit var settingsFile: Path

    override fun call(): Int {
        val settings = readSettings(settingsFile) { entrySettings() }.orExit()
        runUntilStopped { awaitStop -> Entry(settings).run(awaitStop) }
        return 0
    }
}
