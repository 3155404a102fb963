/*
 * The `caraway-agent` program: runs next to one upstream, announces it to the cluster and controls access to it.
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

/** Entry point of the command line program. */
public fun main(arguments: Array<String>): Unit = runCommand(AgentCommand(), arguments)

@Command(name = "caraway-agent", mixinStandardHelpOptions = true, description = ["Controls access to one upstream."])
private class AgentCommand : Callable<Int> {
    @Option(names = ["--settings"], required = true, description = ["Settings file in TOML."])
    private lateinit var settingsFile: Path

    override fun call(): Int {
        val settings = readSettings(settingsFile) { agentSettings() }.orExit()
        runUntilStopped { awaitStop -> Agent(settings).run(awaitStop) }
        return 0
    }
}
