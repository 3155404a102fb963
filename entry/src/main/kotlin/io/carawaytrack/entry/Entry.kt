/*
 * Assembles the components of an entry and runs them from start to graceful shutdown.
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
import io.carawaytrack.telemetry.registerLeaseGauge
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

/** Maximum size of an answer chunk sent by an agent; a stream may exceed its window by one chunk. */
private const val MAX_CHUNK_BYTES = 16 * 1024L

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
    private val ratingClient = settings.ratingAddress?.let(::RatingClient)

    @Volatile
    private var shuttingDown = false

    @Volatile
    private var rejectingRequests = false

    suspend fun run(awaitStop: suspend () -> Unit) {
        control.start()
        registerLeaseGauge(telemetry.registry, control.lease::remainingMillis)
        val api = api()
        val server = api.start(settings.callerAddress, settings.receiveTimeoutMillis)
        val ready = { control.lease.held && control.configuration.number > 0 && !shuttingDown }
        ObservabilityServer(process.observability, telemetry.registry, ready).use {
            logger.info { "entry ${process.node} listens on ${settings.callerAddress}" }
            awaitStop()
            drain(api)
            // A request counts as open until its answer is queued; the server may still be sending it to a slow caller.
            server.stop(gracePeriodMillis = process.drainMillis, timeoutMillis = process.drainMillis)
        }
        close()
    }

    private fun api(): CallerApi {
        val reader = RequestReader(RouteTableCache(control::configuration), settings, ::monotonicMillis)
        val admissionFailure = admissionCheck({ control.lease.held }, { rejectingRequests })
        val writer = ReplyWriter(scope, metrics, System::nanoTime)
        return CallerApi(scope, reader, handler(), writer, telemetry, metrics, System::nanoTime, admissionFailure)
    }

    private fun handler() = RequestHandler(
        scope = scope,
        planner = Planner(Random(System.nanoTime())),
        dispatcher = dispatcher(),
        ledger = ledger,
        sessionVersions = SessionVersionCache(),
        configuration = control::configuration,
        wallClockMillis = System::currentTimeMillis,
        nowMillis = ::monotonicMillis,
        metrics = metrics,
    ) { request, version, answer -> ratingClient?.rate(request, version, answer) }

    private fun dispatcher() = Dispatcher(
        chooser = chooser,
        links = AgentLinks(scope, hub::connect, answerMemory()),
        lease = control.lease,
        configuration = control::configuration,
        nowMillis = ::monotonicMillis,
        windowBytes = settings.windowBytes,
        retryBudget = RetryBudget(RetrySettings(), ::monotonicMillis),
        metrics = metrics,
    )

    private fun answerMemory(): AnswerMemoryLimiter {
        val limits =
            MemorySettings(
                hardBytes = settings.memoryBudgetBytes,
                streamBytes = settings.windowBytes + MAX_CHUNK_BYTES,
            )
        val budget = MemoryBudget(limits, ::monotonicMillis)
        return AnswerMemoryLimiter(
            budget,
            MemoryMetrics(telemetry.registry, settings.memoryBudgetBytes, budget::usedBytes),
        )
    }

    /**
     * Reports unready, gives the load balancer time to react, and only then rejects new requests, so that a shutdown
     * refuses no caller. Then waits for open requests to complete.
     */
    private suspend fun drain(api: CallerApi) {
        shuttingDown = true
        delay(settings.drainNoticeMillis)
        rejectingRequests = true
        val drained =
            withTimeoutOrNull(process.drainMillis) {
                api.awaitIdle()
                ledger.awaitPendingOutcomes()
            }
        if (drained == null) logger.warn { "requests or their outcomes still open after ${process.drainMillis} ms" }
    }

    private suspend fun close() {
        control.close()
        hub.drain()
        hub.close()
        scope.cancel()
        telemetry.close()
    }
}
