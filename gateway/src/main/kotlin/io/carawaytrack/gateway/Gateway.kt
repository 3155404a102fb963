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
import io.carawaytrack.fleet.Departure
import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.FleetView
import io.carawaytrack.fleet.KnownUpstream
import io.carawaytrack.fleet.Match
import io.carawaytrack.fleet.RolloutBounds
import io.carawaytrack.fleet.RolloutTally
import io.carawaytrack.limits.RetrySettings
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.ZoneName
import io.carawaytrack.model.notRun
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import java.util.concurrent.TimeUnit

/** Interval at which deadlines, silent upstreams and waiting requests are looked at, in milliseconds. */
private const val TICK_MILLIS = 100L

/** Ticks between two looks at idle connections. */
private const val TICKS_PER_PRUNE = 10

/** When a caller that found no upstream at all may come back, in milliseconds: a crashed one is back by then. */
private const val NOBODY_RETRY_MILLIS = 800L

/** When a caller that found every upstream taken may come back, in milliseconds: some requests have ended by then. */
private const val BUSY_RETRY_MILLIS = 400L

/** When a caller that this host refuses while it stops may come back to another one, in milliseconds: at once. */
private const val SHUTDOWN_RETRY_MILLIS = 20L

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

/** Serves callers; to be used on its event loop only. */
public interface Gateway : AutoCloseable {
    /** Requests that have not been answered to the end. */
    public val unfinished: Int

    /** Puts [catalog] in force for requests that arrive from now on. */
    public fun apply(catalog: Catalog)

    /** Takes in roll-outs and zones that are out. */
    public fun apply(view: FleetView)

    /** Takes in an announcement. */
    public fun changed(known: KnownUpstream)

    /** Takes in that an upstream has signed off. */
    public fun gone(departure: Departure)

    /** Takes in that [hosts] hosts share what upstreams bear. */
    public fun sharedBy(hosts: Int)

    /** Returns what this host has seen of each running roll-out. */
    public fun tallies(): List<RolloutTally>

    /** Returns whether an upstream of [pool] runs [version] and can take requests. */
    public fun serves(
        pool: PoolName,
        version: String,
    ): Boolean

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
    nowMillis: () -> Long,
): Gateway = LoopGateway(settings, vocabulary, group, heard, nowMillis).also { it.start() }

