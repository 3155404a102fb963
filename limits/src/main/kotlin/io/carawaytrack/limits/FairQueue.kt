/*
 * Queue of one pool on one host, for pools whose callers compete. More urgent ranks are served first; within a rank,
 * organisations that got more than their fair share stand back; then requests that can still be on time precede late
 * ones, in order of arrival. Requests that cannot be served in the time that they have are refused before that time has
 * passed, so that their callers can try elsewhere.
 *
 * The expected load is several hundred queued requests on a host with a fifth of a processor, so the queue is sorted
 * only at intervals and not at each request.
 */
package io.carawaytrack.limits

import io.carawaytrack.model.OrganisationName

/** Maximum number of queued requests. */
public const val MAX_FAIR_QUEUE: Int = 512

/** Averaging time of the drain rate of short calls: several are served in it, and a lost upstream shows soon. */
public const val DRAIN_AVERAGE_MILLIS: Double = 500.0

/** Interval at which the order is determined anew; with 50 ms, calls that had become late preceded others (152 ms). */
private const val ORDER_VALID_MILLIS = 20L

/**
 * Time for which an organisation whose requests had to wait counts as wanting more: its requests are likely to wait on
 * other hosts at this moment.
 */
private const val WANTING_MILLIS = 500L

/** Wait from which an organisation counts as wanting more; a shorter one ends with the next free slot. */
private const val MIN_WANTING_MILLIS = 25L

/** Excess steps from which an organisation waits for others of its rank that wait on other hosts. */
private const val HELD_BACK_STEP = 2

/** Number of requests in a row for which no upstream is free after which the rest of the queue is not tried. */
private const val MAX_MISSES = 8

/**
 * Describes a queued request.
 *
 * @property rank urgency, 0 is the most urgent
 * @property work amount that it adds to its organisation's admitted work
 * @property queuedSinceMillis time at which the request began to wait
 * @property onTimeUntilMillis time after which a response misses the latency target
 * @property latestStartMillis time after which the request can no longer be served
 */
public class FairEntry<T>(
    public val item: T,
    public val organisation: OrganisationName,
    public val rank: Int,
    public val work: Double,
    public val queuedSinceMillis: Long,
    public val onTimeUntilMillis: Long,
    public val latestStartMillis: Long,
) {
    /** How far its organisation is above its fair share, in steps; 0 if it is not. */
    public var step: Int = 0
        internal set

    internal var isLate = false
    internal var isQueued = false
}

/** Reason for which a queued request is refused. */
public enum class QueueRefusal {
    /** The time in which the request could be served has passed. */
    WaitLimit,

    /** The work ahead of the request takes longer than the time that it has. */
    NoChance,

    /** The queue was full. */
    Evicted,
}

/**
 * A request that is refused.
 *
 * @property expectedMillis time until capacity is expected for it; null if the queue's rate is unknown
 * @property serviceMillis time in which the queue serves as much work; null if the queue's rate is unknown
 */
public class RefusedEntry<T>(
    public val entry: FairEntry<T>,
    public val reason: QueueRefusal,
    public val expectedMillis: Double?,
    public val serviceMillis: Double?,
)

/**
 * Queue of one pool. Not thread-safe.
 *
 * @param admitted returns the recent work of the organisations in a rank, over all hosts
 * @param ownAdmitted returns the recent work of the organisations in a rank on this host
 * @param drainAverageMillis time over which the rate at which requests are served is averaged
 * @param overload returns the recent work relative to what the pool can serve; at most 1 unless work piles up in it
 */
