/*
 * The command line of `caraway-standin`, with a subcommand for each stand-in. The process prints one JSON line with its
 * address when it listens, and runs until a signal stops it.
 */
package io.carawaytrack.standins

import io.carawaytrack.model.ModelVersion
import kotlinx.serialization.Serializable
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.ITypeConverter
import picocli.CommandLine.Option
import picocli.CommandLine.TypeConversionException
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

// 128 + SIGABRT, the exit code of an aborted process
private const val CRASH_EXIT_CODE = 134

/** Runs the stand-in that [args] select. */
@Suppress("SpreadOperator") // picocli accepts arguments only as varargs
public fun main(args: Array<String>) {
    exitProcess(standInCommandLine().execute(*args))
}

/** Returns the command line with its four subcommands. */
internal fun standInCommandLine(): CommandLine = CommandLine(StandInCommand())

@Serializable
private data class Listening(
    val listening: String,
)

/** Prints the address of the stand-in and blocks until a signal stops the process. */
private fun serveUntilSignal(
    port: Int,
    standIn: AutoCloseable,
): Int {
    val stopped = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(Thread { standIn.use { stopped.countDown() } })
    println(standInJson.encodeToString(Listening("${LoopbackServer.LOOPBACK}:$port")))
    stopped.await()
    return 0
}

@Command(
    name = "caraway-standin",
    description = ["Emulates an upstream or a platform service on loopback."],
    subcommands = [EngineCommand::class, ServiceCommand::class, RatingCommand::class, WeightsCommand::class],
)
private class StandInCommand : CommandWithHelp()

/** Adds help options to a command. The standard ones of picocli also define `--version`, which `engine` uses itself. */
private abstract class CommandWithHelp {
    @Option(names = ["-h", "--help"], usageHelp = true, description = ["Shows this help."])
    protected var isHelpRequested: Boolean = false
}

private abstract class ServerCommand :
    CommandWithHelp(),
    Callable<Int> {
    @Option(names = ["--port"], description = ["Port on 127.0.0.1; 0 selects a free port."])
    protected var port: Int = 0
}

private class ModelVersionConverter : ITypeConverter<ModelVersion> {
    override fun convert(value: String): ModelVersion =
        ModelVersion.parse(value) ?: throw TypeConversionException("expected model@version, got '$value'")
}

@Command(name = "engine", description = ["Emulates an inference engine."])
private class EngineCommand : ServerCommand() {
    private val defaults = EngineSettings()

    @Option(names = ["--model"], description = ["First model loaded at the start."])
    private var model = defaults.versions.first().model

    @Option(names = ["--version"], description = ["Version of the first model."])
    private var version = defaults.versions.first().version

    @Option(
        names = ["--models"],
        description = ["Further models to load, as model@version, separated by commas."],
        split = ",",
        converter = [ModelVersionConverter::class],
    )
    private var models: List<ModelVersion> = emptyList()

    @Option(names = ["--quality"], description = ["Mean rating of the answers, 0 to 1."])
    private var quality = defaults.quality

    @Option(names = ["--qualities"], description = ["Mean ratings by version, as model@version=rating."], split = ",")
    private var qualities: Map<String, Double> = emptyMap()

    @Option(names = ["--prefill-millis-per-kilotoken"], description = ["Prefill time for a thousand prompt tokens."])
    private var prefillMillisPerKilotoken = defaults.prefillMillisPerKilotoken

    @Option(names = ["--token-millis"], description = ["Time to generate an answer token."])
    private var tokenMillis = defaults.tokenMillis

    @Option(names = ["--answer-tokens"], description = ["Length of an answer in tokens."])
    private var answerTokens = defaults.answerTokens

    @Option(names = ["--max-running"], description = ["Requests that run at once."])
    private var maxRunning = defaults.maxRunning

    @Option(
        names = ["--memory-tokens"],
        description = ["Queued tokens above which the engine crashes; 0 for no limit."],
    )
    private var memoryTokens = defaults.memoryTokens

    @Option(names = ["--cold-start-millis"], description = ["Time from a start until full capacity."])
    private var coldStartMillis = defaults.coldStartMillis

    @Option(
        names = ["--cold-bearing"],
        description = ["Requests that the engine can take at the beginning of a cold start."],
    )
    private var coldCapacity = defaults.coldCapacity

