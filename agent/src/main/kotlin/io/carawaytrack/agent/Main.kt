/*
 * The program `caraway-agent`: stands beside one upstream, announces it, and is the last gate before it.
 */
package io.carawaytrack.agent

import io.carawaytrack.membership.ControlClient
import io.carawaytrack.membership.ControlClientPorts
import io.carawaytrack.model.Announcement
import io.carawaytrack.model.NodeRole
import io.carawaytrack.process.monotonicMillis
import io.carawaytrack.process.openTelemetry
import io.carawaytrack.process.orExit
import io.carawaytrack.process.runCommand
import io.carawaytrack.process.runUntilStopped
import io.carawaytrack.tables.readSettings
import io.carawaytrack.telemetry.ObservabilityServer
import io.carawaytrack.wire.LinkHub
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.withTimeoutOrNull
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path
import java.util.concurrent.Callable

private val logger = KotlinLogging.logger {}

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

private class Agent(
    private val settings: AgentSettings,
) {
    private val process = settings.process
    private val telemetry = process.openTelemetry(NodeRole.Agent)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val hub = LinkHub(process.identity(NodeRole.Agent), process.sharedSecret(), ::monotonicMillis)
    private val incarnation = System.currentTimeMillis()

    suspend fun run(awaitStop: suspend () -> Unit) {
        UpstreamClient(settings.upstreamAddress).use { serve(it, awaitStop) }
        hub.close()
        scope.cancel()
        telemetry.close()
    }

    private suspend fun serve(
        upstream: UpstreamClient,
        awaitStop: suspend () -> Unit,
    ) {
        lateinit var entries: EntryService
        lateinit var gate: Gate
        var port = settings.linkAddress.port
        val announce = {
            Announcement(
                upstream = settings.upstream,
                zone = process.zone,
                agentHost = settings.linkAddress.host,
                agentPort = port,
                incarnation = incarnation,
                versions = settings.versions,
                load = entries.load(),
                leaving = gate.leaving,
            )
        }
        val ports = ControlClientPorts(hub::connect, ::monotonicMillis, announce)
        val control = ControlClient(settings.control, ports)
        gate = Gate(settings.upstream, process.zone, settings.versions, control.lease, control::configuration)
        val settlement = Settlement(scope, control, settings.settleMillis, System::currentTimeMillis)
        entries =
            EntryService(scope, gate, settings::maxPermits, upstream::run) { outcome, runner ->
                if (outcome.failure == null) settlement.expect(outcome, runner.settled)
            }
        port = hub.listen(settings.linkAddress, entries::serve)
        control.start()
        val ready = { control.lease.held && !gate.leaving }
        ObservabilityServer(process.observability, telemetry.registry, ready).use {
            logger.info { "agent of ${settings.upstream} listens on ${settings.linkAddress.host}:$port" }
            awaitStop()
            leave(gate, control, entries)
            withTimeoutOrNull(process.drainMillis) { settlement.flush() }
            control.close()
        }
    }

    private suspend fun leave(
        gate: Gate,
        control: ControlClient,
        entries: EntryService,
    ) {
        gate.leaving = true
        control.hurry()
        val idle = withTimeoutOrNull(process.drainMillis) { entries.awaitIdle() }
        if (idle ==
            null
        ) {
            logger.warn { "expected no running attempt after ${process.drainMillis} ms: ${entries.load()}" }
        }
    }
}
