/*
 * Main function of the client that `bin/caraway-demo` calls: `plan` writes the files of the deployment, `run` runs the
 * demo scenario against it. The script starts and stops the processes.
 */
package io.carawaytrack.demo

import kotlinx.coroutines.runBlocking
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlin.system.exitProcess

/** Runs the demo's client and exits with the code of its outcome. */
@Suppress("SpreadOperator") // picocli accepts its arguments only as varargs
public fun main(arguments: Array<String>): Unit = exitProcess(CommandLine(DemoCommand()).execute(*arguments))

@Command(
    name = "caraway-demo-client",
    mixinStandardHelpOptions = true,
    description = ["Plans and runs the demo."],
    subcommands = [PlanCommand::class, RunCommand::class],
)
private class DemoCommand

@Command(name = "plan", description = ["Writes settings, tables and the list of processes to a folder."])
private class PlanCommand : Callable<Int> {
    @Option(names = ["--folder"], required = true)
    private lateinit var folder: Path

    override fun call(): Int {
        planDemo(folder.toAbsolutePath())
        return 0
    }
}

@Command(name = "run", description = ["Runs the demo scenario against the running processes."])
private class RunCommand : Callable<Int> {
    @Option(names = ["--folder"], required = true)
    private lateinit var folder: Path

    override fun call(): Int {
        DemoClient(folder.toAbsolutePath()).use { client ->
            runBlocking { DemoRun(folder.toAbsolutePath(), client).run() }
        }
        return 0
    }
}