public class FairQueue<T>(
    private val nowMillis: () -> Long,
    private val admitted: (rank: Int) -> Map<OrganisationName, Double>,
    private val ownAdmitted: (rank: Int) -> Map<OrganisationName, Double>,
    drainAverageMillis: Double = DRAIN_AVERAGE_MILLIS,
    private val overload: () -> Double = { 1.0 },
) {
    private val entries = ArrayList<FairEntry<T>>()
    private val rate = DrainRate(drainAverageMillis, nowMillis)
    private val ranks = RankTurns(nowMillis)
    private val wanting = HashMap<Int, RecentSums<OrganisationName>>()
    private val stepsByRank = HashMap<Int, Map<OrganisationName, Int>>()
    private val order: Comparator<FairEntry<T>> =
        compareBy({ it.rank }, { it.step }, { it.isLate }, { it.queuedSinceMillis })
    private var orderedAtMillis = Long.MIN_VALUE
    private var isOffering = false

    public val size: Int get() = entries.size

    /** Whether a request that arrives now must be queued, so that it does not overtake or exceed its share. */
    public val mustQueue: Boolean get() = entries.isNotEmpty() || overload() > 1

    /** Adds [entry] and returns the requests that are refused because the queue is full. */
    public fun add(entry: FairEntry<T>): List<RefusedEntry<T>> {
        ranks.recordAsked(entry.rank)
        entry.isQueued = true
        entry.step = stepsByRank[entry.rank]?.get(entry.organisation) ?: 0
        entry.isLate = nowMillis() > entry.onTimeUntilMillis
        val index = entries.binarySearch(entry, order)
        entries.add(if (index < 0) -index - 1 else index + 1, entry)
        updateRate()
        return if (entries.size <= MAX_FAIR_QUEUE) emptyList() else listOf(evict())
    }

    /** Removes the request of [item]; returns whether it was queued. */
    public fun remove(item: T): Boolean {
        val entry = entries.firstOrNull { it.item === item } ?: return false
        drop(entry)
        return true
    }

    private fun drop(entry: FairEntry<T>) {
        entries -= entry
        entry.isQueued = false
        updateRate()
    }

    /** The rate of the queue is that of the requests that are not held back. */
    private fun updateRate() = rate.queueChanged(isQueued = entries.any { !it.isHeldBack })

    /**
     * Passes queued requests to [accept] in order and removes those that it accepts. Unless [all] is set, it stops when
     * several in a row find no free upstream. While work piles up in the pool, organisations above their share wait.
     */
    public fun offer(
        all: Boolean,
        accept: (T) -> Boolean,
    ) {
        if (entries.isEmpty() || isOffering) return
        isOffering = true
        try {
            offerInOrder(if (all) Int.MAX_VALUE else MAX_MISSES, accept)
        } finally {
            isOffering = false
            updateRate()
        }
    }

    private fun offerInOrder(
        maxMisses: Int,
        accept: (T) -> Boolean,
    ) {
        sort()
        // Other hosts have requests of organisations below their share, although this one may have none now.
        val offered = entries.filterTo(ArrayDeque()) { !it.isHeldBack }
        ranks.starvedRank(offered.asSequence().map { it.rank })?.let { starved ->
            val index = offered.indexOfFirst { it.rank == starved }
            offered.addFirst(offered.removeAt(index))
        }
        var misses = 0
        while (misses < maxMisses && offered.isNotEmpty()) {
            val next = offered.removeFirst()
            // Requests may end, and others may be queued, while the loop is running.
            if (!next.isQueued) continue
            if (accept(next.item)) {
                misses = 0
                recordServed(next)
            } else {
                misses++
            }
        }
    }

    private fun recordServed(entry: FairEntry<T>) {
        entries -= entry
        entry.isQueued = false
        // A request that did not wait says how much was asked, not how much can be served.
        if (nowMillis() > entry.queuedSinceMillis) rate.recordServed(entry.work)
        ranks.recordServed(entry.rank)
    }

    /**
     * Removes and returns the requests that cannot be served in the time that they have, where the next call follows
     * within [horizonMillis].
     */
    public fun takeHopeless(horizonMillis: Long): List<RefusedEntry<T>> {
        if (entries.isEmpty()) return emptyList()
        sort()
        val now = nowMillis()
        val refused = ArrayList<RefusedEntry<T>>()
        val workAhead = HashMap<Any, Double>()
        entries.forEach { entry ->
            // A held back organisation is served at its own rate, the others at that of the queue.
            val line = if (entry.isHeldBack) entry.rank to entry.organisation else this
            val perMilli = if (entry.isHeldBack) ownPerMilli(entry) else rate.perMilli
            val ahead = workAhead[line] ?: 0.0
            val startMillis = if (ahead > 0 && perMilli != null) now + ahead / perMilli else now.toDouble()
            val reason =
                when {
                    entry.latestStartMillis < now + horizonMillis -> QueueRefusal.WaitLimit
                    // Without work ahead, the request shows whether the pool serves again.
                    startMillis > entry.latestStartMillis -> QueueRefusal.NoChance
                    else -> null
                }
            if (reason ==
                null
            ) {
                workAhead[line] = ahead + entry.work
            } else {
                refused += refused(entry, reason, ahead, perMilli)
            }
        }
        refused.forEach { drop(it.entry) }
        return refused
    }

    private val FairEntry<T>.isHeldBack: Boolean get() = step >= HELD_BACK_STEP

    private fun ownPerMilli(entry: FairEntry<T>): Double? =
        ownAdmitted(entry.rank)[entry.organisation]?.takeIf { it > 0 }?.let { it / ADMITTED_WORK_MILLIS }

    /** Returns the time until capacity is expected for more [work] of [rank]; null while the rate is unknown. */
    public fun expectedMillis(
        rank: Int,
        work: Double,
    ): Double? {
        val perMilli = rate.perMilli ?: return null
        return (entries.sumOf { if (it.rank <= rank) it.work else 0.0 } + work) / perMilli
    }

    /** Returns the time in which the queue serves [work]; null while the rate is unknown. */
    public fun serviceMillis(work: Double): Double? = rate.perMilli?.let { work / it }

    private fun refused(
        entry: FairEntry<T>,
        reason: QueueRefusal,
        workAhead: Double,
        perMilli: Double?,
    ) = RefusedEntry(entry, reason, perMilli?.let { (workAhead + entry.work) / it }, perMilli?.let { entry.work / it })

    /** Evicts the newest request of the organisation that holds most in the least urgent rank. */
    private fun evict(): RefusedEntry<T> {
        val rank = entries.maxOf { it.rank }
        val last = entries.filter { it.rank == rank }
        val held = last.groupingBy { it.organisation }.fold(0.0) { work, entry -> work + entry.work }
        val holdsMost = held.maxBy { it.value }.key
        val newest = last.filter { it.organisation == holdsMost }.maxBy { it.queuedSinceMillis }
        drop(newest)
        val workAhead = entries.sumOf { it.work }
        return refused(newest, QueueRefusal.Evicted, workAhead, rate.perMilli)
    }

    private fun sort() {
        val now = nowMillis()
        if (orderedAtMillis != Long.MIN_VALUE && now - orderedAtMillis < ORDER_VALID_MILLIS) return
        orderedAtMillis = now
        stepsByRank.clear()
        entries.groupBy { it.rank }.forEach { (rank, inRank) ->
            val sums = wanting.getOrPut(rank) { RecentSums(WANTING_MILLIS, nowMillis) }
            inRank.forEach { if (now - it.queuedSinceMillis >= MIN_WANTING_MILLIS) sums.record(it.organisation, 1.0) }
            val queued = sums.all().keys + inRank.map { it.organisation }
            val requestWork = inRank.sumOf { it.work } / inRank.size
            val steps = excessSteps(admitted(rank), queued, requestWork, overload())
            stepsByRank[rank] = steps
            inRank.forEach {
                it.step = steps[it.organisation] ?: 0
                it.isLate = now > it.onTimeUntilMillis
            }
        }
        entries.sortWith(order)
        updateRate()
    }
}
