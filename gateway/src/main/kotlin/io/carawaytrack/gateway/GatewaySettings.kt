/*
 * What a gateway is given at its start: its settings, the receivers of its measurements, and what its host knows.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.FleetRollout
import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.KnownUpstream
import io.carawaytrack.fleet.RolloutBounds
import io.carawaytrack.limits.QueueRefusal
import io.carawaytrack.limits.RetrySettings
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.ZoneName
import io.carawaytrack.routing.load.AbandonReason

/** Default of [GatewaySettings.timeCriticalTargetMillis]: reading a long prompt takes a large part of such a target. */
public const val DEFAULT_TIME_CRITICAL_TARGET_MILLIS: Long = 1_600

/**
 * Configures a gateway.
 *
 * @property callers address on which callers are accepted
 * @property zone availability zone of this host
 * @property retries limits on the retries that all hosts together may send to a service
 * @property rollouts limits on the exposure of requests to a bad version
 * @property bodyMemoryBytes memory for the bodies of large requests together
 * @property timeCriticalTargetMillis latency target of a streaming route below which its engines are time-critical
 * @property zoneCrossingCostMillis operator's price of a request that leaves the zone of this host, as a time
 */
public data class GatewaySettings(
    val callers: HostPort,
    val zone: ZoneName,
    val retries: RetrySettings,
    val rollouts: RolloutBounds = RolloutBounds(),
    val bodyMemoryBytes: Long = defaultBodyMemoryBytes(),
    val timeCriticalTargetMillis: Long = DEFAULT_TIME_CRITICAL_TARGET_MILLIS,
    val zoneCrossingCostMillis: Double = 0.0,
)

/**
 * Load of a pool of engines whose requests are placed by expected time.
 *
 * @property unreadTokens prompt tokens that its engines have not read yet, weighed by model
 * @property pace mean momentary slowness that its engines state, 1 means as usual
 */
public data class EnginePoolLoad(
    val unreadTokens: Double,
    val pace: Double,
)

/**
 * Describes a request that has ended.
 *
 * @property failure null for a complete response from an upstream
 * @property firstByteMillis time to the first byte of a response; null when there was none
 */
public data class EndedRequest(
    val organisation: OrganisationName?,
    val route: String,
    val failure: ErrorKind?,
    val execution: Execution,
    val tookMillis: Long,
    val firstByteMillis: Long?,
)

/**
 * Describes a request that leaves the queue of a pool whose callers compete.
 *
 * @property work amount of work that an upstream receives: tokens to read, weighed by model, or 1 for a call
 * @property refusal null if the request is sent to an upstream
 */
public data class QueueExit(
    val pool: PoolName,
    val organisation: OrganisationName?,
    val waitedMillis: Long,
    val work: Double,
    val refusal: QueueRefusal?,
)

/**
 * Receives the gateway's measurements; all calls are made on the event loop.
 *
 * @property requestEnded called for each request that matched a route
 * @property attemptEnded called for each attempt with its upstream and whether it succeeded
 * @property retryDecided called for each retry that the budget of a pool granted (true) or denied
 * @property requestStarted called once for each request with its organisation, when a response first shows that an
 * upstream has begun to run it
 * @property responseRejected called with the fault of each invalid response from an upstream of a pool
 * @property upstreamAbandoned called for each attempt that left an unresponsive upstream of a pool
 * @property answerKept called with the model of each answer that is kept only because the engines of a pool are busy
 * @property queueLeft called for each attempt and refusal of a pool whose callers compete
 */
public class GatewayMeters(
    public val requestEnded: (EndedRequest) -> Unit = {},
    public val attemptEnded: (FleetUpstream, Boolean) -> Unit = { _, _ -> },
    public val retryDecided: (PoolName, RetryReason, Boolean) -> Unit = { _, _, _ -> },
    public val requestStarted: (OrganisationName?) -> Unit = {},
    public val responseRejected: (PoolName, String) -> Unit = { _, _ -> },
    public val upstreamAbandoned: (PoolName, AbandonReason) -> Unit = { _, _ -> },
    public val answerKept: (PoolName, String) -> Unit = { _, _ -> },
    public val queueLeft: (QueueExit) -> Unit = {},
)

/**
 * Supplies what this host knows of its fleet at the time of a call.
 *
 * @property upstreams the announced upstreams
 * @property rolloutElapsedMillis time since a roll-out began
 */
public class FleetKnowledge(
    public val upstreams: () -> Collection<KnownUpstream>,
    public val rolloutElapsedMillis: (FleetRollout) -> Long,
)
