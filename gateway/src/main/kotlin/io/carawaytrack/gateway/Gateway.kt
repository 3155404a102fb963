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
import io.carawaytrack.fleet.FleetRolloutPhase
import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.FleetView
import io.carawaytrack.fleet.KnownUpstream
import io.carawaytrack.fleet.Match
import io.carawaytrack.fleet.RolloutBounds
import io.carawaytrack.fleet.RolloutTally
import io.carawaytrack.fleet.RouteTally
import io.carawaytrack.fleet.shareAt
import io.carawaytrack.limits.RetryBudget
import io.carawaytrack.limits.RetrySettings
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.ZoneName
import io.carawaytrack.model.notRun
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

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

/** Deadline of requests that state none, in milliseconds. */
private const val DEFAULT_DEADLINE_MILLIS = 30_000L

/** Part of the cold rate that the hosts use together, so that their uneven moments stay within what is borne. */
private const val COLD_RATE_PART = 0.8

/** Requests beyond its slots that an upstream may have before it counts as taken, as a part of the slots. */
private const val QUEUED_PART = 0.5

/** One in this many ordinary requests is logged; the same ones on all hosts. */
private const val LOGGED_ONE_IN = 16

/** Lines on requests that one second may bring beyond the sampled ones. */
private const val LINES_PER_SECOND = 150

/**
 * Sets up a gateway.
 *
 * @property retryRatio repeats for each request that all hosts together may send to a service
 * @property retrySlack repeats beyond that ratio that all hosts together may send in [retryWindowMillis]
 */
