/*
 * The program `caraway-entry`: takes callers' requests, decides where they run, and brings the answers back.
 */
package io.carawaytrack.entry

import io.carawaytrack.membership.ControlClient
import io.carawaytrack.membership.ControlClientPorts
import io.carawaytrack.model.NodeRole
import io.carawaytrack.process.monotonicMillis
import io.carawaytrack.process.openTelemetry
import io.carawaytrack.process.orExit
import io.carawaytrack.process.runCommand
import io.carawaytrack.process.runUntilStopped
import io.carawaytrack.routing.Planner
import io.carawaytrack.routing.UpstreamChooser
import io.carawaytrack.tables.readSettings
import io.carawaytrack.telemetry.ObservabilityServer
import io.carawaytrack.wire.LinkHub
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/** Starts an entry from the command line. */
public fun main(arguments: Array<String>): Unit = runCommand(EntryCommand(), arguments)

@Command(name = "caraway-entry", mixinStandardHelpOptions = true, description = ["Takes callers' requests."])
private class EntryCommand : Callable<Int> {
    @Option(names = ["--settings"], required = true, description = ["Settings file in TOML."])
    private lateinit var settingsFile: Path

    override fun call(): Int {
        val settings = readSettings(settingsFile) { entrySettings() }.orExit()
        runUntilStopped { awaitStop -> Entry(settings).run(awaitStop) }
        return 0
    }
}

private class Entry(
    private val settings: EntrySettings,
) {
    private val process = settings.process
    private val telemetry = process.openTelemetry(NodeRole.Entry)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val hub = LinkHub(process.identity(NodeRole.Entry), process.sharedSecret(), ::monotonicMillis)
    private val chooser = UpstreamChooser(process.zone, ::monotonicMillis, Random(System.nanoTime()))
    private val control =
        ControlClient(
            settings.control,
            ControlClientPorts(hub::connect, ::monotonicMillis, onMembership = chooser::update),
        )
    private val ledger = LedgerClient(scope, control)
    private val rating = settings.ratingAddress?.let(::RatingClient)

    @Volatile
    private var stopping = false

    suspend fun run(awaitStop: suspend () -> Unit) {
        control.start()
        val api = api()
        val server = api.start(settings.callerAddress, settings.receiveMillis)
        val ready = { control.lease.held && control.configuration.number > 0 && !stopping }
        ObservabilityServer(process.observability, telemetry.registry, ready).use {
            logger.info { "entry ${process.node} listens on ${settings.callerAddress}" }
            awaitStop()
            stop(api)
            server.stop()
        }
        close()
    }

    private fun api(): CallerApi {
        val links = AgentLinks(scope, hub::connect, chooser::report)
        val dispatcher =
            Dispatcher(
                chooser,
                links,
                control.lease,
                control::configuration,
                ::monotonicMillis,
                settings.windowBytes,
            )
        val handler =
            RequestHandler(
                Planner(Random(System.nanoTime())),
                dispatcher,
                ledger,
                SessionPins(),
                control::configuration,
                System::currentTimeMillis,
                ::monotonicMillis,
            ) { request, version, answer -> rating?.rate(request, version, answer) }
        val reader = RequestReader(RouteTables(control::configuration), settings, ::monotonicMillis)
        return CallerApi(scope, reader, handler, telemetry, acceptance({ control.lease.held }, { stopping }))
    }

    /** Lets the balancer notice first, so that no caller meets a closed door, then finishes what is open. */
    private suspend fun stop(api: CallerApi) {
        stopping = true
        delay(settings.drainNoticeMillis)
        val idle =
            withTimeoutOrNull(process.drainMillis) {
                api.awaitIdle()
                ledger.awaitSettled()
            }
        if (idle == null) logger.warn { "expected no open request after ${process.drainMillis} ms" }
    }

    private fun close() {
        control.close()
        rating?.close()
        hub.close()
        scope.cancel()
        telemetry.close()
    }
}
