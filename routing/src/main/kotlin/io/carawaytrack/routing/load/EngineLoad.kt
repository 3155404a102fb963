/*
 * Work of one engine as one host knows it: its own attempts whose first event is outstanding, the unread tokens that
 * other hosts state, and the engine's own reports. Between two reports the work is counted down at the learned rate.
 */
package io.carawaytrack.routing.load

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow

/** Part of an attempt's tokens that counts until its first event, since the estimate may run ahead of the engine. */
private const val UNREAD_FLOOR_RATIO = 0.15

/** Time for which figures of other hosts count. */
public const val FIGURES_VALID_MILLIS: Long = 1_200

/** Time for which a report of running and waiting requests counts. */
private const val REPORT_VALID_MILLIS = 3_000L

/**
 * Weight of the engine's own report against the figures of other hosts that are counted down since they arrived: it
 * states how many requests wait, but not how long they are.
 */
private const val REPORT_WEIGHT = 0.15

/** Slowdown of reading by generation when all slots generate. */
private const val GENERATION_SLOWDOWN = 0.5

/** Time for which a momentary slowdown is expected to last. */
private const val PACE_LASTS_MILLIS = 200.0

/** Part of the lateness of an attempt that later ones are expected to suffer as well, and its limit. */
private const val LATE_RATIO = 0.5
private const val MAX_LATE_MILLIS = 1_500.0

/**
 * Cost of a pause that reading causes in the streams that the engine generates, relative to a delayed first event. With
 * 0.03, long prompts gather on engines with many streams, and short ones are late twice as often at full load.
 */
private const val PAUSE_COST_RATIO = 0.2

/** Bounds of the lasting slowness; engines of one pool differ by about a factor of two. */
private const val MIN_SLOWNESS = 0.35
private const val MAX_SLOWNESS = 4.0

/**
 * Largest factor, as its logarithm, that one sample may show, and the least weight of a sample. The weight is
 * multiplied by the square of the request's own part of the expected time: the work ahead is known less exactly.
 */
private const val MAX_SLOWNESS_STEP = 0.6
private const val SLOWNESS_WEIGHT = 0.3

/** Part of the expected time above which a sample is about reading, or about reading its own prompt. */
private const val READING_SAMPLE_RATIO = 0.5

/** Time without samples after which the logarithm of the slowness is halved, so that a slow engine is tried again. */
private const val SLOWNESS_HALF_LIFE_MILLIS = 30_000.0

/** Shortest time that is distinguished from zero. */
private const val MIN_MEASURED_MILLIS = 1.0

private const val HALF = 0.5

/**
 * Work of one engine.
 *
 * @property idHash hash of its identifier, the same on all hosts
 * @property load returns the number of its requests, or -1 while it accepts none
 */