public data class GatewaySettings(
    val callers: HostPort,
    val zone: ZoneName,
    val retryRatio: Double,
    val retrySlack: Int,
    val retryWindowMillis: Long,
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
    private val connections = UpstreamConnections(group, nowMillis) { opened++ }
    private val states = LinkedHashMap<UpstreamId, UpstreamState>()
    private val prompts = HashMap<UpstreamId, PromptMemory>()
    private val active = LinkedHashSet<Exchange>()
    private val line = WaitingLine<Exchange>(nowMillis)
    private val budgets = HashMap<PoolName, RetryBudget>()
    private val escalations = HashMap<PoolName, RetryBudget>()
    private val pools = HashMap<Exchange, PoolName>()
    private val rollouts = RolloutWatch(settings.rollouts, nowMillis)
    private val models = ModelPolicy()
    private var catalog: Catalog? = null
    private var view = FleetView()
    private var hosts = 1
    private var draining = false
    private var ticks = 0L
    private var opened = 0L
    private var listening: Channel? = null
    private var lines = 0
    private var linesSecond = 0L

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
        val returned = this.view.zonesOut - view.zonesOut
        this.view = view
        rollouts.update(view.rollouts)
        // What comes back may have become cold meanwhile without having said so yet.
        states.values.filter { it.upstream.zone in returned }.forEach { it.doubtWarmth(coldStartMillis(it.upstream)) }
        retryWaiting()
    }

    private fun coldStartMillis(upstream: FleetUpstream) = catalog?.pools?.get(upstream.pool)?.coldStartMillis ?: 0

    override fun changed(known: KnownUpstream) {
        val upstream = known.upstream
        val state = states[upstream.id]
        if (state == null || state.upstream.startedAtMillis != upstream.startedAtMillis) {
            states.values.filter { it.upstream.address == upstream.address }.forEach { drop(it) }
            states[upstream.id] = UpstreamState(known, nowMillis)
            prompts[upstream.id] = PromptMemory(nowMillis)
        } else {
            state.announced(known)
        }
        log(
            "upstream_changed",
            mapOf(
                "upstream" to upstream.id.value,
                "pool" to upstream.pool.value,
                "availabilityZone" to upstream.zone.value,
                "version" to upstream.version,
                "leaving" to upstream.leaving,
                "coldMillis" to upstream.coldMillis,
                "sequence" to upstream.sequence,
            ),
        )
        retryWaiting()
    }

    override fun gone(departure: Departure) {
        val state = states[departure.id] ?: return
        if (departure.startedAtMillis != null && state.upstream.startedAtMillis > departure.startedAtMillis!!) return
        log("upstream_gone", mapOf("upstream" to departure.id.value))
        drop(state)
    }

    private fun drop(state: UpstreamState) {
        state.gone = true
        states -= state.upstream.id
        prompts -= state.upstream.id
        connections.forget(state.upstream.address)
    }

    override fun sharedBy(hosts: Int) {
        this.hosts = hosts
    }

    override fun tallies(): List<RolloutTally> = rollouts.tallies()

    override fun serves(
        pool: PoolName,
        version: String,
    ): Boolean = states.values.any {
        it.upstream.pool == pool && it.upstream.version == version && !it.upstream.leaving && !it.isPaused
    }

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
            is Match.Found -> begin(read(request, body, match), caller)
        }
    }

    private fun read(
        request: HttpRequest,
        body: ByteBuf,
        match: Match.Found,
    ): CallerRequest {
        val headers = request.headers()
        val now = nowMillis()
        val id = headers[vocabulary.attemptId].orEmpty()
        val deadlineMillis = headers[vocabulary.deadlineMillis]?.toLongOrNull() ?: DEFAULT_DEADLINE_MILLIS
        val demand = promptDemand(headers[vocabulary.tokenUsage], headers[vocabulary.promptParts])
        return CallerRequest(
            head = request,
            body = body,
            id = id,
            route = match.route,
            organisation = match.organisation,
            arrivedAtMillis = now,
            endsAtMillis = now + minOf(deadlineMillis, match.route.timeoutMillis),
            demand = demand,
            session = sessionOf(headers, demand, vocabulary, id),
        )
    }

    private fun begin(
        request: CallerRequest,
        caller: CallerConnection,
    ) {
        val exchange = Exchange(request, caller, this)
        active += exchange
        if (draining && request.route.streaming) {
            return exchange.fail(ErrorKind.ShuttingDown.notRun(retryAfterMillis = SHUTDOWN_RETRY_MILLIS))
        }
        val pool = poolOf(request.route, request.id)
        if (pool == null) return exchange.fail(ErrorKind.NoHealthyUpstream.notRun("the route has no pool"))
        pools[exchange] = pool.name
        if (exchange.request.anyModel) exchange.modelIndex = models.first(request.route, pool)
        budgetOf(pool.name).requested()
        escalationsOf(pool.name).requested()
        enqueue(exchange)
    }

    /** Draws the pool by the weights; the same request gets the same one everywhere. */
    private fun poolOf(
        route: CatalogRoute,
        id: String,
    ): CatalogPool? {
        val total = route.shares.sumOf { it.weight }
        if (total <= 0) return null
        var point = (unitHash(id) * total).toInt()
        val share = route.shares.first { share -> (point < share.weight).also { point -= share.weight } }
        return catalog?.pools?.get(share.pool)
    }

    private fun budgetOf(pool: PoolName) = budgets.getOrPut(pool) { budget(REPEATED_PART) }

    /** Creates a budget of this host's [part] of what all hosts together may send once more. */
    private fun budget(part: Double): RetryBudget {
        val own = RetrySettings(
            retryRatio = settings.retryRatio * part,
            leastRetries = maxOf(1, (settings.retrySlack * part / maxOf(1, hosts)).toInt()),
            windowMillis = settings.retryWindowMillis,
        )
        return RetryBudget(own, nowMillis)
    }

    override fun mayRepeat(exchange: Exchange): Boolean = pools[exchange]?.let { budgetOf(it).tryRetry() } == true

    override fun enqueue(exchange: Exchange) {
        if (place(exchange)) return
        if (!exchange.hasNotRun && nobodyFor(exchange)) return exchange.fail(lost(exchange))
        if (nobodyFor(exchange)) {
            return exchange.fail(ErrorKind.NoHealthyUpstream.notRun(retryAfterMillis = NOBODY_RETRY_MILLIS))
        }
        line.add(exchange).forEach { it.fail(busy(it)) }
    }

    private fun lost(exchange: Exchange) = io.carawaytrack.model.Failure(
        ErrorKind.UpstreamFailed,
        io.carawaytrack.model.Execution.MayHaveRun,
        "no other upstream can go on with the request after ${exchange.tries} attempts",
    )

    private fun busy(exchange: Exchange) =
        if (exchange.hasNotRun) ErrorKind.PoolExhausted.notRun(retryAfterMillis = BUSY_RETRY_MILLIS) else lost(exchange)

    private fun nobodyFor(exchange: Exchange): Boolean = allowed(exchange).none { !it.isPaused }

    /** Sends the exchange if an upstream can take it now. */
    private fun place(exchange: Exchange): Boolean {
        val pool = pools[exchange]?.let { catalog?.pools?.get(it) } ?: return false
        val request = exchange.request
        val model = if (request.anyModel) request.route.models.getOrNull(exchange.modelIndex) else null
        val versioned = allowed(exchange).filter { isFree(it, pool) }
        val preferred = versioned.filter { !it.isSuspect && it.upstream.id !in exchange.avoided }
        val fresh = preferred.ifEmpty { versioned.filter { it.upstream.id !in exchange.avoided } }
        val usable = fresh.ifEmpty { if (exchange.hasNotRun) versioned else emptyList() }
        val candidates = usable.map { candidate(it, pool, request.demand, model.orEmpty()) }
        val chosen = place(candidates, request.demand)?.let { states[it.id] } ?: return false
        if (chosen.isCold && pool.coldRequestsPerSecond > 0) {
            if (!chosen.takeColdStart(pool.coldRequestsPerSecond * COLD_RATE_PART / hosts)) {
                val warm = candidates.filter { states[it.id]?.isCold != true }
                val other = place(warm, request.demand)?.let { states[it.id] } ?: return false
                return send(exchange, other, model)
            }
        }
        return send(exchange, chosen, model)
    }

    private fun send(
        exchange: Exchange,
        target: UpstreamState,
        model: String?,
    ): Boolean {
        prompts[target.upstream.id]?.noteRead(exchange.request.demand, model.orEmpty())
        exchange.sendTo(target, model)
        return true
    }

    private fun candidate(
        state: UpstreamState,
        pool: CatalogPool,
        demand: PromptDemand,
        model: String,
    ) = Candidate(
        id = state.upstream.id,
        sameZone = state.upstream.zone == settings.zone,
        load = state.estimatedLoad(),
        slots = state.upstream.slots,
        engine = pool.engine != null,
        heldParts = prompts[state.upstream.id]?.heldOf(demand, model).orEmpty(),
        failureShare = state.failureShare,
        silentMillis = nowMillis() - state.heardAtMillis,
    )

    private fun isFree(
        state: UpstreamState,
        pool: CatalogPool,
    ): Boolean {
        if (state.isPaused || state.isFull) return false
        val most = state.upstream.slots * (1 + if (pool.engine == null) QUEUED_PART else 1.0)
        return state.estimatedLoad() < most
    }

    /** Returns the upstreams on which the request may run at all. */
    private fun allowed(exchange: Exchange): List<UpstreamState> {
        val pool = pools[exchange] ?: return emptyList()
        val serving = states.values.filter {
            val upstream = it.upstream
            upstream.pool == pool && !upstream.leaving && !it.gone && upstream.zone !in view.zonesOut
        }
        val rollout = view.rolloutOf(pool) ?: return serving
        val (new, old) = serving.partition { it.upstream.version == rollout.target }
        return when (rollout.phase) {
            FleetRolloutPhase.Completed -> new.ifEmpty { old }
            FleetRolloutPhase.RolledBack -> old
            FleetRolloutPhase.Running ->
                if (rollouts.takesNew(rollout, unitHash(exchange.request.session)) && new.any { !it.isPaused }) new else old
        }
    }

    override fun send(
        exchange: Exchange,
        target: UpstreamState,
        attempt: Attempt,
    ) {
        connections.send(target.upstream.address, attempt, unrepeatable = !exchange.request.route.repeatable)
    }

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
        return larger?.takeIf { pools[exchange]?.let { pool -> escalationsOf(pool).tryRetry() } == true }
    }

    private fun escalationsOf(pool: PoolName) = escalations.getOrPut(pool) { budget(ESCALATED_PART) }

    override fun noted(
        exchange: Exchange,
        event: String,
        detail: Map<String, Any?>,
    ) = requestLine(event, exchange, detail)

    override fun ended(end: ExchangeEnd) {
        val exchange = end.exchange
        active -= exchange
        pools -= exchange
        line.remove(exchange)
        if (end.complete && exchange.events > 0) {
            models.learnLength(exchange.request.route, exchange.events * TOKENS_PER_EVENT)
        }
        val ordinary = end.complete && exchange.tries == 1
        if (!ordinary || isSampled(exchange.request.id)) {
            val tookMillis = nowMillis() - exchange.request.arrivedAtMillis
            requestLine(
                "request_ended",
                exchange,
                mapOf(
                    "status" to end.status,
                    "complete" to end.complete,
                    "reason" to end.reason,
                    "tookMillis" to tookMillis,
                    "firstByteMillis" to exchange.firstByteMillis,
                    "tries" to exchange.tries,
                ),
            )
        }
        retryWaiting()
    }

    private fun requestLine(
        event: String,
        exchange: Exchange,
        detail: Map<String, Any?>,
    ) {
        val second = nowMillis() / MILLIS_PER_SECOND
        if (second != linesSecond) {
            if (lines > LINES_PER_SECOND) log("lines_dropped", mapOf("lines" to lines - LINES_PER_SECOND))
            linesSecond = second
            lines = 0
        }
        if (++lines > LINES_PER_SECOND) return
        val request = exchange.request
        val common = mapOf(
            "requestId" to request.id,
            "route" to request.route.name,
            "organisation" to request.organisation?.name?.value,
            "upstream" to exchange.target?.upstream?.id?.value,
            "modelIndex" to exchange.modelIndex,
            "configuration" to catalog?.version,
            "ageMillis" to exchange.target?.let { nowMillis() - it.heardAtMillis },
            "load" to exchange.target?.estimatedLoad(),
        )
        log(event, common + detail)
    }

    private fun log(
        event: String,
        fields: Map<String, Any?>,
    ) = logger.at(Level.INFO) {
        message = event
        payload = fields.filterValues { it != null }
    }

    private fun isSampled(id: String) = (unitHash(id) * LOGGED_ONE_IN).toInt() == 0

    private fun malformed(
        caller: CallerConnection,
        status: HttpResponseStatus,
    ) {
        log("request_malformed", mapOf("status" to status.code()))
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
        log(
            "request_refused",
            mapOf(
                "requestId" to request.headers()[vocabulary.attemptId],
                "reason" to kind.name,
                "configuration" to catalog?.version,
            ),
        )
        val own = answerTo(kind.notRun(retryAfterMillis = retryAfterMillis))
        caller.answer(HttpResponseStatus.valueOf(own.status), own.headers, own.content)
    }

    private fun tick() {
        heard().forEach { known -> states[known.upstream.id]?.takeIf { it.heardAtMillis < known.heardAtMillis }?.announced(known) }
        active.toList().forEach { it.tick() }
        line.expired().forEach { it.fail(busy(it)) }
        retryWaiting()
        if (++ticks % TICKS_PER_PRUNE == 0L) {
            connections.prune()
            callers.prune()
            if (draining) callers.closeIdle()
        }
    }

    private fun retryWaiting() = line.offer { it.phase != ExchangePhase.Waiting || place(it) }

    override fun close() {
        listening?.close()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L

        /** Tokens that an event usually holds; engines differ little. */
        const val TOKENS_PER_EVENT = 7

        /** Part of the fleet's retry budget for repeats after failures. */
        const val REPEATED_PART = 0.3

        /** Part of it for answers by a larger model; the rest covers the hosts' uneven shares of the requests. */
        const val ESCALATED_PART = 0.6
    }
}

/** Returns a number from 0 up to 1 that depends on [text] alone. */
internal fun unitHash(text: String): Double =
    (Hashing.komihash5_0().hashCharsToLong(text) ushr UNIT_SHIFT).toDouble() / (1L shl UNIT_BITS)

private const val UNIT_BITS = 53
private const val UNIT_SHIFT = Long.SIZE_BITS - UNIT_BITS
