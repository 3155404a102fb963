/*
 * One host's way from callers to upstreams: it matches requests with the tables, places them, and keeps what it learns
 * of the upstreams. Everything runs on one event loop, so nothing here is shared between threads.
 */
package io.carawaytrack.gateway

import com.dynatrace.hash4j.hashing.Hashing
import io.carawaytrack.fleet.CallerLimits
import io.carawaytrack.fleet.Catalog
import io.carawaytrack.fleet.CatalogPool
import io.carawaytrack.fleet.CatalogRoute
import io.carawaytrack.fleet.Deregistration
import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.FleetView
import io.carawaytrack.fleet.KnownUpstream
import io.carawaytrack.fleet.RolloutBounds
import io.carawaytrack.fleet.RolloutTally
import io.carawaytrack.fleet.RouteMatch
import io.carawaytrack.limits.RetrySettings
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.ZoneName
import io.carawaytrack.model.notRun
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus

/** Interval at which deadlines, silent upstreams and waiting requests are looked at, in milliseconds. */
public const val GATEWAY_TICK_MILLIS: Long = 100

/** Ticks between two looks at idle connections. */
private const val TICKS_PER_PRUNE = 10

/** When a caller that found no upstream at all may come back, in milliseconds: a crashed one is back by then. */
internal const val NOBODY_RETRY_MILLIS = 800L

/**
 * Sets up a gateway.
 *
 * @property retries bounds on what all hosts together may send once more to a service
 */
public data class GatewaySettings(
    val callers: HostPort,
    val zone: ZoneName,
    val retries: RetrySettings,
    val rollouts: RolloutBounds = RolloutBounds(),
)

/**
 * Describes a request that has ended.
 *
 * @property failure null for a complete answer of an upstream
 * @property firstByteMillis time to the first byte of an answer; null where none came
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
 * Takes what a gateway counts; all calls come on the event loop.
 *
 * @property requestEnded hears of each request that a route took
 * @property attemptEnded hears of each attempt, and whether it was good
 */
public class GatewayMeters(
    public val requestEnded: (EndedRequest) -> Unit = {},
    public val attemptEnded: (FleetUpstream, Boolean) -> Unit = { _, _ -> },
)

/** Serves callers; to be used on its event loop only. */
public interface Gateway : AutoCloseable {
    /** Requests that have not been answered to the end. */
    public val unfinished: Int

    /** Requests among them that wait for an upstream with room. */
    public val waiting: Int

    /** Puts [catalog] in force for requests that arrive from now on. */
    public fun apply(catalog: Catalog)

    /** Takes in roll-outs and zones that are out. */
    public fun apply(view: FleetView)

    /** Takes in an announcement. */
    public fun changed(known: KnownUpstream)

    /** Takes in that an upstream has signed off. */
    public fun gone(departure: Deregistration)

    /** Takes in that [hosts] hosts share what upstreams bear. */
    public fun sharedBy(hosts: Int)

    /** Returns what this host has seen of each running roll-out. */
    public fun tallies(): List<RolloutTally>

    /** Returns whether an upstream of [pool] runs [version] and can take requests. */
    public fun serves(
        pool: PoolName,
        version: String,
    ): Boolean

    /** Looks at deadlines, silent upstreams and waiting requests; to be called about every [GATEWAY_TICK_MILLIS]. */
    public fun tick()

    /**
     * Begins a graceful shutdown: no connection is accepted any more, idle ones are closed, the others end with their
     * answers, and streams, which might not end in time, are refused.
     */
    public fun drain()
}

/** Starts a gateway on the one event loop of [group]. */
public fun Gateway(
    settings: GatewaySettings,
    vocabulary: HeaderVocabulary,
    group: EventLoopGroup,
    heard: () -> Collection<KnownUpstream>,
    meters: GatewayMeters = GatewayMeters(),
    nowMillis: () -> Long,
): Gateway = LoopGateway(settings, vocabulary, group, heard, meters, nowMillis).also { it.start() }

