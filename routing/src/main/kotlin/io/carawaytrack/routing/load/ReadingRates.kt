/*
 * Rates that all engines of one pool have in common: the time to read a token, by model, and the fixed time of a first
 * event. They are learned from the measured times to first events. Tokens are weighed by model, so that one weighed
 * token takes the same time whatever its model; the cheapest model has weight 1.
 */
package io.carawaytrack.routing.load

import kotlin.math.exp
import kotlin.math.ln

/** Initial time to read a token of the smallest model: 54,600 tokens in 0.9 s. */
private const val INITIAL_TOKEN_MILLIS = 0.0165
private const val MIN_TOKEN_MILLIS = 0.000_5
private const val MAX_TOKEN_MILLIS = 5.0

/** Initial time of a first event beyond the reading: the network and one step of the engine. */
private const val INITIAL_FIXED_MILLIS = 20.0
private const val MAX_FIXED_MILLIS = 400.0

/** Largest difference that one sample may show, and its weight, so that a few outliers have little effect. */
private const val MAX_FIXED_STEP_MILLIS = 25.0
private const val FIXED_WEIGHT = 0.05

/** Largest factor, as its logarithm, that one sample may show for a model's relative reading time, and its weight. */
private const val MAX_MODEL_STEP = 0.5
private const val MODEL_WEIGHT = 0.06
private const val MIN_MODEL_RATIO = 0.05
private const val MAX_MODEL_RATIO = 200.0

/** Initial values and weight of the moving averages over the placed requests. */
private const val INITIAL_REQUEST_TOKENS = 2_000.0
private const val INITIAL_ANSWER_MILLIS = 3_000.0
private const val REQUEST_WEIGHT = 0.02

/** Number of urgencies, from 0 (most urgent) to 9. */
internal const val URGENCY_COUNT = 10

/**
 * Part of the less urgent work that a request waits for: engines admit by urgency, but do not interrupt the prompt that
 * they are reading.
 */
internal const val LESS_URGENT_RATIO = 0.3

/** Learned rates of a pool whose models have the given [prices]. */
public class ReadingRates(
    prices: Map<String, Double>,
) {
    private class Model(
        var ratio: Double,
        val isReference: Boolean,
    )

    private val models: HashMap<String, Model> = HashMap()

    init {
        val smallest = prices.values.filter { it > 0 }.minOrNull()
        prices.forEach { (name, price) ->
            val ratio = if (smallest == null || price <= 0) 1.0 else price / smallest
            models[name] = Model(ratio, isReference = ratio == 1.0)
        }
    }

    /** Time in which an engine of average speed reads a weighed token. */
    public var tokenMillis: Double = INITIAL_TOKEN_MILLIS
        private set

    /** Time of a first event beyond the reading. */
    public var fixedMillis: Double = INITIAL_FIXED_MILLIS
        private set

    /** Average unread tokens of a request, weighed. */
    public var requestTokens: Double = INITIAL_REQUEST_TOKENS
        private set

    /** Average time from the placement of a request to the end of its response. */
    public var answerMillis: Double = INITIAL_ANSWER_MILLIS
        private set

    /** Moving average of the work that this host places, by urgency, relative to all of it. */
    private val urgencyShares = DoubleArray(URGENCY_COUNT) { 1.0 / URGENCY_COUNT }

    /** Part of the work with an unknown urgency that is ahead of a request, by the request's urgency. */
    private val aheadRatios = DoubleArray(URGENCY_COUNT) { 1.0 }

    init {
        updateAheadRatios()
    }

    /** Returns the time to read a token of [model], relative to the cheapest one; 1 for an unknown model. */
    public fun ratioOf(model: String): Double = models[model]?.ratio ?: 1.0

    /** Returns the part of work with an unknown urgency that is ahead of a request of [urgency]. */
    internal fun aheadRatio(urgency: Int): Double = aheadRatios[urgency]

    /** Records that [tokens] (weighed) of [urgency] were placed. */
    internal fun recordPlaced(
        tokens: Double,
        urgency: Int,
    ) {
        requestTokens += (tokens - requestTokens) * REQUEST_WEIGHT
        val weight = REQUEST_WEIGHT * minOf(1.0, tokens / maxOf(1.0, requestTokens))
        for (index in urgencyShares.indices) {
            val placed = if (index == urgency) 1.0 else 0.0
            urgencyShares[index] += (placed - urgencyShares[index]) * weight
        }
        updateAheadRatios()
    }

    private fun updateAheadRatios() {
        var share = 0.0
        for (index in urgencyShares.indices) {
            share += urgencyShares[index]
            aheadRatios[index] = share + (1.0 - share) * LESS_URGENT_RATIO
        }
    }

    internal fun recordAnswer(millis: Double) {
        answerMillis += (millis - answerMillis) * REQUEST_WEIGHT
    }

    /** Learns from a first event of [model] whose time was the [factor]-fold of the expected one, mostly reading it. */
    internal fun learnModel(
        model: String,
        factor: Double,
    ) {
        val known = models.getOrPut(model) { Model(1.0, isReference = false) }
        if (known.isReference) return
        val step = ln(factor).coerceIn(-MAX_MODEL_STEP, MAX_MODEL_STEP) * MODEL_WEIGHT
        known.ratio = (known.ratio * exp(step)).coerceIn(MIN_MODEL_RATIO, MAX_MODEL_RATIO)
    }

    /** Learns from a first event with little reading that came [lateMillis] after the expected time. */
    internal fun learnFixed(lateMillis: Double) {
        val step = lateMillis.coerceIn(-MAX_FIXED_STEP_MILLIS, MAX_FIXED_STEP_MILLIS) * FIXED_WEIGHT
        fixedMillis = (fixedMillis + step).coerceIn(0.0, MAX_FIXED_MILLIS)
    }

    /** Multiplies the time to read a token by [factor]. */
    internal fun scale(factor: Double) {
        tokenMillis = (tokenMillis * factor).coerceIn(MIN_TOKEN_MILLIS, MAX_TOKEN_MILLIS)
    }
}
