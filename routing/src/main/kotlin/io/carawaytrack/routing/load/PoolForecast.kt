/*
 * Forecast of one pool of engines: the work of its engines, its learned rates and how much of its capacity is in use.
 *
 * The capacity in use follows from the time that the engines' unread prompts take (backlog): a queue at utilization u
 * holds u / (1 - u) requests on average. Above 1, the backlog grows by what exceeds the capacity. Hosts place unequal
 * amounts of work, so a host's own placements say less.
 */
package io.carawaytrack.routing.load

import com.dynatrace.hash4j.hashing.Hashing
import io.carawaytrack.model.UpstreamId
import kotlin.math.exp
import kotlin.math.ln

/** Weights of the newest value in the averages of the backlog, which cover about 0.5 s and 2.5 s of updates. */
private const val BACKLOG_WEIGHT = 0.2
private const val EARLIER_BACKLOG_WEIGHT = 0.04

/** Time between the centres of both averages: the difference of their ages. */
private const val GROWTH_MILLIS = 2_000.0

/** Shortest interval between two updates of the averages. */
private const val UPDATE_INTERVAL_MILLIS = 50L

/** Part of the difference between the engines' mean slowness and 1 that the common rate takes over at an update. */
private const val NORMALIZE_RATIO = 0.2

public class PoolForecast(
    prices: Map<String, Double>,
    private val nowMillis: () -> Long,
) : PoolOutlook {
    public val rates: ReadingRates = ReadingRates(prices)
    private val engines = LinkedHashMap<UpstreamId, EngineLoad>()
    private var updatedAtMillis = nowMillis()
    private var backlogMillis = 0.0
    private var earlierBacklogMillis = 0.0

    /**
     * Adds a new engine, or replaces one that has restarted and has neither work nor a learned speed; [load] returns
     * the number of its requests, or -1 while it accepts none.
     */
    public fun add(
        id: UpstreamId,
        slots: Int,
        pace: MomentaryPace = MomentaryPace(),
        load: () -> Int = { 0 },
    ): EngineLoad {
        val idHash = Hashing.komihash5_0().hashCharsToLong(id.value)
        return EngineLoad(rates, idHash, slots, nowMillis(), pace, load).also { engines[id] = it }
    }

    public fun remove(id: UpstreamId) {
        engines -= id
    }

    /** Records that [work] is placed on [engine], which has [load] requests. */
    public fun place(
        engine: EngineLoad,
        work: PromptWork,
        load: Int,
    ): PlacedWork = engine.place(work.copy(urgency = urgencyOf(work)), load, nowMillis())

    /** Applies the unread tokens of the other hosts; engines that are absent have none. */
    public fun applyFigures(unreadTokens: Map<UpstreamId, Long>) {
        val now = nowMillis()
        engines.forEach { (id, engine) -> engine.applyFigures((unreadTokens[id] ?: 0L).toDouble(), now) }
    }

    /** Adds this host's own unread tokens by engine to [target]. */
    public fun collectUnread(target: MutableMap<UpstreamId, Long>) {
        val now = nowMillis()
        engines.forEach { (id, engine) ->
            val tokens = engine.ownUnreadTokens(now).toLong()
            if (tokens > 0) target[id] = tokens
        }
    }

    /** Unread tokens of the pool's engines, weighed. */
    public val unreadTokens: Double get() = nowMillis().let { now -> engines.values.sumOf { it.unreadTokens(now) } }

    /** Mean momentary slowness of the engines. */
    public val meanPace: Double
        get() {
            val now = nowMillis()
            return if (engines.isEmpty()) 1.0 else engines.values.sumOf { it.pace.ratioAt(now) } / engines.size
        }

    /** Updates the averages; to be called several times a second. */
    public fun update() {
        val now = nowMillis()
        val elapsedMillis = now - updatedAtMillis
        if (elapsedMillis < UPDATE_INTERVAL_MILLIS || engines.isEmpty()) return
        updatedAtMillis = now
        val backlog = engines.values.sumOf { it.unreadTokens(now) * it.slowness } * rates.tokenMillis / engines.size
        backlogMillis += (backlog - backlogMillis) * BACKLOG_WEIGHT
        earlierBacklogMillis += (backlog - earlierBacklogMillis) * EARLIER_BACKLOG_WEIGHT
        val factor = exp(engines.values.sumOf { ln(it.slowness) } / engines.size * NORMALIZE_RATIO)
        rates.scale(factor)
        engines.values.forEach { it.normalize(factor) }
    }

    override val busyRatio: Double
        get() {
            val requestMillis = rates.requestTokens * rates.tokenMillis
            val growth = (backlogMillis - earlierBacklogMillis) / GROWTH_MILLIS
            return maxOf(0.0, backlogMillis / (backlogMillis + requestMillis) + growth)
        }

    override fun firstEventMillis(work: PromptWork): Double? {
        val now = nowMillis()
        val tokens = work.unreadTokens * rates.ratioOf(work.model)
        var soonest = Double.MAX_VALUE
        engines.values.forEach { engine ->
            val load = engine.load()
            if (load >= 0) soonest = minOf(soonest, engine.expectedMillis(tokens, urgencyOf(work), load, now))
        }
        return soonest.takeIf { it < Double.MAX_VALUE }
    }

    override fun readMillis(work: PromptWork): Double? =
        if (engines.isEmpty()) null else work.unreadTokens * rates.ratioOf(work.model) * rates.tokenMillis

    private fun urgencyOf(work: PromptWork) = work.urgency.coerceIn(0, URGENCY_COUNT - 1)
}
