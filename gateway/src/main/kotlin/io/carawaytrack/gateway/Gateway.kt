/*
 * The gateway of one host between callers and upstreams: it matches requests against the routing tables, dispatches
 * them, and tracks the state of the upstreams. All of it runs on one event loop, so no state is shared between threads.
 */
package io.carawaytrack.gateway

import com.dynatrace.hash4j.hashing.Hashing
import io.carawaytrack.fleet.CallerLimits
import io.carawaytrack.fleet.Catalog
import io.carawaytrack.fleet.CatalogPool
import io.carawaytrack.fleet.CatalogRoute
import io.carawaytrack.fleet.CrashReport
import io.carawaytrack.fleet.Deregistration
import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.FleetView
import io.carawaytrack.fleet.HostFigures
import io.carawaytrack.fleet.KnownUpstream
import io.carawaytrack.fleet.RolloutTally
import io.carawaytrack.fleet.RouteMatch
import io.carawaytrack.fleet.UpstreamLoad
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.notRun
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus

/** Interval at which deadlines, unresponsive upstreams and queued requests are checked. */
public const val GATEWAY_TICK_MILLIS: Long = 100

/** Number of ticks between two checks for idle connections. */
private const val TICKS_PER_PRUNE = 10

/** Retry-After when no upstream is available: a crashed one has restarted by then. */
internal const val NO_UPSTREAM_RETRY_AFTER_MILLIS = 800L

/** Serves callers; must only be used on its event loop. */
public interface Gateway :
    FigureSource,
    AutoCloseable {
    /** Number of requests whose response is not complete. */
    public val unfinished: Int

    /** Bytes of responses that have not been sent because their callers read slowly, also of finished requests. */
    public val unsentBytes: Long

    /** Bytes of requests that have not been received in full. */
    public val partialBodyBytes: Long

    /** Number of [unfinished] requests that wait for an upstream with free capacity. */
    public val waiting: Int

    /** Number of upstreams that state a limit on their rate of requests, by pool. */
    public val limitedUpstreams: Map<PoolName, Int>

    /** Load of the pools of engines whose requests are placed by expected time. */
    public val engineLoads: Map<PoolName, EnginePoolLoad>

    /** Share of this host's requests that may leave the zone, by pool that decides it. */
    public val crossingShares: Map<PoolName, Double>

    /** Latency that a request sees which leaves the zone; null while it is unknown. */
    public var crossingMillis: Double?

    /** Puts [catalog] in force for requests that arrive from now on. */
    public fun apply(catalog: Catalog)

    /** Applies roll-outs and evacuated zones. */
    public fun apply(view: FleetView)

    /** Handles an announcement of an upstream. */
    public fun updateUpstream(known: KnownUpstream)

    /** Handles the deregistration of an upstream. */
    public fun removeUpstream(deregistration: Deregistration)

    /** Applies a load report that another host received from an upstream. */
    public fun applyLoad(load: UpstreamLoad)

    /** Returns the load reports that upstreams sent to this host since the last call, the newest one of each. */
    public fun takeLoads(): List<UpstreamLoad>

    /** Applies a report of crashed upstreams from another host. */
    public fun applyCrashes(report: CrashReport)

    /** Returns what this host found out about crashed upstreams since the last call; null if there is nothing. */
    public fun takeCrashReport(): CrashReport?

    /** Returns all that this host knows about crashed upstreams. */
    public fun crashReport(): CrashReport

    /** Sets the number of [hosts] that share the upstreams' limits. */
    public fun setHostCount(hosts: Int)

    /** Returns the outcomes that this host has observed for each running roll-out. */
    public fun tallies(): List<RolloutTally>

    /** Returns whether an upstream of [pool] runs [version] and can accept requests. */
    public fun serves(
        pool: PoolName,
        version: String,
    ): Boolean

    /** Checks deadlines, unresponsive upstreams and queued requests; to be called about every [GATEWAY_TICK_MILLIS]. */
    public fun tick()

    /**
     * Starts a graceful shutdown that ends in [remainingMillis]: new connections are no longer accepted, idle ones are
     * closed, and the others are closed after their current response. Refuses new streams, and calls that may take
     * longer than the remaining time. Requests that are in progress at the end get an error or a truncated stream.
     */
    public fun drain(remainingMillis: Long)
}

