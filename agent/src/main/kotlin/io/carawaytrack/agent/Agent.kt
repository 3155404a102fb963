/*
 * Assembles the components of an agent and runs them from start to graceful shutdown.
 */
package io.carawaytrack.agent

import io.carawaytrack.limits.AdmissionQueue
import io.carawaytrack.limits.AdmissionSettings
import io.carawaytrack.limits.Quarantine
import io.carawaytrack.limits.QuarantineSettings
import io.carawaytrack.limits.SlowStart
import io.carawaytrack.limits.SlowStartSettings
import io.carawaytrack.membership.ControlClient
import io.carawaytrack.membership.ControlClientPorts
import io.carawaytrack.model.Announcement
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.process.monotonicMillis
import io.carawaytrack.process.openTelemetry
import io.carawaytrack.telemetry.AgentMetrics
import io.carawaytrack.telemetry.ObservabilityServer
import io.carawaytrack.telemetry.registerLeaseGauge
import io.carawaytrack.wire.LinkHub
import io.carawaytrack.wire.OpenAttempt
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.withTimeoutOrNull

private val logger = KotlinLogging.logger {}

/**
 * Disables resets of the slow start by latency: the latency of a plain service depends on the request, not on whether
 * it is warm.
 */
private const val LATENCY_FACTOR_DISABLED = 1e9

internal class Agent(
    private val settings: AgentSettings,
) {
    private val process = settings.process
    private val telemetry = process.openTelemetry(NodeRole.Agent)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val hub = LinkHub(process.identity(NodeRole.Agent), process.sharedSecret(), ::monotonicMillis)
    private val upstream = UpstreamClient(settings.upstreamAddress)
    private val incarnation = System.currentTimeMillis()
    private val quarantine = Quarantine(process.node, QuarantineSettings(), ::monotonicMillis)
    private val control: ControlClient =
        ControlClient(
            settings.control,
            ControlClientPorts(
                connect = hub::connect,
                nowMillis = ::monotonicMillis,
                announcement = ::announcement,
                suspects = quarantine::report,
                onSuspects = quarantine::merge,
            ),
        )
    private val admissionCheck =
        AdmissionCheck(settings.upstream, process.zone, settings.versions, control.lease, control::configuration)
    private val metrics = AgentMetrics(telemetry.registry, ::load)
    private val admission = AdmissionQueue(AdmissionSettings(), ::monotonicMillis, ::permits)
    private val health: UpstreamHealth =
        UpstreamHealth(
            upstream = settings.upstream,
            scope = scope,
            slowStart = SlowStart(slowStartSettings(), ::monotonicMillis),
            quarantine = quarantine,
            metrics = metrics,
            probe = upstream::probe,
            onPermits = admission::permitsChanged,
        )
    private val settlement = Settlement(scope, control, settings.settleMillis, System::currentTimeMillis)
    private val entryService: EntryService = EntryService(scope, entryServicePorts())

    @Volatile
    private var port = settings.linkAddress.port

    suspend fun run(awaitStop: suspend () -> Unit) {
        port = hub.listen(settings.linkAddress, entryService::serve)
        registerLeaseGauge(telemetry.registry, control.lease::remainingMillis)
        control.start()
        val ready = { control.lease.held && !admissionCheck.shuttingDown }
        ObservabilityServer(process.observability, telemetry.registry, ready).use {
            logger.info { "agent of ${settings.upstream} listens on ${settings.linkAddress.host}:$port" }
            awaitStop()
            drain()
        }
        close()
    }

    private fun entryServicePorts(): EntryServicePorts = EntryServicePorts(
        admissionCheck = admissionCheck,
        health = health,
        admission = admission,
        configuration = control::configuration,
        runUpstream = ::runInSpan,
        metrics = metrics,
        nowMillis = ::monotonicMillis,
    ) { outcome, runner ->
        if (outcome.failure == null) settlement.track(outcome, runner.settled)
    }

    private suspend fun runInSpan(
        attempt: OpenAttempt,
        sink: AnswerSink,
    ) {
        val attributes = mapOf("request" to attempt.request.value, "version" to attempt.version.toString())
        telemetry.span("agent", attempt.traceparent, attributes).use { span ->
            upstream.run(attempt, span.traceparent, sink)
        }
    }

    private fun slowStartSettings(): SlowStartSettings {
        val slowStart =
            SlowStartSettings(
                initialPermits = minOf(settings.coldPermits, settings.maxPermits),
                maxPermits = settings.maxPermits,
                rampMillis = settings.rampMillis,
            )
        if (settings.kind == ServiceKind.Model) return slowStart
        return slowStart.copy(
            healthyLatencyFactor = LATENCY_FACTOR_DISABLED,
            degradedLatencyFactor = LATENCY_FACTOR_DISABLED,
        )
    }

    private fun permits(): Int = health.permits

    private fun load(): UpstreamLoad = entryService.load()

    private fun announcement(): Announcement = Announcement(
        upstream = settings.upstream,
        zone = process.zone,
        agentHost = settings.linkAddress.host,
        agentPort = port,
        incarnation = incarnation,
        versions = settings.versions,
        load = load(),
        leaving = admissionCheck.shuttingDown,
    )

    /** Refuses new attempts, announces the shutdown, waits for running attempts and commits all unsettled outcomes. */
    private suspend fun drain() {
        admissionCheck.shuttingDown = true
        control.sendHeartbeatNow()
        val drained =
            withTimeoutOrNull(process.drainMillis) {
                entryService.awaitIdle()
                settlement.flush()
            }
        if (drained ==
            null
        ) {
            logger.warn { "attempts or their settlements not finished within ${process.drainMillis} ms: ${load()}" }
        }
    }

    private suspend fun close() {
        control.close()
        hub.drain()
        hub.close()
        scope.cancel()
        telemetry.close()
    }
}
