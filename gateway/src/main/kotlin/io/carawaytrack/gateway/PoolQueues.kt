/*
 * Queued requests of one host. Pools whose callers compete have a queue each, which shares the pool fairly among
 * organisations; the requests of all other pools are in one queue, ordered by urgency and arrival.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.Catalog
import io.carawaytrack.fleet.CatalogPool
import io.carawaytrack.limits.AdmittedWork
import io.carawaytrack.limits.DRAIN_AVERAGE_MILLIS
import io.carawaytrack.limits.FairEntry
import io.carawaytrack.limits.FairQueue
import io.carawaytrack.limits.QueueRefusal
import io.carawaytrack.limits.RefusedEntry
import io.carawaytrack.limits.RetryTimes
import io.carawaytrack.limits.ShareScope
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.PoolName
import io.carawaytrack.routing.load.PromptWork

/** Timeout of a route of calls below which the pools that it uses share their capacity fairly. */
private const val SHORT_TIMEOUT_MILLIS = 700L

/** Interval at which queued requests are checked between two ticks. */
private const val CHECK_INTERVAL_MILLIS = 20L

/** Averaging time of the drain rate of engines: a host's part of the slots that become free is a few in a second. */
private const val ENGINE_DRAIN_AVERAGE_MILLIS = 2_000.0

/**
 * Multiple of the latency target up to which the first event of a stream may be expected when it is sent; estimates may
 * be wrong by half.
 */
private const val MAX_LATENESS = 2.0

/**
 * Utilization of a pool's reading capacity from which organisations are held to their shares although slots are free:
 * its backlog grows, beyond the variation that single long prompts cause.
 */
private const val OVERLOADED_BUSY_RATIO = 1.1

/** Weight of the newest response in a route's typical service time, which covers about the last ten responses. */
private const val NEWEST_WEIGHT = 0.1

/** Part of a route's latency target that its service is assumed to take until a response has arrived. */
private const val INITIAL_SERVICE_RATIO = 0.25

/** Multiple of the typical service time that must remain: the times of single requests vary. */
private const val SERVICE_TIME_MARGIN = 1.5

/** Largest part of a request's time that is reserved for its service. */
private const val MAX_SERVICE_RATIO = 0.5

/** Returns the names of the pools that share their capacity fairly among organisations. */
internal fun Catalog.fairPools(timeCriticalTargetMillis: Long): Set<PoolName> {
    val shortCalls =
        routes
            .filter { !it.streaming && it.timeoutMillis < SHORT_TIMEOUT_MILLIS }
            .flatMap { route -> route.shares.filter { it.weight > 0 }.map { it.pool } }
            .filter { pools[it]?.engine == null }
    return timeCriticalPools(timeCriticalTargetMillis) + shortCalls
}

/** A request that its queue refuses; [entry] and [retryAfterMillis] are null in the queue that other pools share. */
internal class QueueFailure(
    val exchange: Exchange,
    val entry: RefusedEntry<Exchange>? = null,
    val retryAfterMillis: Long? = null,
) {
    /** Returns the log fields of a refusal at [nowMillis]. */
    fun fields(nowMillis: Long): Map<String, Any?> = mapOf(
        "refusal" to entry?.reason?.name,
        "rank" to exchange.rank,
        "aboveShare" to entry?.entry?.step,
        "queuedMillis" to nowMillis - exchange.queuedSinceMillis,
        "expectedMillis" to entry?.expectedMillis?.toLong(),
        "retryAfterMillis" to retryAfterMillis,
    )
}