private class LoopGateway(
    private val settings: GatewaySettings,
    private val vocabulary: HeaderVocabulary,
    group: EventLoopGroup,
    private val heard: () -> Collection<KnownUpstream>,
    meters: GatewayMeters,
    private val nowMillis: () -> Long,
) : Gateway {
    private val callers =
        CallerConnections(
            group,
            CallerEvents(::accept, ::malformed, { catalog?.limits ?: CallerLimits() }, { draining }),
            nowMillis,
        )
    private val connections = UpstreamConnections(group, nowMillis)
    private val rollouts = RolloutWatch(settings.rollouts, nowMillis)
    private val upstreams = UpstreamDirectory(settings.zone, rollouts, connections, nowMillis)
    private val dispatch = Dispatch(settings, vocabulary, upstreams, rollouts, connections, meters, nowMillis)
    private var catalog: Catalog? = null
    private var draining = false
    private var ticks = 0L
    private var listening: Channel? = null

    override val unfinished: Int get() = dispatch.unfinished

    override val waiting: Int get() = dispatch.waiting

    fun start() {
        listening = callers.listen(settings.callers)
    }

    override fun apply(catalog: Catalog) {
        this.catalog = catalog
        dispatch.configuration = catalog.version
    }

    override fun apply(view: FleetView) {
        upstreams.apply(view) { pool -> catalog?.pools?.get(pool)?.coldStartMillis ?: 0 }
        dispatch.offerWaiting()
    }

    override fun changed(known: KnownUpstream) {
        upstreams.changed(known)
        logEvent("upstream_changed", fieldsOf(known.upstream))
        dispatch.offerWaiting()
    }

    override fun gone(departure: Deregistration) {
        if (upstreams.gone(departure)) logEvent("upstream_gone", mapOf("upstream" to departure.id.value))
    }

    override fun sharedBy(hosts: Int) {
        upstreams.hosts = maxOf(1, hosts)
    }

    override fun tallies(): List<RolloutTally> = dispatch.tallies()

    override fun serves(
        pool: PoolName,
        version: String,
    ): Boolean = upstreams.serves(pool, version)

    override fun drain() {
        draining = true
        listening?.close()
        callers.closeIdle()
    }

    private fun accept(
        request: HttpRequest,
        body: ByteBuf,
        caller: CallerConnection,
    ) {
        val inForce = catalog
        if (inForce == null) {
            return refuse(request, body, caller, ErrorKind.StaleConfiguration, NOBODY_RETRY_MILLIS)
        }
        val path = request.uri().substringBefore('?')
        val host =
            request
                .headers()[HttpHeaderNames.HOST]
                ?.substringBefore(':')
                ?.lowercase()
                .orEmpty()
        when (val match = inForce.match(host, path, bearerKey(request.headers()))) {
            RouteMatch.NoRoute -> refuse(request, body, caller, ErrorKind.UnknownRoute)
            RouteMatch.UnknownKey -> refuse(request, body, caller, ErrorKind.UnknownKey)
            is RouteMatch.Found -> {
                val read = readRequest(request, body, match, vocabulary, nowMillis())
                dispatch.begin(read, poolOf(match.route, read.id, inForce), caller, draining)
            }
        }
    }

    /** Draws the pool by the weights; the same request gets the same one everywhere. */
    private fun poolOf(
        route: CatalogRoute,
        id: String,
        inForce: Catalog,
    ): CatalogPool? {
        val total = route.shares.sumOf { it.weight }
        var point = (unitHash(id) * total).toInt()
        val share = route.shares.firstOrNull { share -> (point < share.weight).also { point -= share.weight } }
        return share?.let { inForce.pools[it.pool] }
    }

    private fun malformed(
        caller: CallerConnection,
        status: HttpResponseStatus,
    ) {
        logEvent("request_malformed", mapOf("status" to status.code()))
        val own = answerTo(ErrorKind.MalformedRequest.notRun())
        caller.answer(status, own.headers, own.content)
    }

    private fun refuse(
        request: HttpRequest,
        body: ByteBuf,
        caller: CallerConnection,
        kind: ErrorKind,
        retryAfterMillis: Long? = null,
    ) {
        body.release()
        val id = request.headers()[vocabulary.attemptId]
        val fields = mapOf("requestId" to id, "reason" to kind.name, "configuration" to catalog?.version)
        logEvent("request_refused", fields)
        val own = answerTo(kind.notRun(retryAfterMillis = retryAfterMillis))
        caller.answer(HttpResponseStatus.valueOf(own.status), own.headers, own.content)
    }

    override fun tick() {
        upstreams.refresh(heard())
        dispatch.tick()
        if (++ticks % TICKS_PER_PRUNE == 0L) prune()
    }

    private fun prune() {
        connections.prune()
        callers.prune()
        if (draining) callers.closeIdle()
    }

    override fun close() {
        listening?.close()
    }
}

private fun fieldsOf(upstream: FleetUpstream): Map<String, Any?> = mapOf(
    "upstream" to upstream.id.value,
    "pool" to upstream.pool.value,
    "upstreamZone" to upstream.zone.value,
    "version" to upstream.version,
    "leaving" to upstream.draining,
    "coldMillis" to upstream.coldMillis,
    "sequence" to upstream.sequence,
)

/** Returns a number from 0 up to 1 that depends on [text] alone. */
internal fun unitHash(text: String): Double =
    (Hashing.komihash5_0().hashCharsToLong(text) ushr UNIT_SHIFT).toDouble() / (1L shl UNIT_BITS)

private const val UNIT_BITS = 53
private const val UNIT_SHIFT = Long.SIZE_BITS - UNIT_BITS
