/*
 * What becomes of the requests of one host: which model and which upstream each one gets, which wait, which are refused
 * and when their callers may come back.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CatalogPool
import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.RolloutTally
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.notRun

/** When a caller that found every upstream taken may come back, in milliseconds: some requests have ended by then. */
private const val BUSY_RETRY_MILLIS = 400L

/** When a caller that this host refuses while it stops may come back to another one, in milliseconds: at once. */
private const val SHUTDOWN_RETRY_MILLIS = 20L

/** Tokens that an event usually holds; engines differ little. */
private const val TOKENS_PER_EVENT = 7

internal class Dispatch(
    settings: GatewaySettings,
    override val vocabulary: HeaderVocabulary,
    private val upstreams: UpstreamDirectory,
    private val rollouts: RolloutWatch,
    private val connections: UpstreamConnections,
    private val meters: GatewayMeters,
    private val nowMillis: () -> Long,
) : ExchangeHost {
    private val budgets = RepeatBudgets(settings.retries, { upstreams.hosts }, nowMillis)
    private val models = ModelPolicy(nowMillis)
    private val log = RequestLog(nowMillis)
    private val line = WaitingLine<Exchange>(nowMillis)
    private val active = LinkedHashSet<Exchange>()

    /** Version of the configuration in force, for the log. */
    var configuration: Long? = null

    val unfinished: Int get() = active.size
    val waiting: Int get() = line.size

    override fun nowMillis(): Long = nowMillis.invoke()

    /** Begins to serve [request] from [pool]; a host that is [draining] takes no streams. */
    fun begin(
        request: CallerRequest,
        pool: CatalogPool?,
        caller: CallerConnection,
        draining: Boolean,
    ) {
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

    /** Looks at deadlines, silent upstreams and waiting requests. */
    fun tick() {
        active.toList().forEach { it.tick() }
        line.expired().forEach { it.fail(busy(it)) }
        offerWaiting()
    }

    /** Sends waiting requests for which there is room now. */
    fun offerWaiting() = line.offer { it.phase != ExchangePhase.Waiting || place(it) }

    override fun mayRepeat(exchange: Exchange): Boolean = exchange.pool?.let { budgets.tryRepeat(it.name) } == true

    override fun enqueue(exchange: Exchange) {
        if (place(exchange)) return
        val pool = exchange.pool ?: return
        val session = exchange.request.session
        if (upstreams.hasNobodyFor(pool.name, session)) return exchange.fail(nobody(exchange))
        line.add(exchange).forEach { it.fail(busy(it)) }
    }

    /** Writes where an attempt goes: of every further one, and of the first ones of sampled requests. */
    private fun notePlaced(
        exchange: Exchange,
        model: String?,
    ) {
        if (exchange.tries == 1 && !log.isSampled(exchange.request.id)) return
        val detail = mapOf("model" to model, "attempt" to exchange.tries, "waitedMillis" to exchange.waitedMillis)
        noted(exchange, "request_placed", detail)
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
        val need =
            UpstreamNeed(
                pool = pool,
                session = request.session,
                demand = request.demand,
                model = model.orEmpty(),
                avoided = exchange.avoided,
                mayReturn = exchange.hasNotRun,
            )
        val target = upstreams.choose(need) ?: return false
        exchange.sendTo(target, model)
        notePlaced(exchange, model)
        return true
    }

    override fun send(
        exchange: Exchange,
        target: UpstreamState,
        attempt: Attempt,
    ) = connections.send(target.upstream.address, attempt, unrepeatable = !exchange.request.route.retryable)

    override fun observed(
        exchange: Exchange,
        upstream: FleetUpstream,
        good: Boolean,
        tookMillis: Long,
    ) {
        meters.attemptEnded(upstream, good)
        val rollout = upstreams.rolloutOf(upstream.pool) ?: return
        rollouts.observed(rollout, exchange.request.route.name, upstream.version, good, tookMillis)
    }

    override fun left(exchange: Exchange) {
        openAttempt(exchange)?.let(rollouts::left)
        if (exchange.target != null && !exchange.answerBegun) learnWait(exchange)
    }

    /** Takes in how long the attempt by the route's largest model has taken so far. */
    private fun learnWait(exchange: Exchange) {
        val request = exchange.request
        if (!request.anyModel || exchange.modelIndex != request.route.models.lastIndex) return
        models.learnWait(request.route, nowMillis() - exchange.sentAtMillis)
    }

    /** Returns what has been seen of each running roll-out up to now. */
    fun tallies(): List<RolloutTally> = rollouts.tallies(active.mapNotNull(::openAttempt))

    private fun openAttempt(exchange: Exchange): OpenAttempt? {
        val upstream = exchange.target?.upstream ?: return null
        val rollout = upstreams.rolloutOf(upstream.pool) ?: return null
        val elapsedMillis = nowMillis() - exchange.sentAtMillis
        return OpenAttempt(rollout, exchange.request.route.name, upstream.version, elapsedMillis)
    }

    override fun answeredBy(
        exchange: Exchange,
        confidence: Int?,
    ) {
        val request = exchange.request
        if (confidence != null && request.anyModel) {
            models.learn(request.route, exchange.modelIndex, request.demand, confidence)
            learnWait(exchange)
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
        if (larger == null || exchange.pool?.let { budgets.tryEscalation(it.name) } != true) return null
        val detail = mapOf("confidence" to confidence, "toModelIndex" to larger, "onTimeLeftMillis" to onTimeLeftMillis)
        noted(exchange, "answer_dropped", detail)
        return larger
    }

    override fun noted(
        exchange: Exchange,
        event: String,
        detail: Map<String, Any?>,
    ) = log.write(event, exchange, configuration, detail)

    override fun ended(end: ExchangeEnd) {
        val exchange = end.exchange
        active -= exchange
        line.remove(exchange)
        meters.requestEnded(end.summary(nowMillis()))
        if (end.complete && exchange.events > 0) {
            models.learnLength(exchange.request.route, exchange.events * TOKENS_PER_EVENT)
        }
        val ordinary = end.complete && exchange.tries == 1
        if (!ordinary || log.isSampled(exchange.request.id)) noted(exchange, "request_ended", end.fields(nowMillis()))
        offerWaiting()
    }
}
