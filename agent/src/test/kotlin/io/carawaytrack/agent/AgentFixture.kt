/*
 * Components of an agent with a fake link, an upstream that records its runs, and virtual time.
 */
package io.carawaytrack.agent

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.carawaytrack.fakes.FakeLink
import io.carawaytrack.fakes.testPeer
import io.carawaytrack.ledger.LedgerCommand
import io.carawaytrack.ledger.decodeLedgerCommand
import io.carawaytrack.limits.AdmissionQueue
import io.carawaytrack.limits.AdmissionSettings
import io.carawaytrack.limits.Quarantine
import io.carawaytrack.limits.QuarantineSettings
import io.carawaytrack.limits.SlowStart
import io.carawaytrack.limits.SlowStartSettings
import io.carawaytrack.membership.ControlClient
import io.carawaytrack.membership.Lease
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.Failure
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.Organisation
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.RequestId
import io.carawaytrack.model.Tables
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.model.VersionState
import io.carawaytrack.model.ZoneName
import io.carawaytrack.telemetry.AgentMetrics
import io.carawaytrack.wire.Header
import io.carawaytrack.wire.OpenAttempt
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope

internal const val SETTLE_MILLIS = 10_000L
internal const val ATTEMPT_TIMEOUT_MILLIS = 5_000L
internal val pen = ModelVersion("pen", "1")
internal val upstreamId = UpstreamId("engine-1")
internal val zone = ZoneName("z1")
internal val market = Organisation(OrganisationName("market"), emptyList(), listOf("pen@*"))
internal val inForce = Configuration(number = 1, tables = Tables(organisations = listOf(market)))
internal val jsonHeaders = listOf(Header("content-type", "application/json"))
internal val streamHeaders = listOf(Header("content-type", "text/event-stream"))

internal fun Configuration.withState(state: VersionState) = copy(versionStates = mapOf(pen.toString() to state))

internal fun openAttempt(
    attempt: Long = 1,
    repeatable: Boolean = true,
    pinned: Boolean = false,
    version: ModelVersion = pen,
    organisation: String = market.name.value,
    configurationNumber: Long = 1,
    creditBytes: Long = 1_000,
    method: String = "POST",
    path: String = "/",
    body: ByteArray = ByteArray(0),
) = OpenAttempt(
    attempt = attempt,
    request = RequestId("r$attempt"),
    organisation = OrganisationName(organisation),
    version = version,
    configurationNumber = configurationNumber,
    pinned = pinned,
    repeatable = repeatable,
    method = method,
    path = path,
    headers = emptyList(),
    body = body,
    timeoutMillis = ATTEMPT_TIMEOUT_MILLIS,
    creditBytes = creditBytes,
)

/** Records the commands committed to the ledger. */
internal class FakeControl : ControlClient {
    val committed = mutableListOf<LedgerCommand>()
    override var configuration = inForce
    override val lease = FakeLease()

    override fun start() = Unit

    override fun sendHeartbeatNow() = Unit

    override suspend fun commit(
        command: ByteArray,
        timeoutMillis: Long,
    ): Result<ByteArray, Failure> {
        committed += decodeLedgerCommand(command)
        return Ok(ByteArray(0))
    }

    override fun close() = Unit
}

internal class FakeLease(
    var millis: Long = 1_000,
) : Lease {
    override fun remainingMillis() = millis
}

/** An agent in [scope] whose upstream is [upstream] with [permits]; [runs] lists the attempts that reached it. */
internal class TestAgent(
    scope: CoroutineScope,
    nowMillis: () -> Long,
    permits: Int,
    private val upstream: RunUpstream,
) {
    val runs = mutableListOf<Long>()
    val control = FakeControl()
    val link = FakeLink(testPeer("entry-1", NodeRole.Entry))
    val admissionCheck = AdmissionCheck(upstreamId, zone, listOf(pen), control.lease) { control.configuration }
    private val settlement = Settlement(scope, control, SETTLE_MILLIS) { 0 }
    private val admission = AdmissionQueue(AdmissionSettings(), nowMillis) { permits }
    private val metrics = AgentMetrics(PrometheusRegistry()) { UpstreamLoad(0, 0) }
    private val health =
        UpstreamHealth(
            upstream = upstreamId,
            scope = scope,
            slowStart = SlowStart(SlowStartSettings(initialPermits = permits, maxPermits = permits), nowMillis),
            quarantine = Quarantine(NodeId("agent-1"), QuarantineSettings(), nowMillis),
            metrics = metrics,
            probe = { true },
            onPermits = admission::permitsChanged,
        )
    val entryService =
        EntryService(
            scope,
            EntryServicePorts(admissionCheck, health, admission, { control.configuration }, ::run, metrics, nowMillis) {
                outcome,
                runner,
                ->
                if (outcome.failure == null) settlement.track(outcome, runner.settled)
            },
        )

    private suspend fun run(
        attempt: OpenAttempt,
        sink: AnswerSink,
    ) {
        runs += attempt.attempt
        upstream(attempt, sink)
    }
}