    @Option(names = ["--restart-millis"], description = ["Downtime after a crash."])
    private var restartMillis = defaults.restartMillis

    @Option(names = ["--load-lag-millis"], description = ["Age of the reported load."])
    private var loadLagMillis = defaults.loadLagMillis

    @Option(names = ["--event-lag-millis"], description = ["Age from which cache events are reported."])
    private var eventLagMillis = defaults.eventLagMillis

    @Option(names = ["--event-loss-ratio"], description = ["Share of cache events that are lost, 0 to 1."])
    private var eventLossRatio = defaults.eventLossRatio

    @Option(names = ["--cache-blocks"], description = ["Capacity of the prefix cache in blocks."])
    private var cacheBlocks = defaults.cacheBlocks

    @Option(names = ["--ignore-fencing"], description = ["Applies orders with outdated fencing tokens."])
    private var isFencingIgnored = false

    @Option(names = ["--crash-text"], description = ["A request with this text ends the process."])
    private var crashText: String? = null

    @Option(names = ["--seed"], description = ["Seed of all random values."])
    private var seed = defaults.seed

    override fun call(): Int {
        val standIn = EngineStandIn(settings(), onCrash = { Runtime.getRuntime().halt(CRASH_EXIT_CODE) })
        return serveUntilSignal(standIn.port, standIn)
    }

    private fun settings() = EngineSettings(
        port = port,
        versions = (listOf(ModelVersion(model, version)) + models).distinct(),
        quality = quality,
        qualities = qualities,
        prefillMillisPerKilotoken = prefillMillisPerKilotoken,
        tokenMillis = tokenMillis,
        answerTokens = answerTokens,
        maxRunning = maxRunning,
        memoryTokens = memoryTokens,
        coldStartMillis = coldStartMillis,
        coldCapacity = coldCapacity,
        restartMillis = restartMillis,
        cacheBlocks = cacheBlocks,
        loadLagMillis = loadLagMillis,
        eventLagMillis = eventLagMillis,
        eventLossRatio = eventLossRatio,
        enforcesFencing = !isFencingIgnored,
        seed = seed,
        faults = EngineFaults(crashText = crashText),
    )
}

@Command(name = "service", description = ["Emulates a stock and payment service."])
private class ServiceCommand : ServerCommand() {
    private val defaults = ServiceSettings()

    @Option(names = ["--stock"], description = ["Initial quantity of every item."])
    private var stock = defaults.stock

    @Option(names = ["--delay-millis"], description = ["Time that a call takes."])
    private var delayMillis = defaults.delayMillis

    override fun call(): Int {
        val standIn = ServiceStandIn(ServiceSettings(port, stock, delayMillis))
        return serveUntilSignal(standIn.port, standIn)
    }
}

@Command(name = "rating", description = ["Emulates the rating service."])
private class RatingCommand : ServerCommand() {
    private val defaults = RatingSettings()

    @Option(names = ["--noise"], description = ["Standard deviation of the ratings."])
    private var noise = defaults.noise

    @Option(names = ["--delay-millis"], description = ["Delay of each reply."])
    private var delayMillis = defaults.delayMillis

    @Option(names = ["--missing-ratio"], description = ["Share of answers without a rating, 0 to 1."])
    private var missingRatio = defaults.missingRatio

    @Option(names = ["--seed"], description = ["Seed of the noise."])
    private var seed = defaults.seed

    override fun call(): Int {
        val settings = RatingSettings(port, noise, delayMillis, missingRatio, seed = seed)
        val standIn = RatingStandIn(settings)
        return serveUntilSignal(standIn.port, standIn)
    }
}

@Command(name = "weights", description = ["Emulates the weight store."])
private class WeightsCommand : ServerCommand() {
    private val defaults = WeightSettings()

    @Option(names = ["--downloads-per-window"], description = ["Maximum number of downloads within a window."])
    private var downloadsPerWindow = defaults.downloadsPerWindow

    @Option(names = ["--window-millis"], description = ["Length of the window."])
    private var windowMillis = defaults.windowMillis

    @Option(names = ["--weight-bytes"], description = ["Size of a download in bytes."])
    private var weightBytes = defaults.weightBytes

    override fun call(): Int {
        val standIn = WeightStandIn(WeightSettings(port, downloadsPerWindow, windowMillis, weightBytes))
        return serveUntilSignal(standIn.port, standIn)
    }
}
