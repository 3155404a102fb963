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
private const val POOL_EXHAUSTED_RETRY_AFTER_MILLIS = 400L

/** When a caller that this host refuses while it stops may come back to another one, in milliseconds: at once. */
private const val SHUTDOWN_RETRY_AFTER_MILLIS = 20L

/** Tokens that an event usually holds; engines differ little. */
private const val TOKENS_PER_EVENT = 7

internal class Dispatcher(
    settings: GatewaySettings,
    override val headerNames: HeaderNames,
    private val upstreams: UpstreamDirectory,
    private val rollouts: RolloutTracker,
    private val connections: UpstreamConnections,
    private val meters: GatewayMeters,
    private val nowMillis: () -> Long,
) : ExchangeContext {
    private val budgets = RetryBudgets(settings.retries, { upstreams.hosts }, nowMillis)
    private val models = ModelPolicy(nowMillis)
    private val log = RequestLog(nowMillis)
    private val queue = WaitQueue<Exchange>(nowMillis)
    private val active = LinkedHashSet<Exchange>()

    /** Version of the configuration in force, for the log. */
    var configuration: Long? = null

    val unfinished: Int get() = active.size
    val waiting: Int get() = queue.size

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
            return exchange.fail(ErrorKind.ShuttingDown.notRun(retryAfterMillis = SHUTDOWN_RETRY_AFTER_MILLIS))
        }
        if (request.gatewayChoosesModel) exchange.modelIndex = models.firstModel(request.route, pool)
        budgets.recordRequest(pool.name)
        enqueue(exchange)
    }

    /** Looks at deadlines, silent upstreams and waiting requests. */
    fun tick() {
        active.toList().forEach { it.tick() }
        queue.expired().forEach { it.fail(poolExhausted(it)) }
        offerWaiting()
    }

    /** Sends waiting requests for which there is room now. */
    fun offerWaiting() = queue.offer { it.phase != ExchangePhase.Waiting || tryPlace(it) }

    override fun tryRetry(exchange: Exchange): Boolean = exchange.pool?.let { budgets.tryRetry(it.name) } == true

    override fun enqueue(exchange: Exchange) {
        if (tryPlace(exchange)) return
        val pool = exchange.pool ?: return
        val session = exchange.request.session
        if (upstreams.hasNoUpstream(pool.name, session)) return exchange.fail(noUpstream(exchange))
        queue.add(exchange).forEach { it.fail(poolExhausted(it)) }
    }

    /** Writes where an attempt goes: of every further one, and of the first ones of sampled requests. */
    private fun logPlacement(
        exchange: Exchange,
        model: String?,
    ) {
        if (exchange.attempts == 1 && !log.isSampled(exchange.request.id)) return
        val detail = mapOf("model" to model, "attempt" to exchange.attempts, "waitedMillis" to exchange.waitedMillis)
        logExchange(exchange, "request_placed", detail)
    }

    private fun noUpstream(exchange: Exchange) = when {
        exchange.hasNotRun -> ErrorKind.NoHealthyUpstream.notRun(retryAfterMillis = NO_UPSTREAM_RETRY_AFTER_MILLIS)
        else -> attemptsExhausted(exchange)
    }

    private fun poolExhausted(exchange: Exchange) = when {
        exchange.hasNotRun -> ErrorKind.PoolExhausted.notRun(retryAfterMillis = POOL_EXHAUSTED_RETRY_AFTER_MILLIS)
        else -> attemptsExhausted(exchange)
    }

    private fun attemptsExhausted(exchange: Exchange) = Failure(
        ErrorKind.UpstreamFailed,
        Execution.MayHaveRun,
        "no other upstream can go on with the request after ${exchange.attempts} attempts",
    )

    /** Sends the exchange if an upstream can take it now. */
    private fun tryPlace(exchange: Exchange): Boolean {
        val pool = exchange.pool ?: return false
        val request = exchange.request
        val model = if (request.gatewayChoosesModel) request.route.models.getOrNull(exchange.modelIndex) else null
        val criteria =
            SelectionCriteria(
                pool = pool,
                session = request.session,
                demand = request.demand,
                model = model.orEmpty(),
                excluded = exchange.excluded,
                allowExcluded = exchange.hasNotRun,
            )
        val target = upstreams.choose(criteria) ?: return false
        exchange.sendTo(target, model)
        logPlacement(exchange, model)
        return true
    }

    override fun send(
        exchange: Exchange,
        target: UpstreamState,
        attempt: Attempt,
    ) = connections.send(target.upstream.address, attempt, nonRetryable = !exchange.request.route.repeatable)

    override fun recordOutcome(
        exchange: Exchange,
        upstream: FleetUpstream,
        good: Boolean,
        tookMillis: Long,
    ) {
        meters.attemptEnded(upstream, good)
        val rollout = upstreams.rolloutOf(upstream.pool) ?: return
        rollouts.recordOutcome(rollout, exchange.request.route.name, upstream.version, good, tookMillis)
    }

    override fun attemptAbandoned(exchange: Exchange) {
        openAttempt(exchange)?.let(rollouts::recordAbandoned)
        if (exchange.target != null && !exchange.hasResponseHead) recordWait(exchange)
    }

    /** Takes in how long the attempt by the route's largest model has taken so far. */
    private fun recordWait(exchange: Exchange) {
        val request = exchange.request
        if (!request.gatewayChoosesModel || exchange.modelIndex != request.route.models.lastIndex) return
        models.recordWait(request.route, nowMillis() - exchange.sentAtMillis)
    }

    /** Returns what has been seen of each running roll-out up to now. */
    fun tallies(): List<RolloutTally> = rollouts.tallies(active.mapNotNull(::openAttempt))

    private fun openAttempt(exchange: Exchange): OpenAttempt? {
        val upstream = exchange.target?.upstream ?: return null
        val rollout = upstreams.rolloutOf(upstream.pool) ?: return null
        val elapsedMillis = nowMillis() - exchange.sentAtMillis
        return OpenAttempt(rollout, exchange.request.route.name, upstream.version, elapsedMillis)
    }

    override fun responseStarted(
        exchange: Exchange,
        confidence: Int?,
    ) {
        val request = exchange.request
        if (confidence != null && request.gatewayChoosesModel) {
            models.recordConfidence(request.route, exchange.modelIndex, request.demand, confidence)
            recordWait(exchange)
        }
    }

    override fun escalationModel(
        exchange: Exchange,
        confidence: Int?,
    ): Int? {
        val request = exchange.request
        if (confidence == null ||
            !request.gatewayChoosesModel ||
            exchange.possibleRuns >= request.route.maxAttempts
        ) {
            return null
        }
        val onTimeRemainingMillis = exchange.onTimeUntilMillis - nowMillis()
        val escalatedTo =
            models.escalationTarget(
                request.route,
                exchange.modelIndex,
                request.demand,
                confidence,
                onTimeRemainingMillis,
            )
        if (escalatedTo == null || exchange.pool?.let { budgets.tryEscalation(it.name) } != true) return null
        val detail =
            mapOf(
                "confidence" to confidence,
                "toModelIndex" to escalatedTo,
                "onTimeLeftMillis" to onTimeRemainingMillis,
            )
        logExchange(exchange, "answer_dropped", detail)
        return escalatedTo
    }

    override fun logExchange(
        exchange: Exchange,
        event: String,
        detail: Map<String, Any?>,
    ) = log.write(event, exchange, configuration, detail)

    override fun exchangeEnded(outcome: ExchangeOutcome) {
        val exchange = outcome.exchange
        active -= exchange
        queue.remove(exchange)
        meters.requestEnded(outcome.summary(nowMillis()))
        if (outcome.isComplete && exchange.events > 0) {
            models.recordOutputLength(exchange.request.route, exchange.events * TOKENS_PER_EVENT)
        }
        val ordinary = outcome.isComplete && exchange.attempts == 1
        if (!ordinary ||
            log.isSampled(exchange.request.id)
        ) {
            logExchange(exchange, "request_ended", outcome.fields(nowMillis()))
        }
        offerWaiting()
    }
}