/**
 * Starts a gateway on [group], which must have a single event loop; [crashRecorded] is called when this host has
 * detected a crash, before any request that was in progress at it ends.
 */
public fun Gateway(
    settings: GatewaySettings,
    headerNames: HeaderNames,
    group: EventLoopGroup,
    fleet: FleetKnowledge,
    meters: GatewayMeters = GatewayMeters(),
    crashRecorded: () -> Unit = {},
    nowMillis: () -> Long,
): Gateway = EventLoopGateway(settings, headerNames, group, fleet, meters, crashRecorded, nowMillis).also { it.start() }

private class EventLoopGateway(
    private val settings: GatewaySettings,
    private val headerNames: HeaderNames,
    group: EventLoopGroup,
    private val fleet: FleetKnowledge,
    meters: GatewayMeters,
    crashRecorded: () -> Unit,
    private val nowMillis: () -> Long,
) : Gateway {
    private val callers =
        CallerConnections(
            group,
            CallerEvents(::accept, ::refuseMalformed, { catalog?.limits ?: CallerLimits() }, { endsAtMillis != null }),
            BodyMemory(settings.bodyMemoryBytes),
            nowMillis,
        )
    private val connections = UpstreamConnections(group, nowMillis)
    private val rollouts = RolloutTracker(settings.rollouts, fleet.rolloutElapsedMillis)
    private val upstreams =
        UpstreamDirectory(settings.zone, rollouts, connections, settings.zoneCrossingCostMillis, nowMillis)
    private val dispatcher =
        Dispatcher(settings, headerNames, upstreams, rollouts, connections, meters, crashRecorded, nowMillis)
    private var catalog: Catalog? = null
    private var endsAtMillis: Long? = null
    private var ticks = 0L
    private var serverChannel: Channel? = null

    override val unfinished: Int get() = dispatcher.unfinished

    override val unsentBytes: Long get() = callers.unsentBytes

    override val partialBodyBytes: Long get() = callers.partialBodyBytes

    override val waiting: Int get() = dispatcher.waiting

    override val limitedUpstreams: Map<PoolName, Int> get() = upstreams.reports.limited()

    override val engineLoads: Map<PoolName, EnginePoolLoad> get() = upstreams.enginePools.loads

    override val crossingShares: Map<PoolName, Double> get() = upstreams.zones.shares

    override var crossingMillis: Double?
        get() = upstreams.zones.crossingMillis
        set(value) {
            upstreams.zones.crossingMillis = value
        }

    fun start() {
        serverChannel = callers.listen(settings.callers)
    }

    override fun apply(catalog: Catalog) {
        this.catalog = catalog
        upstreams.apply(catalog, settings.timeCriticalTargetMillis)
        dispatcher.apply(catalog)
    }

    override fun apply(view: FleetView) {
        upstreams.apply(view) { pool -> catalog?.pools?.get(pool)?.coldStartMillis ?: 0 }
        dispatcher.sendQueued()
    }

    override fun updateUpstream(known: KnownUpstream) {
        upstreams.update(known)
        logEvent("upstream_changed", fieldsOf(known.upstream))
        dispatcher.sendQueued()
    }

    override fun removeUpstream(deregistration: Deregistration) {
        if (upstreams.remove(deregistration)) logEvent("upstream_gone", mapOf("upstream" to deregistration.id.value))
    }

    override fun applyLoad(load: UpstreamLoad) = upstreams.reports.applyFromHost(load)

    override fun takeLoads(): List<UpstreamLoad> = upstreams.reports.take()

    override fun takeFigures(): HostFigures =
        upstreams.takeFigures().copy(admittedWork = dispatcher.admittedWork.shared())

    override fun applyFigures(others: HostFigures) {
        upstreams.applyFigures(others)
        dispatcher.admittedWork.applyOthers(others.admittedWork)
    }

    override fun applyCrashes(report: CrashReport) = dispatcher.quarantine.merge(report)

    override fun takeCrashReport(): CrashReport? = dispatcher.quarantine.takeReport()

    override fun crashReport(): CrashReport = dispatcher.quarantine.report()

    override fun setHostCount(hosts: Int) = upstreams.updateHosts(hosts)

    override fun tallies(): List<RolloutTally> = dispatcher.tallies()

    override fun serves(
        pool: PoolName,
        version: String,
    ): Boolean = upstreams.serves(pool, version)

    override fun drain(remainingMillis: Long) {
        endsAtMillis = nowMillis() + remainingMillis
        serverChannel?.close()
        callers.closeIdle()
    }

    private fun accept(
        request: HttpRequest,
        body: ByteBuf,
        caller: CallerConnection,
    ) {
        val inForce = catalog
        if (inForce == null) {
            return refuse(request, body, caller, ErrorKind.StaleConfiguration, NO_UPSTREAM_RETRY_AFTER_MILLIS)
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
                val pool = choosePool(match.route, request.headers()[headerNames.attemptId].orEmpty(), inForce)
                val ranksByRoute = pool != null && upstreams.enginePools.isTimeCritical(pool.name)
                val callerRequest = readRequest(request, body, match, headerNames, nowMillis(), ranksByRoute)
                dispatcher.begin(callerRequest, pool, caller, endsAtMillis)
            }
        }
    }

    /**
     * Selects a pool by weight from a hash of the request's [id], so that all hosts select the same pool for a request.
     */
    private fun choosePool(
        route: CatalogRoute,
        id: String,
        inForce: Catalog,
    ): CatalogPool? {
        val total = route.shares.sumOf { it.weight.toLong() }
        var point = (unitHash(id) * total).toLong()
        val share = route.shares.firstOrNull { share -> (point < share.weight).also { point -= share.weight } }
        return share?.let { inForce.pools[it.pool] }
    }

    private fun refuseMalformed(
        caller: CallerConnection,
        status: HttpResponseStatus,
    ) {
        logEvent("request_malformed", mapOf("status" to status.code()))
        val reply = localReplyTo(ErrorKind.MalformedRequest.notRun())
        caller.respond(status, reply.headers, reply.content)
    }

    private fun refuse(
        request: HttpRequest,
        body: ByteBuf,
        caller: CallerConnection,
        kind: ErrorKind,
        retryAfterMillis: Long? = null,
    ) {
        body.release()
        val id = request.headers()[headerNames.attemptId]
        val fields = mapOf("requestId" to id, "reason" to kind.name, "configuration" to catalog?.version)
        logEvent("request_refused", fields)
        val reply = localReplyTo(kind.notRun(retryAfterMillis = retryAfterMillis))
        caller.respond(HttpResponseStatus.valueOf(reply.status), reply.headers, reply.content)
    }

    override fun tick() {
        upstreams.refresh(fleet.upstreams())
        upstreams.enginePools.tick()
        upstreams.zones.update()
        dispatcher.tick()
        endsAtMillis?.let { if (nowMillis() >= it) dispatcher.endAll() }
        if (++ticks % TICKS_PER_PRUNE == 0L) prune()
    }

    private fun prune() {
        connections.prune()
        callers.prune()
        if (endsAtMillis != null) callers.closeIdle()
    }

    override fun close() {
        serverChannel?.close()
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

/** Returns a hash of [text] in the range from 0 (inclusive) to 1 (exclusive). */
internal fun unitHash(text: String): Double =
    (Hashing.komihash5_0().hashCharsToLong(text) ushr UNIT_SHIFT).toDouble() / (1L shl UNIT_BITS)

private const val UNIT_BITS = 53
private const val UNIT_SHIFT = Long.SIZE_BITS - UNIT_BITS
