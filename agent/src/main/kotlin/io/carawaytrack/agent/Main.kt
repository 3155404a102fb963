/*
 * The program `caraway-agent`: stands beside one upstream, announces it, and is the last gate before it.
 */
package io.carawaytrack.agent

import io.carawaytrack.process.orExit
import io.carawaytrack.process.runCommand
import io.carawaytrack.process.runUntilStopped
import io.carawaytrack.tables.readSettings
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path
import java.util.concurrent.Callable

/** Starts an agent from the command line. */
public fun main(arguments: Array<String>): Unit = runCommand(AgentCommand(), arguments)

@Command(name = "caraway-agent", mixinStandardHelpOptions = true, description = ["Runs beside one upstream."])
private class AgentCommand : Callable<Int> {
    @Option(names = ["--settings"], required = true, description = ["Settings file in TOML."])
    private lateinit var settingsFile: Path

    override fun call(): Int {
        val settings = readSettings(settingsFile) { agentSettings() }.orExit()
        runUntilStopped { awaitStop -> Agent(settings).run(awaitStop) }
        return 0
    }
}