internal class PoolQueues(
    private val meters: GatewayMeters,
    private val upstreams: UpstreamDirectory,
    private val modelHeader: String,
    private val nowMillis: () -> Long,
) {
    private class PoolQueue(
        val queue: FairQueue<Exchange>,
        val retryTimes: RetryTimes,
    ) {
        var checkedAtMillis = 0L
    }

    private val shared = WaitQueue<Exchange>(nowMillis)
    private val fair = HashMap<PoolName, PoolQueue>()
    private var fairPools: Set<PoolName> = emptySet()
    private val typicalMillis = HashMap<String, Double>()

    /** Work that organisations were admitted recently. */
    val admitted = AdmittedWork(nowMillis)

    val size: Int get() = shared.size + fair.values.sumOf { it.queue.size }

    /**
     * Sets the [pools] that share their capacity fairly, besides those whose upstreams state their momentary slowness.
     * Requests that are queued already stay where they are.
     */
    fun setFairPools(pools: Set<PoolName>) {
        fairPools = pools
    }

    private fun isFair(pool: CatalogPool) = pool.name in fairPools || upstreams.enginePools.statesPace(pool.name)

    private fun queueOf(pool: CatalogPool) = fair.getOrPut(pool.name) {
        val averageMillis = if (pool.engine == null) DRAIN_AVERAGE_MILLIS else ENGINE_DRAIN_AVERAGE_MILLIS
        val recentWork = { rank: Int -> admitted.of(ShareScope(pool.name, rank)) }
        val ownWork = { rank: Int -> admitted.ownOf(ShareScope(pool.name, rank)) }
        val queue = FairQueue<Exchange>(nowMillis, recentWork, ownWork, averageMillis) { utilization(pool.name) }
        PoolQueue(queue, RetryTimes(nowMillis))
    }

    private fun utilization(pool: PoolName) = (upstreams.outlook(pool)?.busyRatio ?: 0.0) / OVERLOADED_BUSY_RATIO

    /** Returns whether [exchange] may be sent at once, without being queued behind others. */
    fun mayPlaceNow(exchange: Exchange): Boolean {
        val pool = exchange.pool ?: return true
        return !isFair(pool) || (!queueOf(pool).queue.mustQueue && isTimely(exchange))
    }

    /**
     * Returns whether the work that engines have accepted leaves [exchange] a chance of a useful response. Otherwise it
     * waits or is refused: its prompt would delay the others without use.
     */
    fun isTimely(exchange: Exchange): Boolean {
        val pool = exchange.pool ?: return true
        val outlook = upstreams.outlook(pool.name) ?: return true
        val request = exchange.request
        if (!exchange.hasNotRun || !request.route.streaming) return true
        val work =
            PromptWork(unreadTokens(exchange), request.demand.outputTokens, modelOf(exchange), request.urgency())
        val expectedMillis = outlook.firstEventMillis(work) ?: return true
        val remainingMillis = request.deadlineAtMillis - nowMillis()
        return expectedMillis <= minOf(request.route.latencyTargetMillis * MAX_LATENESS, remainingMillis.toDouble())
    }

    /** Queues [exchange], offers the requests of a fair queue to [accept], and returns those that are refused. */
    fun add(
        exchange: Exchange,
        accept: (Exchange) -> Boolean,
    ): List<QueueFailure> {
        val pool = exchange.pool ?: return emptyList()
        if (!isFair(pool)) return shared.add(exchange).map { QueueFailure(it) }
        val poolQueue = queueOf(pool)
        val entry =
            FairEntry(
                item = exchange,
                organisation = exchange.organisation,
                rank = exchange.rank,
                work = workOf(exchange, pool),
                queuedSinceMillis = exchange.queuedSinceMillis,
                onTimeUntilMillis = exchange.onTimeUntilMillis,
                latestStartMillis = latestStartMillis(exchange),
            )
        val evicted = poolQueue.queue.add(entry)
        poolQueue.queue.offer(all = false, accept)
        return (evicted + takeHopeless(poolQueue)).map { failureOf(poolQueue, it) }
    }

    private fun takeHopeless(poolQueue: PoolQueue): List<RefusedEntry<Exchange>> {
        val now = nowMillis()
        if (now - poolQueue.checkedAtMillis < CHECK_INTERVAL_MILLIS) return emptyList()
        poolQueue.checkedAtMillis = now
        return poolQueue.queue.takeHopeless(CHECK_INTERVAL_MILLIS)
    }

    /** Removes [exchange], which has ended. */
    fun remove(exchange: Exchange) {
        if (!shared.remove(exchange)) exchange.pool?.let { fair[it.name]?.queue?.remove(exchange) }
    }

    /** Passes queued requests to [accept] in order; unless [all] is set, it gives up where no upstream is free. */
    fun offer(
        all: Boolean,
        accept: (Exchange) -> Boolean,
    ) {
        shared.offer(accept)
        fair.values.forEach { it.queue.offer(all, accept) }
    }

    /** Removes and returns the requests that must not wait any longer; to be called at each tick. */
    fun expired(): List<QueueFailure> = shared.expired().map { QueueFailure(it) } +
        fair.values.flatMap { poolQueue ->
            poolQueue.queue.takeHopeless(GATEWAY_TICK_MILLIS).map { failureOf(poolQueue, it) }
        }

    private fun failureOf(
        poolQueue: PoolQueue,
        refused: RefusedEntry<Exchange>,
    ): QueueFailure {
        val exchange = refused.entry.item
        val retryAfterMillis =
            retryAfterMillis(poolQueue, exchange, refused.expectedMillis, refused.serviceMillis)
        val waitedMillis = nowMillis() - exchange.queuedSinceMillis
        recordExit(exchange, waitedMillis, work = 0.0, refused.reason)
        return QueueFailure(exchange, refused, retryAfterMillis)
    }

    private fun retryAfterMillis(
        poolQueue: PoolQueue,
        exchange: Exchange,
        expectedMillis: Double?,
        serviceMillis: Double?,
    ) = poolQueue.retryTimes.retryAfterMillis(
        expectedMillis,
        serviceMillis,
        remainingMillis = exchange.request.deadlineAtMillis - nowMillis(),
        position = unitHash(exchange.request.id),
    )

    /** Returns when a request that an upstream rejected may return; null if the failure decides it. */
    fun retryAfterMillis(exchange: Exchange): Long? {
        val pool = exchange.pool?.takeIf(::isFair) ?: return null
        val poolQueue = queueOf(pool)
        val work = workOf(exchange, pool)
        val expectedMillis = poolQueue.queue.expectedMillis(exchange.rank, work)
        return retryAfterMillis(poolQueue, exchange, expectedMillis, poolQueue.queue.serviceMillis(work))
    }

    /** Returns whether a request that is queued now can be served in the time that it has. */
    fun canServeInTime(exchange: Exchange): Boolean {
        val pool = exchange.pool?.takeIf(::isFair) ?: return true
        val queue = queueOf(pool).queue
        val expectedMillis = if (queue.size == 0) 0.0 else queue.expectedMillis(exchange.rank, work = 0.0) ?: 0.0
        return nowMillis() + expectedMillis <= latestStartMillis(exchange)
    }

    /** Returns the model that [exchange] is to run, whether this host or its caller chose it. */
    private fun modelOf(exchange: Exchange): String {
        val request = exchange.request
        val named = request.head.headers()[modelHeader].orEmpty()
        return if (request.gatewayChoosesModel) request.route.models[exchange.modelIndex] else named
    }

    /** Returns the work of [exchange]: a call counts as one, a stream by its prompt's tokens and its model's price. */
    private fun workOf(
        exchange: Exchange,
        pool: CatalogPool,
    ): Double {
        if (!exchange.request.route.streaming) return 1.0
        val prices = pool.engine?.models.orEmpty()
        val lowest = prices.minOfOrNull { it.costPerKiloToken } ?: 0.0
        val price = prices.firstOrNull { it.model == modelOf(exchange) }?.costPerKiloToken ?: lowest
        val ratio = if (lowest > 0) price / lowest else 1.0
        return (
            exchange.watch.work
                ?.work
                ?.unreadTokens ?: unreadTokens(exchange)
        ) * ratio
    }

    /** Records that an attempt of [exchange] was sent to an upstream. */
    fun recordPlaced(exchange: Exchange) {
        val pool = exchange.pool?.takeIf(::isFair) ?: return
        val work = workOf(exchange, pool)
        admitted.record(ShareScope(pool.name, exchange.rank), exchange.organisation, work)
        recordExit(exchange, exchange.sentAtMillis - exchange.queuedSinceMillis, work, refusal = null)
    }

    private fun recordExit(
        exchange: Exchange,
        waitedMillis: Long,
        work: Double,
        refusal: QueueRefusal?,
    ) {
        val pool = exchange.pool?.name ?: return
        meters.queueLeft(QueueExit(pool, exchange.request.organisation?.name, waitedMillis, work, refusal))
    }

    /** Records that a response of [exchange] started [tookMillis] after its attempt. */
    fun recordServiceTime(
        exchange: Exchange,
        tookMillis: Long,
    ) {
        if (exchange.pool?.let(::isFair) != true) return
        val route = exchange.request.route.name
        val typical = typicalMillis[route] ?: tookMillis.toDouble()
        typicalMillis[route] = typical + (tookMillis - typical) * NEWEST_WEIGHT
    }

    /** Returns the time after which sending [exchange] to an upstream is useless. */
    private fun latestStartMillis(exchange: Exchange): Long {
        val request = exchange.request
        val route = request.route
        val typical = typicalMillis[route.name] ?: (route.latencyTargetMillis * INITIAL_SERVICE_RATIO)
        val allowedMillis = request.deadlineAtMillis - request.arrivedAtMillis
        val serviceMillis = minOf(typical * SERVICE_TIME_MARGIN, allowedMillis * MAX_SERVICE_RATIO).toLong()
        val latestMillis = request.deadlineAtMillis - serviceMillis
        // A stream that is late waits no longer than one that has just arrived; one that may have run keeps its place,
        // since the work on it would be lost.
        if (!route.streaming || !exchange.hasNotRun) return latestMillis
        val shortestWaitUntilMillis = exchange.queuedSinceMillis + route.maxWaitMillis
        return minOf(latestMillis, maxOf(shortestWaitUntilMillis, exchange.onTimeUntilMillis - serviceMillis))
    }
}

/** Requests without an organisation share the part of one. */
private val Exchange.organisation: OrganisationName get() = request.organisation?.name ?: OrganisationName("")

/** Returns the prompt tokens that an engine has to read if it has cached the parts that other requests share. */
private fun unreadTokens(exchange: Exchange): Int {
    val demand = exchange.request.demand
    return maxOf(1, demand.promptTokens - demand.sharedParts.sumOf { it.tokens })
}
