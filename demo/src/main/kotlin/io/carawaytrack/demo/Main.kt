/*
 * The program behind `bin/caraway-demo`: `plan` lays out the deployment, `run` plays the story against it. The script
 * starts and stops the processes.
 */
package io.carawaytrack.demo

import kotlinx.coroutines.runBlocking
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlin.system.exitProcess

/** Starts the demo's client from the command line. */
@Suppress("SpreadOperator") // picocli takes its arguments in no other form
public fun main(arguments: Array<String>): Unit = exitProcess(CommandLine(DemoCommand()).execute(*arguments))

@Command(
    name = "caraway-demo-client",
    mixinStandardHelpOptions = true,
    description = ["Plans and plays the demo."],
    subcommands = [PlanCommand::class, PlayCommand::class],
)
private class DemoCommand

@Command(name = "plan", description = ["Writes settings, tables and the list of processes into a folder."])
private class PlanCommand : Callable<Int> {
    @Option(names = ["--folder"], required = true)
    private lateinit var folder: Path

    override fun call(): Int {
        planDemo(folder.toAbsolutePath())
        return 0
    }
}

@Command(name = "run", description = ["Plays the story against the running processes."])
private class PlayCommand : Callable<Int> {
    @Option(names = ["--folder"], required = true)
    private lateinit var folder: Path

    override fun call(): Int {
        DemoClient(folder.toAbsolutePath()).use { client ->
            runBlocking { DemoRun(folder.toAbsolutePath(), client).run() }
        }
        return 0
    }
}