private class LoopGateway(
    private val settings: GatewaySettings,
    override val vocabulary: HeaderVocabulary,
    private val group: EventLoopGroup,
    private val heard: () -> Collection<KnownUpstream>,
    private val nowMillis: () -> Long,
) : Gateway,
    ExchangeHost {
    private val callers =
        CallerConnections(
            group,
            CallerEvents(::accept, ::malformed, { catalog?.limits ?: CallerLimits() }, { draining }),
            nowMillis,
        )
    private val connections = UpstreamConnections(group, nowMillis)
    private val rollouts = RolloutWatch(settings.rollouts, nowMillis)
    private val upstreams = UpstreamDirectory(settings.zone, rollouts, connections, nowMillis)
    private val budgets = RepeatBudgets(settings.retries, { upstreams.hosts }, nowMillis)
    private val models = ModelPolicy()
    private val log = RequestLog(nowMillis)
    private val line = WaitingLine<Exchange>(nowMillis)
    private val active = LinkedHashSet<Exchange>()
    private var catalog: Catalog? = null
    private var view = FleetView()
    private var draining = false
    private var ticks = 0L
    private var listening: Channel? = null

    override val unfinished: Int get() = active.size

    fun start() {
        listening = callers.listen(settings.callers)
        group.next().scheduleAtFixedRate(::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS)
    }

    override fun nowMillis(): Long = nowMillis.invoke()

    override fun apply(catalog: Catalog) {
        this.catalog = catalog
    }

    override fun apply(view: FleetView) {
        this.view = view
        upstreams.apply(view) { pool -> catalog?.pools?.get(pool)?.coldStartMillis ?: 0 }
        retryWaiting()
    }

    override fun changed(known: KnownUpstream) {
        upstreams.changed(known)
        logEvent("upstream_changed", fieldsOf(known.upstream))
        retryWaiting()
    }

    override fun gone(departure: Departure) {
        if (upstreams.gone(departure)) logEvent("upstream_gone", mapOf("upstream" to departure.id.value))
    }

    override fun sharedBy(hosts: Int) {
        upstreams.hosts = maxOf(1, hosts)
    }

    override fun tallies(): List<RolloutTally> = rollouts.tallies()

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
        val host = request.headers()[HttpHeaderNames.HOST]?.substringBefore(':')?.lowercase().orEmpty()
        when (val match = inForce.match(host, path, bearerKey(request.headers()))) {
            Match.NoRoute -> refuse(request, body, caller, ErrorKind.UnknownRoute)
            Match.UnknownKey -> refuse(request, body, caller, ErrorKind.UnknownKey)
            is Match.Found -> begin(readRequest(request, body, match, vocabulary, nowMillis()), caller, inForce)
        }
    }

    private fun begin(
        request: CallerRequest,
        caller: CallerConnection,
        inForce: Catalog,
    ) {
        val pool = poolOf(request.route, request.id, inForce)
        val exchange = Exchange(request, pool, caller, this)
        active += exchange
        if (pool == null) return exchange.fail(ErrorKind.NoHealthyUpstream.notRun("the route has no pool"))
        if (draining && request.route.streaming) {
            return exchange.fail(ErrorKind.ShuttingDown.notRun(retryAfterMillis = SHUTDOWN_RETRY_MILLIS))
        }
        if (request.anyModel) exchange.modelIndex = models.first(request.route, pool)
        budgets.requested(pool.name)
        enqueue(exchange)
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

    override fun mayRepeat(exchange: Exchange): Boolean = exchange.pool?.let { budgets.tryRepeat(it.name) } == true

    override fun enqueue(exchange: Exchange) {
        if (place(exchange)) return
        val pool = exchange.pool ?: return
        val session = exchange.request.session
        if (upstreams.hasNobodyFor(pool.name, session)) return exchange.fail(nobody(exchange))
        line.add(exchange).forEach { it.fail(busy(it)) }
    }

    private fun nobody(exchange: Exchange) = when {
        exchange.hasNotRun -> ErrorKind.NoHealthyUpstream.notRun(retryAfterMillis = NOBODY_RETRY_MILLIS)
        else -> lost(exchange)
    }

    private fun busy(exchange: Exchange) = when {
        exchange.hasNotRun -> ErrorKind.PoolExhausted.notRun(retryAfterMillis = BUSY_RETRY_MILLIS)
        else -> lost(exchange)
    }

    private fun lost(exchange: Exchange) = Failure(
        ErrorKind.UpstreamFailed,
        Execution.MayHaveRun,
        "no other upstream can go on with the request after ${exchange.tries} attempts",
    )

    /** Sends the exchange if an upstream can take it now. */
    private fun place(exchange: Exchange): Boolean {
        val pool = exchange.pool ?: return false
        val request = exchange.request
        val model = if (request.anyModel) request.route.models.getOrNull(exchange.modelIndex) else null
        val need = UpstreamNeed(
            pool = pool,
            session = request.session,
            demand = request.demand,
            model = model.orEmpty(),
            avoided = exchange.avoided,
            mayReturn = exchange.hasNotRun,
        )
        val target = upstreams.choose(need) ?: return false
        exchange.sendTo(target, model)
        return true
    }

    override fun send(
        exchange: Exchange,
        target: UpstreamState,
        attempt: Attempt,
    ) = connections.send(target.upstream.address, attempt, unrepeatable = !exchange.request.route.repeatable)

    override fun observed(
        exchange: Exchange,
        upstream: FleetUpstream,
        good: Boolean,
        firstByteMillis: Long,
    ) {
        val rollout = view.rolloutOf(upstream.pool) ?: return
        rollouts.observed(rollout, exchange.request.route.name, upstream.version, good, firstByteMillis)
    }

    override fun answeredBy(
        exchange: Exchange,
        confidence: Int?,
    ) {
        val request = exchange.request
        if (confidence != null && request.anyModel) {
            models.learn(request.route, exchange.modelIndex, request.demand, confidence)
        }
    }

    override fun largerModel(
        exchange: Exchange,
        confidence: Int?,
    ): Int? {
        val request = exchange.request
        if (confidence == null || !request.anyModel || exchange.runs >= request.route.maxAttempts) return null
        val onTimeLeftMillis = exchange.onTimeUntilMillis - nowMillis()
        val larger = models.larger(request.route, exchange.modelIndex, request.demand, confidence, onTimeLeftMillis)
        return larger?.takeIf { exchange.pool?.let { pool -> budgets.tryEscalation(pool.name) } == true }
    }

    override fun noted(
        exchange: Exchange,
        event: String,
        detail: Map<String, Any?>,
    ) = log.write(event, exchange, catalog?.version, detail)

    override fun ended(end: ExchangeEnd) {
        val exchange = end.exchange
        active -= exchange
        line.remove(exchange)
        if (end.complete && exchange.events > 0) {
            models.learnLength(exchange.request.route, exchange.events * TOKENS_PER_EVENT)
        }
        val ordinary = end.complete && exchange.tries == 1
        if (!ordinary || log.isSampled(exchange.request.id)) noted(exchange, "request_ended", end.fields(nowMillis()))
        retryWaiting()
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
        logEvent("request_refused", mapOf("requestId" to id, "reason" to kind.name, "configuration" to catalog?.version))
        val own = answerTo(kind.notRun(retryAfterMillis = retryAfterMillis))
        caller.answer(HttpResponseStatus.valueOf(own.status), own.headers, own.content)
    }

    private fun tick() {
        upstreams.refresh(heard())
        active.toList().forEach { it.tick() }
        line.expired().forEach { it.fail(busy(it)) }
        retryWaiting()
        if (++ticks % TICKS_PER_PRUNE == 0L) prune()
    }

    private fun prune() {
        connections.prune()
        callers.prune()
        if (draining) callers.closeIdle()
    }

    private fun retryWaiting() = line.offer { it.phase != ExchangePhase.Waiting || place(it) }

    override fun close() {
        listening?.close()
    }

    private companion object {
        /** Tokens that an event usually holds; engines differ little. */
        const val TOKENS_PER_EVENT = 7
    }
}

private fun fieldsOf(upstream: FleetUpstream): Map<String, Any?> = mapOf(
    "upstream" to upstream.id.value,
    "pool" to upstream.pool.value,
    "availabilityZone" to upstream.zone.value,
    "version" to upstream.version,
    "leaving" to upstream.leaving,
    "coldMillis" to upstream.coldMillis,
    "sequence" to upstream.sequence,
)

/** Returns a number from 0 up to 1 that depends on [text] alone. */
internal fun unitHash(text: String): Double =
    (Hashing.komihash5_0().hashCharsToLong(text) ushr UNIT_SHIFT).toDouble() / (1L shl UNIT_BITS)

private const val UNIT_BITS = 53
private const val UNIT_SHIFT = Long.SIZE_BITS - UNIT_BITS