public class EngineLoad(
    private val rates: ReadingRates,
    public val idHash: Long,
    slots: Int,
    startedAtMillis: Long,
    public val pace: MomentaryPace = MomentaryPace(),
    public val load: () -> Int = { 0 },
) {
    private val slots = maxOf(1, slots)

    /** Factor on the engine's usual figure, learned from first events. */
    private var learnedSlowness = 1.0

    /** Factor by which work takes longer than on an average engine of the pool, apart from momentary changes. */
    public val slowness: Double get() = learnedSlowness * pace.usualRatio
    private var samples = 0
    private var sampledAtMillis = startedAtMillis

    /** Attempts whose first event is outstanding, the most urgent first. */
    private val unread = ArrayList<PlacedWork>()
    private var othersTokens = 0.0
    private var figuresAtMillis = Long.MIN_VALUE / 2
    private var running = 0
    private var waiting = 0
    private var reportedAtMillis = Long.MIN_VALUE / 2
    private var advancedAtMillis = startedAtMillis

    /** Logarithmic class of the lasting speed, for the choice of preferred engines; changes rarely. */
    public var speedClass: Int = 0
        private set

    /** Returns this host's own unread tokens, weighed. */
    public fun ownUnreadTokens(nowMillis: Long): Double {
        advance(nowMillis)
        return ownTokens()
    }

    /** Returns all unread tokens, weighed. */
    public fun unreadTokens(nowMillis: Long): Double {
        advance(nowMillis)
        return ownTokens() + others(nowMillis)
    }

    private fun ownTokens(): Double {
        var sum = 0.0
        for (index in unread.indices) sum += unread[index].remainingTokens
        return sum
    }

    private fun others(nowMillis: Long): Double =
        if (nowMillis - maxOf(figuresAtMillis, reportedAtMillis) < FIGURES_VALID_MILLIS) othersTokens else 0.0

    /** Applies the unread [tokens] of the other hosts. */
    public fun applyFigures(
        tokens: Double,
        nowMillis: Long,
    ) {
        advance(nowMillis)
        othersTokens = maxOf(0.0, tokens)
        figuresAtMillis = nowMillis
    }

    /** Applies a report of [atMillis] about the engine's running and waiting requests. */
    public fun applyReport(
        running: Int,
        waiting: Int,
        atMillis: Long,
        nowMillis: Long,
    ) {
        if (atMillis < reportedAtMillis) return
        advance(nowMillis)
        this.running = running
        this.waiting = waiting
        reportedAtMillis = atMillis
        var ownBefore = 0
        for (index in unread.indices) if (unread[index].placedAtMillis < atMillis) ownBefore++
        val reported = maxOf(0, waiting - ownBefore) * rates.requestTokens
        val hasFigures = nowMillis - figuresAtMillis < FIGURES_VALID_MILLIS
        othersTokens = if (hasFigures) othersTokens * (1 - REPORT_WEIGHT) + reported * REPORT_WEIGHT else reported
    }

    /** Counts down the unread tokens by what the engine has read since the last call. */
    private fun advance(nowMillis: Long) {
        val elapsedMillis = nowMillis - advancedAtMillis
        if (elapsedMillis <= 0) return
        advancedAtMillis = nowMillis
        val own = ownTokens()
        val others = others(nowMillis)
        val total = own + others
        if (total <= 0.0) {
            othersTokens = 0.0
            return
        }
        val readTokens = minOf(total, elapsedMillis / (rates.tokenMillis * slownessWith(running, nowMillis)))
        othersTokens = others - readTokens * others / total
        var readOwn = readTokens * own / total
        for (index in unread.indices) {
            val work = unread[index]
            val counted = minOf(readOwn, maxOf(0.0, work.remainingTokens - work.tokens * UNREAD_FLOOR_RATIO))
            work.remainingTokens -= counted
            readOwn -= counted
            if (readOwn <= 0.0) break
        }
    }

    private fun slownessWith(
        running: Int,
        nowMillis: Long,
    ) = currentSlowness(nowMillis) * generationFactor(running) * pace.momentaryAt(nowMillis)

    private fun generationFactor(running: Int) = 1.0 + GENERATION_SLOWDOWN * minOf(1.0, running.toDouble() / slots)

    private fun currentSlowness(nowMillis: Long): Double {
        val idleMillis = nowMillis - sampledAtMillis
        if (idleMillis < SLOWNESS_FADE_AFTER_MILLIS || learnedSlowness == 1.0) return slowness
        val fading = HALF.pow((idleMillis - SLOWNESS_FADE_AFTER_MILLIS) / SLOWNESS_HALF_LIFE_MILLIS)
        return learnedSlowness.pow(fading) * pace.usualRatio
    }

    /** Returns the expected time to the first event of a request with [tokens] unread tokens (weighed). */
    public fun expectedMillis(
        tokens: Double,
        urgency: Int,
        load: Int,
        nowMillis: Long,
    ): Double {
        val usual = usualMillis(tokens, urgency, load, nowMillis)
        return withPace(usual, pace.momentaryAt(nowMillis)) + lateMillis(nowMillis)
    }

    /** Returns the expected time without the momentary slowness. */
    private fun usualMillis(
        tokens: Double,
        urgency: Int,
        load: Int,
        nowMillis: Long,
    ): Double {
        advance(nowMillis)
        var ahead = others(nowMillis) * rates.aheadRatio(urgency)
        for (index in unread.indices) {
            val work = unread[index]
            val ratio = if (work.work.urgency <= urgency) 1.0 else LESS_URGENT_RATIO
            ahead += work.remainingTokens * ratio
        }
        val reading = (ahead + tokens) * rates.tokenMillis * generationFactor(load)
        val slotWait = maxOf(0, load + 1 - slots) * rates.answerMillis / slots
        return (rates.fixedMillis + reading) * currentSlowness(nowMillis) + slotWait
    }

    private fun withPace(
        usualMillis: Double,
        pace: Double,
    ): Double {
        val pacedMillis = usualMillis * pace
        return if (pacedMillis <= PACE_LASTS_MILLIS) pacedMillis else usualMillis + PACE_LASTS_MILLIS * (1 - 1 / pace)
    }

    /** Returns how much longer than its expected time an attempt has waited, as far as it concerns later ones. */
    private fun lateMillis(nowMillis: Long): Double {
        var latest = 0.0
        for (index in unread.indices) {
            val work = unread[index]
            latest = maxOf(latest, nowMillis - work.placedAtMillis - work.expectedMillis)
        }
        return minOf(MAX_LATE_MILLIS, latest) * LATE_RATIO
    }

    /** Returns the delay that a request with [tokens] unread tokens (weighed) causes to the requests of the engine. */
    public fun causedDelayMillis(
        tokens: Double,
        urgency: Int,
        nowMillis: Long,
    ): Double {
        var behind = 0.0
        for (index in unread.indices) if (unread[index].work.urgency > urgency) behind++
        val isReported = nowMillis - reportedAtMillis < REPORT_VALID_MILLIS
        val running = if (isReported) running else 0
        if (isReported) behind += maxOf(0, waiting - unread.size) * (1 - rates.aheadRatio(urgency))
        val readMillis = tokens * rates.tokenMillis * slownessWith(running, nowMillis)
        return readMillis * (behind + running * PAUSE_COST_RATIO)
    }

    /** Records that this host sends [work] to the engine, which has [load] requests. */
    public fun place(
        work: PromptWork,
        load: Int,
        nowMillis: Long,
    ): PlacedWork {
        val tokens = work.unreadTokens * rates.ratioOf(work.model)
        val expected = expectedMillis(tokens, work.urgency, load, nowMillis)
        val usual = usualMillis(tokens, work.urgency, load, nowMillis)
        val placed = PlacedWork(this, work, nowMillis, tokens, expected, usual)
        var index = unread.size
        while (index > 0 && unread[index - 1].work.urgency > work.urgency) index--
        unread.add(index, placed)
        rates.recordPlaced(tokens, work.urgency)
        return placed
    }

    internal fun read(
        placed: PlacedWork,
        nowMillis: Long,
    ) {
        if (placed.isRead) return
        clear(placed, nowMillis)
        learn(placed, maxOf(MIN_MEASURED_MILLIS, (nowMillis - placed.placedAtMillis).toDouble()), nowMillis)
    }

    internal fun ended(
        placed: PlacedWork,
        nowMillis: Long,
    ) {
        if (!placed.isRead) return clear(placed, nowMillis)
        rates.recordAnswer((nowMillis - placed.placedAtMillis).toDouble())
    }

    private fun clear(
        placed: PlacedWork,
        nowMillis: Long,
    ) {
        advance(nowMillis)
        placed.isRead = true
        unread.remove(placed)
    }

    private fun learn(
        placed: PlacedWork,
        measuredMillis: Double,
        nowMillis: Long,
    ) {
        val expectedMillis = withPace(placed.usualMillis, pace.momentaryAt(nowMillis))
        val factor = measuredMillis / maxOf(MIN_MEASURED_MILLIS, expectedMillis)
        val slownessNow = currentSlowness(nowMillis)
        val fixed = rates.fixedMillis * slownessNow
        val isReading = fixed < placed.usualMillis * READING_SAMPLE_RATIO
        if (!isReading) rates.learnFixed((measuredMillis - expectedMillis) / slownessNow)
        val ownMillis = placed.tokens * rates.tokenMillis * slownessNow
        if (ownMillis > placed.usualMillis * READING_SAMPLE_RATIO) rates.learnModel(placed.work.model, factor)
        val ownRatio = minOf(1.0, (ownMillis + fixed) / maxOf(MIN_MEASURED_MILLIS, placed.usualMillis))
        val weight = maxOf(SLOWNESS_WEIGHT, 1.0 / (samples + 2)) * ownRatio * ownRatio
        val step = ln(factor).coerceIn(-MAX_SLOWNESS_STEP, MAX_SLOWNESS_STEP) * weight
        learnedSlowness = (slownessNow / pace.usualRatio * exp(step)).coerceIn(MIN_SLOWNESS, MAX_SLOWNESS)
        samples++
        sampledAtMillis = nowMillis
    }

    /** Divides the slowness by the pool's average [factor], which the pool's common rate takes over. */
    internal fun normalize(factor: Double) {
        learnedSlowness = (learnedSlowness / factor).coerceIn(MIN_SLOWNESS, MAX_SLOWNESS)
        val exact = -ln(slowness) / SPEED_CLASS_WIDTH
        if (exact > speedClass + SPEED_CLASS_MARGIN) speedClass++
        if (exact < speedClass - SPEED_CLASS_MARGIN) speedClass--
    }

    private companion object {
        /** Time without samples for which the slowness is kept. */
        const val SLOWNESS_FADE_AFTER_MILLIS = 15_000L
    }
}

/** Width of a speed class as the logarithm of a factor, and the distance at which the class changes. */
internal const val SPEED_CLASS_WIDTH: Double = 0.35
private const val SPEED_CLASS_MARGIN = 0.8
