/*
 * The program `caraway-bench`: measures the slopes from which docs/CAPACITY.md is derived, and the latency that the
 * request path adds to an answer. Every load is bounded in count and duration, and targets only the given addresses,
 * which must be on loopback.
 */
package io.carawaytrack.bench

import io.carawaytrack.model.HostPort
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.ZoneName
import io.carawaytrack.process.runCommand
import io.carawaytrack.telemetry.installJsonLogs
import io.carawaytrack.wire.SharedSecret
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import picocli.CommandLine.Command
import picocli.CommandLine.ITypeConverter
import picocli.CommandLine.Option
import picocli.CommandLine.TypeConversionException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable

private const val DEFAULT_MEASURE_MILLIS = 10_000L

public fun main(arguments: Array<String>) {
    installJsonLogs(NodeId("bench"), NodeRole.Tool, ZoneName("bench"), Level.ERROR)
    runCommand(BenchCommand(), arguments)
}

@Command(
    name = "caraway-bench",
    mixinStandardHelpOptions = true,
    description = ["Measures slopes and latencies; prints JSON lines."],
    subcommands = [StateCommand::class, HoldersCommand::class, StreamsCommand::class],
)
private class BenchCommand

@Command(name = "state", description = ["Bytes of messages; memory and processor time of the ledger."])
private class StateCommand : Callable<Int> {
    override fun call(): Int {
        println(Json.encodeToString(messageBytes()))
        stateSlopes().forEach { println(Json.encodeToString(it)) }
        return 0
    }
}

@Command(name = "holders", description = ["Cost of many entries and agents to the control hosts."])
private class HoldersCommand : Callable<Int> {
    @Option(names = ["--control"], split = ",", required = true, converter = [LoopbackAddress::class])
    private lateinit var control: List<HostPort>

    @Option(names = ["--observability"], split = ",", required = true, converter = [LoopbackAddress::class])
    private lateinit var observability: List<HostPort>

    @Option(names = ["--secret-file"], required = true)
    private lateinit var secretFile: Path

    @Option(names = ["--counts"], split = ",", required = true)
    private lateinit var counts: List<Int>

    @Option(names = ["--measure-millis"])
    private var measureMillis: Long = DEFAULT_MEASURE_MILLIS

    override fun call(): Int {
        val secret = SharedSecret(Files.readString(secretFile).trim().encodeToByteArray())
        val load = HolderLoad(control, observability, secret, measureMillis)
        runBlocking {
            counts.forEach { count -> load.run(count).forEach { println(Json.encodeToString(it)) } }
        }
        return 0
    }
}

@Command(name = "streams", description = ["Time to the first token and between tokens, by the number of streams."])
private class StreamsCommand : Callable<Int> {
    @Option(names = ["--target"], required = true, converter = [LoopbackAddress::class])
    private lateinit var target: HostPort

    @Option(names = ["--model"], required = true)
    private lateinit var model: String

    @Option(names = ["--key-file"])
    private var keyFile: Path? = null

    @Option(names = ["--streams"], split = ",", required = true)
    private lateinit var streams: List<Int>

    @Option(names = ["--answers-per-stream"])
    private var answersPerStream: Int = 2

    @Option(names = ["--answer-tokens"])
    private var answerTokens: Int = 64

    override fun call(): Int {
        val key = keyFile?.let { Files.readString(it).trim() }
        runBlocking {
            streams.forEach { count ->
                val load = CallerLoad(target, model, key, answersPerStream, answerTokens)
                println(Json.encodeToString(load.run(count)))
            }
        }
        return 0
    }
}

/** Parses an address; rejects any that is not on loopback, so that no load leaves the machine. */
private class LoopbackAddress : ITypeConverter<HostPort> {
    override fun convert(value: String): HostPort {
        val address = HostPort.parse(value)
        if (address == null || address.host != "127.0.0.1") {
            throw TypeConversionException("expected an address on 127.0.0.1, got $value")
        }
        return address
    }
}
