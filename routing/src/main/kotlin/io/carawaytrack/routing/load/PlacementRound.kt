/*
 * One choice among the engines of a pool. Its arrays are reused, so that a choice allocates little.
 *
 * All hosts see the same reports, which are several requests old, so each choice compares a random sample of the
 * engines together with those that probably have the prompt cached.
 */
package io.carawaytrack.routing.load

import com.dynatrace.hash4j.hashing.Hashing
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random

/** Number of random engines that a choice compares besides those that have the prompt cached. */
private const val SAMPLED_ENGINES = 12

/** Part of an uncached shared prompt that the preferred engine is expected to read: other hosts use it as well. */
private const val PREFERRED_UNREAD_RATIO = 0.25

private const val INITIAL_CAPACITY = 64
private const val UNIT_BITS = 53
private const val UNIT_SHIFT = Long.SIZE_BITS - UNIT_BITS

public class PlacementRound(
    private val rates: ReadingRates,
    private val random: Random = Random.Default,
    private val sampled: Int = SAMPLED_ENGINES,
) {
    private var engines = arrayOfNulls<EngineLoad>(INITIAL_CAPACITY)
    private var cachedTokens = IntArray(INITIAL_CAPACITY)
    private var loads = IntArray(INITIAL_CAPACITY)
    private var penaltyMillis = DoubleArray(INITIAL_CAPACITY)
    private var drawable = BooleanArray(INITIAL_CAPACITY)
    private var drawableCount = 0
    private var remainingDrawable = 0
    private var remainingSample = 0
    private var costs = DoubleArray(INITIAL_CAPACITY)

    /** Number of engines that were added. */
    public var size: Int = 0
        private set

    /** Unread tokens of the request on the chosen engine. */
    public var chosenUnreadTokens: Int = 0
        private set

    public fun clear() {
        size = 0
        drawableCount = 0
    }

    /**
     * Adds an engine with its estimated [load], of which [cachedTokens] of the shared prompt are cached;
     * [penaltyMillis] is the cost that does not depend on its work. One that is not [mayBeDrawn] is only considered for
     * the prompt parts that it has cached.
     */
    public fun add(
        engine: EngineLoad,
        load: Int,
        cachedTokens: Int,
        penaltyMillis: Double,
        mayBeDrawn: Boolean = true,
    ) {
        if (size == engines.size) grow()
        engines[size] = engine
        loads[size] = load
        this.cachedTokens[size] = cachedTokens
        this.penaltyMillis[size] = penaltyMillis
        drawable[size] = mayBeDrawn
        if (mayBeDrawn) drawableCount++
        size++
    }

    private fun grow() {
        val capacity = size * 2
        engines = engines.copyOf(capacity)
        cachedTokens = cachedTokens.copyOf(capacity)
        loads = loads.copyOf(capacity)
        penaltyMillis = penaltyMillis.copyOf(capacity)
        drawable = drawable.copyOf(capacity)
        costs = costs.copyOf(capacity)
    }

    /**
     * Returns the index of the engine with the least cost for [prompt], whose tokens are all unread except for cached
     * ones; [sharedTokens] of them can be cached, and [prefixHash] identifies its shared prefix, 0 for none. Returns -1
     * without engines.
     */
    public fun choose(
        prompt: PromptWork,
        sharedTokens: Int,
        prefixHash: Long,
        nowMillis: Long,
    ): Int {
        if (size == 0) return -1
        val preferred = if (prefixHash == 0L || sharedTokens == 0) -1 else preferred(prefixHash)
        val weight = rates.ratioOf(prompt.model)
        val promptTokens = prompt.unreadTokens
        val urgency = prompt.urgency.coerceIn(0, URGENCY_COUNT - 1)
        var best = -1
        remainingSample = sampled
        remainingDrawable = drawableCount
        for (index in 0 until size) {
            val drawn = isDrawn(index)
            if (drawn || index == preferred || cachedTokens[index] > 0) {
                val tokens = unreadTokens(index, promptTokens, sharedTokens, index == preferred) * weight
                costs[index] = costMillis(index, tokens, urgency, nowMillis)
                if (best < 0 || costs[index] < costs[best]) best = index
            }
        }
        chosenUnreadTokens = unreadTokens(best, promptTokens, sharedTokens, best == preferred)
        return best
    }

    /** Draws the sample; each engine that is still ahead has the same chance to be part of it. */
    private fun isDrawn(index: Int): Boolean {
        if (!drawable[index]) return false
        val drawn = random.nextInt(remainingDrawable--) < remainingSample
        if (drawn) remainingSample--
        return drawn
    }

    private fun costMillis(
        index: Int,
        tokens: Double,
        urgency: Int,
        nowMillis: Long,
    ): Double {
        val engine = engines[index] ?: return Double.MAX_VALUE
        return engine.expectedMillis(tokens, urgency, loads[index], nowMillis) +
            engine.causedDelayMillis(tokens, urgency, nowMillis) + penaltyMillis[index]
    }

    private fun unreadTokens(
        index: Int,
        promptTokens: Int,
        sharedTokens: Int,
        isPreferred: Boolean,
    ): Int {
        val uncached = maxOf(0, sharedTokens - cachedTokens[index])
        val shared = if (isPreferred) (uncached * PREFERRED_UNREAD_RATIO).toInt() else uncached
        return maxOf(1, promptTokens - sharedTokens + shared)
    }

    /** Returns the engine that hosts prefer for a prefix by weighted rendezvous hashing; faster engines have more. */
    private fun preferred(prefixHash: Long): Int {
        var best = -1
        var bestScore = Double.MAX_VALUE
        for (index in 0 until size) {
            val engine = engines[index] ?: continue
            val unit =
                ((Hashing.komihash5_0().hashLongLongToLong(prefixHash, engine.idHash) ushr UNIT_SHIFT) + 1).toDouble() /
                    (1L shl UNIT_BITS)
            val score = -ln(unit) * exp(-engine.speedClass * SPEED_CLASS_WIDTH)
            if (score < bestScore) {
                best = index
                bestScore = score
            }
        }
        return best
    }
}
