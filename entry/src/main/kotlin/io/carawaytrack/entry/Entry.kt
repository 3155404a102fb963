/*
 * One entry: its parts, joined, from the start to the graceful shutdown.
 */
package io.carawaytrack.entry

import io.carawaytrack.limits.MemoryBudget
import io.carawaytrack.limits.MemorySettings
import io.carawaytrack.limits.RetryBudget
import io.carawaytrack.limits.RetrySettings
import io.carawaytrack.membership.ControlClient
import io.carawaytrack.membership.ControlClientPorts
import io.carawaytrack.model.NodeRole
import io.carawaytrack.process.monotonicMillis
import io.carawaytrack.process.openTelemetry
import io.carawaytrack.routing.Planner
import io.carawaytrack.routing.UpstreamChooser
import io.carawaytrack.telemetry.EntryMetrics
import io.carawaytrack.telemetry.MemoryMetrics
import io.carawaytrack.telemetry.ObservabilityServer
import io.carawaytrack.telemetry.watchLease
import io.carawaytrack.wire.LinkHub
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/** Largest part of an answer that an agent sends at once, in bytes; a stream may overdraw its window by one. */
private const val LARGEST_PART_BYTES = 16 * 1024L

internal class Entry(
    private val settings: EntrySettings,
) {
    private val process = settings.process
    private val telemetry = process.openTelemetry(NodeRole.Entry)
    private val metrics = EntryMetrics(telemetry.registry)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val hub = LinkHub(process.identity(NodeRole.Entry), process.sharedSecret(), ::monotonicMillis)
    private val chooser = UpstreamChooser(process.zone, ::monotonicMillis, Random(System.nanoTime()))
    private val control =
        ControlClient(
            settings.control,
            ControlClientPorts(
                connect = hub::connect,
                nowMillis = ::monotonicMillis,
                onConfiguration = metrics::inForce,
                onMembership = chooser::update,
            ),
        )
    private val ledger = LedgerClient(scope, control)
    private val rating = settings.ratingAddress?.let(::RatingClient)

    @Volatile
    private var stopping = false

    @Volatile
    private var refusing = false

    suspend fun run(awaitStop: suspend () -> Unit) {
        control.start()
        watchLease(telemetry.registry, control.lease::remainingMillis)
        val api = api()
        val server = api.start(settings.callerAddress, settings.receiveMillis)
        val ready = { control.lease.held && control.configuration.number > 0 && !stopping }
        ObservabilityServer(process.observability, telemetry.registry, ready).use {
            logger.info { "entry ${process.node} listens on ${settings.callerAddress}" }
            awaitStop()
            stop(api)
            // A request is no longer open once its answer is queued; the server has yet to send it to a slow caller.
            server.stop(gracePeriodMillis = process.drainMillis, timeoutMillis = process.drainMillis)
        }
        close()
    }

    private fun api(): CallerApi {
        val reader = RequestReader(RouteTables(control::configuration), settings, ::monotonicMillis)
        val mayAccept = acceptance({ control.lease.held }, { refusing })
        val writer = ReplyWriter(scope, metrics, System::nanoTime)
        return CallerApi(scope, reader, handler(), writer, telemetry, metrics, System::nanoTime, mayAccept)
    }

    private fun handler() = RequestHandler(
        scope = scope,
        planner = Planner(Random(System.nanoTime())),
        dispatcher = dispatcher(),
        ledger = ledger,
        pins = SessionPins(),
        configuration = control::configuration,
        wallClockMillis = System::currentTimeMillis,
        nowMillis = ::monotonicMillis,
        metrics = metrics,
    ) { request, version, answer -> rating?.rate(request, version, answer) }

    private fun dispatcher() = Dispatcher(
        chooser = chooser,
        links = AgentLinks(scope, hub::connect, memory()),
        lease = control.lease,
        configuration = control::configuration,
        nowMillis = ::monotonicMillis,
        windowBytes = settings.windowBytes,
        retries = RetryBudget(RetrySettings(), ::monotonicMillis),
        metrics = metrics,
    )

    private fun memory(): AnswerMemory {
        val limits =
            MemorySettings(
                hardBytes = settings.memoryBudgetBytes,
                streamBytes = settings.windowBytes + LARGEST_PART_BYTES,
            )
        val budget = MemoryBudget(limits, ::monotonicMillis)
        return AnswerMemory(budget, MemoryMetrics(telemetry.registry, settings.memoryBudgetBytes, budget::usedBytes))
    }

    /** Lets the balancer notice first, so that no caller meets a closed door, then finishes what is open. */
    private suspend fun stop(api: CallerApi) {
        stopping = true
        delay(settings.drainNoticeMillis)
        refusing = true
        val idle =
            withTimeoutOrNull(process.drainMillis) {
                api.awaitIdle()
                ledger.awaitSettled()
            }
        if (idle == null) logger.warn { "expected no open request after ${process.drainMillis} ms" }
    }

    private suspend fun close() {
        control.close()
        rating?.close()
        hub.drain()
        hub.close()
        scope.cancel()
        telemetry.close()
    }
}
