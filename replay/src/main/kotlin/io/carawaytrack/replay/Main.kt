/*
 * The `caraway-replay` command.
 */
package io.carawaytrack.replay

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.ITypeConverter
import picocli.CommandLine.Option
import picocli.CommandLine.TypeConversionException
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlin.system.exitProcess

/** Runs the command and exits the process with its exit code. */
@Suppress("SpreadOperator") // picocli accepts only varargs; the array is copied once
public fun main(args: Array<String>) {
    exitProcess(replayCommandLine().execute(*args))
}

/** Creates the command line, whose exit code is 1 when a trace can't be read and 2 on invalid options. */
public fun replayCommandLine(): CommandLine = CommandLine(ReplayCommand()).setCaseInsensitiveEnumValuesAllowed(true)

internal enum class OutputFormat { Text, Json }

@Command(
    name = "caraway-replay",
    mixinStandardHelpOptions = true,
    description = ["Simulates traces against the routing decisions and baseline policies, and checks the targets."],
)
private class ReplayCommand : Callable<Int> {
    @Option(names = ["--deployment"], description = ["penmark or sajha (default: penmark)"])
    private var deployment: Deployment = Deployment.Penmark

    @Option(
        names = ["--scenario"],
        converter = [ScenarioConverter::class],
        description = [
            "quiet-hour, peak, bad-at-ten, bad-at-fifty, zone-out, cold-start, slow-readers, pools-dry or flood",
        ],
    )
    private var scenario: Scenario = Scenario.Peak

    @Option(names = ["--seed"], description = ["seed of generated traces and of all random draws (default: 1)"])
    private var seed: Long = 1

    @Option(names = ["--trace"], description = ["trace to simulate instead of one generated from the seed"])
    private var tracePath: Path? = null

    @Option(names = ["--write-trace"], description = ["file to which the simulated trace is written"])
    private var writtenTracePath: Path? = null

    @Option(names = ["--seconds"], description = ["length of the measured part of a generated trace"])
    private var seconds: Long? = null

    @Option(names = ["--warm-up-seconds"], description = ["time before the measured part of a generated trace"])
    private var warmUpSeconds: Long? = null

    @Option(names = ["--policy"], description = ["policies to run in addition to the current one (default: all)"])
    private var policyNames: Set<String> = policies.map { it.name }.toSet()

    @Option(names = ["--output"], description = ["text or json (default: text)"])
    private var output: OutputFormat = OutputFormat.Text

    @Option(names = ["--plot"], description = ["file for a plot, .svg or .png"])
    private var plotPath: Path? = null

    override fun call(): Int = trace().fold({ runSimulations(it) }, { reportReadError(it) })

    private fun trace(): Result<Trace, TraceReadError> {
        val path = tracePath
        if (path != null) return readTrace(path)
        val lengthMillis = millis(seconds) ?: scenario.measuredMillis
        return Ok(
            generateTrace(deployment, scenario, seed, lengthMillis, millis(warmUpSeconds) ?: scenario.warmUpMillis),
        )
    }

    private fun millis(seconds: Long?): Long? = seconds?.let { it * MILLIS_PER_SECOND.toLong() }

    private fun runSimulations(trace: Trace): Int {
        writtenTracePath?.let { writeTrace(trace, it) }
        val replay = replay(trace, seed, policyNames)
        println(if (output == OutputFormat.Json) replay.report.asJson() else replay.report.asText())
        plotPath?.let { writePlot(replay.runs, it) }
        return 0
    }

    private fun reportReadError(error: TraceReadError): Int {
        System.err.println("trace line ${error.line}: ${error.detail}")
        return 1
    }
}

private class ScenarioConverter : ITypeConverter<Scenario> {
    override fun convert(value: String): Scenario =
        Scenario.entries.firstOrNull { it.commandLineName == value.lowercase() }
            ?: throw TypeConversionException(
                "expected one of ${Scenario.entries.joinToString { it.commandLineName }}, got $value",
            )
}
