/*
 * The command line of `caraway-standin`: one subcommand for each stand-in. It prints one JSON line with the address
 * once it listens, and runs until it is told to end by a signal.
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

private const val EXIT_CRASHED = 134

/** Starts the stand-in that [args] name. */
@Suppress("SpreadOperator") // picocli takes its arguments in no other form
public fun main(args: Array<String>) {
    exitProcess(standInCommandLine().execute(*args))
}

/** Returns the command line with its four subcommands. */
internal fun standInCommandLine(): CommandLine = CommandLine(StandInCommand())

@Serializable
private data class Listening(
    val listening: String,
)

/** Tells where the stand-in listens and waits for a signal to end. */
private fun serve(
    port: Int,
    standIn: AutoCloseable,
): Int {
    val ended = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(Thread { standIn.use { ended.countDown() } })
    println(standInJson.encodeToString(Listening("${LoopbackServer.LOOPBACK}:$port")))
    ended.await()
    return 0
}

@Command(
    name = "caraway-standin",
    description = ["Stands in for an upstream or a platform service, on loopback."],
    subcommands = [EngineCommand::class, ServiceCommand::class, RatingCommand::class, WeightsCommand::class],
)
private class StandInCommand : CommandWithHelp()

/** Gives every command its help; picocli's own would also take `--version`, which an engine needs. */
private abstract class CommandWithHelp {
    @Option(names = ["-h", "--help"], usageHelp = true, description = ["Shows this help."])
    protected var isHelpRequested: Boolean = false
}

private abstract class ServerCommand :
    CommandWithHelp(),
    Callable<Int> {
    @Option(names = ["--port"], description = ["Port on 127.0.0.1; 0 takes a free one."])
    protected var port: Int = 0
}

private class ModelVersionConverter : ITypeConverter<ModelVersion> {
    override fun convert(value: String): ModelVersion =
        ModelVersion.parse(value) ?: throw TypeConversionException("expected model@version, got '$value'")
}

@Command(name = "engine", description = ["Stands in for a model engine."])
private class EngineCommand : ServerCommand() {
    private val defaults = EngineSettings()

    @Option(names = ["--model"], description = ["Model that is loaded first."])
    private var model = defaults.versions.first().model

    @Option(names = ["--version"], description = ["Version that is loaded first."])
    private var version = defaults.versions.first().version

    @Option(
        names = ["--models"],
        description = ["Further model@version, separated by commas."],
        split = ",",
        converter = [ModelVersionConverter::class],
    )
    private var models: List<ModelVersion> = emptyList()

    @Option(names = ["--quality"], description = ["Mean rating of the answers, 0 to 1."])
    private var quality = defaults.quality

    @Option(names = ["--qualities"], description = ["Other mean ratings, as model@version=rating."], split = ",")
    private var qualities: Map<String, Double> = emptyMap()

    @Option(names = ["--prefill-millis-per-kilotoken"], description = ["Time for a thousand prompt tokens."])
    private var prefillMillisPerKilotoken = defaults.prefillMillisPerKilotoken

    @Option(names = ["--token-millis"], description = ["Time for an answer token."])
    private var tokenMillis = defaults.tokenMillis

    @Option(names = ["--answer-tokens"], description = ["Length of an answer."])
    private var answerTokens = defaults.answerTokens

    @Option(names = ["--max-running"], description = ["Requests that run at once."])
    private var maxRunning = defaults.maxRunning

    @Option(names = ["--memory-tokens"], description = ["Tokens held beyond which it falls over; 0 for no bound."])
    private var memoryTokens = defaults.memoryTokens

    @Option(names = ["--cold-start-millis"], description = ["Time until it bears its full load."])
    private var coldStartMillis = defaults.coldStartMillis

    @Option(names = ["--cold-bearing"], description = ["Requests that it bears at the very start."])
    private var coldCapacity = defaults.coldCapacity

    @Option(names = ["--restart-millis"], description = ["Time that it answers nothing after falling over."])
    private var restartMillis = defaults.restartMillis

    @Option(names = ["--load-lag-millis"], description = ["Age of the load that it reports."])
    private var loadLagMillis = defaults.loadLagMillis

    @Option(names = ["--event-lag-millis"], description = ["Age at which cache events are shown."])
    private var eventLagMillis = defaults.eventLagMillis

    @Option(names = ["--event-loss-ratio"], description = ["Share of cache events that are lost, 0 to 1."])
    private var eventLossRatio = defaults.eventLossRatio

    @Option(names = ["--cache-blocks"], description = ["Capacity of the prefix cache."])
    private var cacheBlocks = defaults.cacheBlocks

    @Option(names = ["--ignore-fencing"], description = ["Take orders with older fencing numbers."])
    private var isFencingIgnored = false

    @Option(names = ["--crash-text"], description = ["A request with this text ends the process."])
    private var crashText: String? = null

    @Option(names = ["--seed"], description = ["Seed of all that varies."])
    private var seed = defaults.seed

    override fun call(): Int {
        val standIn = EngineStandIn(settings(), onCrash = { Runtime.getRuntime().halt(EXIT_CRASHED) })
        return serve(standIn.port, standIn)
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

@Command(name = "service", description = ["Stands in for a stock and payment service."])
private class ServiceCommand : ServerCommand() {
    private val defaults = ServiceSettings()

    @Option(names = ["--stock"], description = ["Pieces of every item at the start."])
    private var stock = defaults.stock

    @Option(names = ["--delay-millis"], description = ["Time that a call takes."])
    private var delayMillis = defaults.delayMillis

    override fun call(): Int {
        val standIn = ServiceStandIn(ServiceSettings(port, stock, delayMillis))
        return serve(standIn.port, standIn)
    }
}

@Command(name = "rating", description = ["Stands in for the rating service."])
private class RatingCommand : ServerCommand() {
    private val defaults = RatingSettings()

    @Option(names = ["--noise"], description = ["Standard deviation of the ratings."])
    private var noise = defaults.noise

    @Option(names = ["--delay-millis"], description = ["Time until a rating is given."])
    private var delayMillis = defaults.delayMillis

    @Option(names = ["--missing-ratio"], description = ["Share of answers without a rating, 0 to 1."])
    private var missingRatio = defaults.missingRatio

    @Option(names = ["--seed"], description = ["Seed of the noise."])
    private var seed = defaults.seed

    override fun call(): Int {
        val settings = RatingSettings(port, noise, delayMillis, missingRatio, seed = seed)
        val standIn = RatingStandIn(settings)
        return serve(standIn.port, standIn)
    }
}

@Command(name = "weights", description = ["Stands in for the weight store."])
private class WeightsCommand : ServerCommand() {
    private val defaults = WeightSettings()

    @Option(names = ["--downloads-per-window"], description = ["Downloads that are served within a window."])
    private var downloadsPerWindow = defaults.downloadsPerWindow

    @Option(names = ["--window-millis"], description = ["Length of the window."])
    private var windowMillis = defaults.windowMillis

    @Option(names = ["--weight-bytes"], description = ["Size of a download."])
    private var weightBytes = defaults.weightBytes

    override fun call(): Int {
        val standIn = WeightStandIn(WeightSettings(port, downloadsPerWindow, windowMillis, weightBytes))
        return serve(standIn.port, standIn)
    }
}
