/*
 * Dispatching of one host's requests: the model and the upstream of each request, which requests are queued, which are
 * refused, and when their callers may retry.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.Catalog
import io.carawaytrack.fleet.CatalogPool
import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.RolloutTally
import io.carawaytrack.limits.AdmittedWork
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.notRun
import io.carawaytrack.routing.load.AbandonReason
import io.netty.handler.codec.http.HttpResponse

/** Typical number of tokens in an event; engines differ little. */
private const val TOKENS_PER_EVENT = 7

internal class Dispatcher(
    private val settings: GatewaySettings,
    override val headerNames: HeaderNames,
    private val upstreams: UpstreamDirectory,
    private val rollouts: RolloutTracker,
    private val connections: UpstreamConnections,
    override val meters: GatewayMeters,
    crashRecorded: () -> Unit,
    private val nowMillis: () -> Long,
) : ExchangeContext {
    private val budgets = RetryBudgets(settings.retries, { upstreams.hosts }, nowMillis)
    private val models = ModelSelection(upstreams::outlook, meters.answerKept, nowMillis)
    override val unresponsive =
        UnresponsiveUpstreams(upstreams::outlook, connections.healthChecks::check, nowMillis)
    private val log = RequestLog(nowMillis)
    private val queue = PoolQueues(meters, upstreams, headerNames.model, nowMillis)
    private val active = LinkedHashSet<Exchange>()

    /** Requests and prompt parts that crash upstreams. */
    val quarantine = PromptQuarantine(nowMillis)
    override val crashes = CrashDetector(connections::checkListening, quarantine, crashRecorded)

    /** Version of the configuration in force, included in log events. */
    private var configurationVersion: Long? = null

    val unfinished: Int get() = active.size
    val waiting: Int get() = queue.size

    override fun nowMillis(): Long = nowMillis.invoke()

    /** Puts [catalog] in force for requests that arrive from now on. */
    fun apply(catalog: Catalog) {
        configurationVersion = catalog.version
        queue.setFairPools(catalog.fairPools(settings.timeCriticalTargetMillis))
    }

    /** Work that organisations were admitted recently on this host and on the others. */
    val admittedWork: AdmittedWork get() = queue.admitted

    /** Starts serving [request] from [pool]; refuses it if it may outlast this host, which ends at [endsAtMillis]. */
    fun begin(
        request: CallerRequest,
        pool: CatalogPool?,
        caller: CallerConnection,
        endsAtMillis: Long?,
    ) {
        val exchange = Exchange(request, pool, caller, this)
        active += exchange
        if (pool == null) return exchange.fail(ErrorKind.NoHealthyUpstream.notRun("the route has no configured pool"))
        if (endsAtMillis != null && (request.route.streaming || request.deadlineAtMillis > endsAtMillis)) {
            return exchange.fail(shuttingDown(exchange))
        }
        exchange.modelIndex = models.firstModel(exchange, pool)
        budgets.recordRequest(pool.name)
        enqueue(exchange)
    }

    /** Ends all exchanges because this host ends. */
    fun endAll() = active.toList().forEach { it.abandonWith(::shuttingDown) }

    /** Checks deadlines, unresponsive upstreams and queued requests. */
    fun tick() {
        active.toList().forEach { it.tick() }
        unresponsive.tick()
        queue.expired().forEach(::refuse)
        sendQueued(all = true)
    }

    /** Sends queued requests for which there is free capacity; [all] are tried although those ahead found none. */
    fun sendQueued(all: Boolean = false) = queue.offer(all, tryPlaceQueued)

    private val tryPlaceQueued = { exchange: Exchange ->
        exchange.phase != ExchangePhase.Waiting || (queue.isTimely(exchange) && tryPlace(exchange))
    }

    private fun refuse(refused: QueueFailure) {
        val exchange = refused.exchange
        refused.entry?.let { logExchange(exchange, "queue_refused", refused.fields(nowMillis())) }
        exchange.fail(poolExhausted(exchange, refused.retryAfterMillis))
    }

    override fun tryRetry(
        exchange: Exchange,
        reason: RetryReason,
    ): RetryPermit? {
        val pool = exchange.pool?.name ?: return null
        val useful = reason != RetryReason.Rejection || queue.canServeInTime(exchange)
        val permit = if (useful) budgets.tryAcquire(pool, reason) else null
        meters.retryDecided(pool, reason, permit != null)
        if (permit == null) logExchange(exchange, "retry_denied", mapOf("reason" to reason.name, "useful" to useful))
        return permit
    }

    override fun retryAfterMillis(exchange: Exchange): Long? = queue.retryAfterMillis(exchange)

    override fun enqueue(exchange: Exchange) {
        if (queue.mayPlaceNow(exchange) && tryPlace(exchange)) return
        val pool = exchange.pool ?: return
        val affinity = exchange.request.affinity
        if (upstreams.hasNoUpstream(pool.name, affinity)) return exchange.fail(noUpstream(exchange))
        queue.add(exchange, tryPlaceQueued).forEach(::refuse)
    }

    /** Logs the upstream of an attempt: of every retry, and of the first attempts of sampled requests. */
    private fun logPlacement(
        exchange: Exchange,
        model: String?,
    ) {
        if (exchange.attempts == 1 && !log.isSampled(exchange.request.id)) return
        val detail = mapOf("model" to model, "attempt" to exchange.attempts, "waitedMillis" to exchange.waitedMillis)
        val expected = exchange.expectedFirstEventMillis?.let { mapOf("expectedMillis" to it.toLong()) }.orEmpty()
        logExchange(exchange, "request_placed", detail + expected)
    }

    /** Sends the exchange if an upstream can accept it now, or ends it if it is refused; returns whether it did. */
    private fun tryPlace(exchange: Exchange): Boolean {
        val pool = exchange.pool ?: return false
        val request = exchange.request
        val refusedForMillis = if (quarantine.isActive) quarantine.refusedForMillis(request.traits) else null
        if (refusedForMillis != null) {
            exchange.fail(quarantined(exchange, refusedForMillis))
            return true
        }
        val model = if (request.gatewayChoosesModel) request.route.models.getOrNull(exchange.modelIndex) else null
        val criteria =
            SelectionCriteria(
                pool = pool,
                affinity = request.affinity,
                demand = request.demand,
                model = modelOf(exchange, pool, model),
                excluded = exchange.excluded,
                allowExcluded = exchange.hasNotRun,
                urgency = request.urgency(),
            )
        val chosen = upstreams.choose(criteria) ?: return false
        exchange.sendTo(chosen.upstream, model, chosen.work)
        models.attemptSent(exchange)
        queue.recordPlaced(exchange)
        logPlacement(exchange, model)
        return true
    }

    /** Returns the model that the request is to run; engines' work depends on it also if the caller names it. */
    private fun modelOf(
        exchange: Exchange,
        pool: CatalogPool,
        chosen: String?,
    ): String = when {
        chosen != null -> chosen
        upstreams.outlook(pool.name) == null -> ""
        else ->
            exchange.request.head
                .headers()[headerNames.model]
                .orEmpty()
    }

    override fun send(
        exchange: Exchange,
        target: UpstreamState,
        attempt: Attempt,
    ) = connections.send(target.upstream.address, attempt, nonRetryable = !exchange.request.route.retryable)

    override fun recordOutcome(
        exchange: Exchange,
        upstream: FleetUpstream,
        good: Boolean,
        tookMillis: Long,
    ) {
        meters.attemptEnded(upstream, good)
        openAttempt(exchange)?.let { rollouts.recordOutcome(it, good) }
    }

    override fun recordStatements(
        upstream: UpstreamState,
        response: HttpResponse,
    ) {
        // The response of another upstream at the same address says nothing about this one.
        if (response.refusal(headerNames) == UpstreamRefusal.AnotherUpstream) return
        val headers = response.headers()
        upstreams.reports.record(
            upstream,
            load = reportedLoad(headers[headerNames.load]),
            limitPerSecond = statedLimit(headers[headerNames.limit]),
        )
    }

    override fun upstreamAbandoned(
        exchange: Exchange,
        upstream: UpstreamState,
        reason: AbandonReason,
    ) {
        logExchange(exchange, "upstream_silent", unresponsive.logFields(exchange, upstream, reason))
        meters.upstreamAbandoned(upstream.upstream.pool, reason)
        if (reason.isFailure) upstream.recordFailure()
        attemptAbandoned(exchange)
    }

    override fun attemptAbandoned(exchange: Exchange) {
        openAttempt(exchange)?.let(rollouts::recordAbandoned)
        if (exchange.target != null && !exchange.hasResponseHead) models.recordWait(exchange)
    }

    /** Returns the outcomes of each running roll-out so far, including unfinished attempts. */
    fun tallies(): List<RolloutTally> = rollouts.tallies(active.mapNotNull(::openAttempt))

    private fun openAttempt(exchange: Exchange): OpenAttempt? {
        val upstream = exchange.target?.upstream ?: return null
        val rollout = upstreams.rolloutOf(upstream.pool) ?: return null
        val now = nowMillis()
        val elapsedMillis = now - exchange.sentAtMillis
        val pace = exchange.watch.pace
        return OpenAttempt(
            rollout,
            exchange.request.route.name,
            upstream.version,
            elapsedMillis,
            pace.shortestSpanMillis,
            pace.unfinishedSpanMillis(now),
        )
    }

    override fun responseStarted(
        exchange: Exchange,
        confidence: Int?,
    ) {
        queue.recordServiceTime(exchange, nowMillis() - exchange.sentAtMillis)
        models.answerStarted(exchange, confidence)
    }

    override fun replacementModel(
        exchange: Exchange,
        confidence: Int?,
    ): ModelReplacement? = models.replacement(exchange, confidence)

    override fun logExchange(
        exchange: Exchange,
        event: String,
        detail: Map<String, Any?>,
    ) = log.write(event, exchange, configurationVersion, detail)

    override fun exchangeEnded(outcome: ExchangeOutcome) {
        val exchange = outcome.exchange
        active -= exchange
        queue.remove(exchange)
        meters.requestEnded(outcome.summary(nowMillis()))
        if (outcome.isComplete && exchange.events > 0) {
            models.recordOutputLength(exchange, exchange.events * TOKENS_PER_EVENT)
        }
        val ordinary = outcome.isComplete && exchange.attempts == 1
        if (!ordinary ||
            log.isSampled(exchange.request.id)
        ) {
            logExchange(exchange, "request_ended", outcome.fields(nowMillis()))
        }
        sendQueued()
    }
}
