/*
 * An upstream in simulated time for the comparison of limits. Its throughput is shared among the running requests and
 * decreases above its capacity, like that of an engine that recomputes what no longer fits into its memory.
 */
package io.carawaytrack.limits

import kotlin.math.ln
import kotlin.random.Random

/** Describes a period of constant load and capacity. */
data class LoadPhase(
    val untilMillis: Double,
    val capacity: Int,
    val requestsPerSecond: Double,
)

/** Summarises the outcome of the requests that arrived in one phase of a run. */
data class RunFigures(
    val completed: Int,
    val dropped: Int,
    val p50Millis: Long,
    val p99Millis: Long,
)

class SimulatedUpstream(
    private val phases: List<LoadPhase>,
    seed: Long,
    private val limit: () -> Int,
    private val completed: (latencyMillis: Long, tokens: Long, running: Int) -> Unit,
) {
    private class Request(
        val arrivedMillis: Double,
        val tokens: Long,
    ) {
        var remainingTokens = tokens.toDouble()
        var startedAtMillis = 0.0
    }

    private val random = Random(seed)
    private val waiting = ArrayDeque<Request>()
    private val running = mutableListOf<Request>()
    private val latencies = List(phases.size) { mutableListOf<Long>() }
    private val drops = IntArray(phases.size)
    private var nowMillis = 0.0

    /** Runs until the end of the last phase and returns the figures of each phase. */
    fun run(): List<RunFigures> {
        var arrivalMillis = nextArrival()
        while (nowMillis < phases.last().untilMillis) {
            val endMillis = nowMillis + (running.minOfOrNull { it.remainingTokens } ?: Double.MAX_VALUE) * tokenMillis()
            if (endMillis < arrivalMillis) {
                advanceTo(endMillis)
                end(running.minBy { it.remainingTokens })
            } else {
                advanceTo(arrivalMillis)
                waiting.addLast(Request(nowMillis, random.nextLong(MIN_TOKENS, MAX_TOKENS_EXCLUSIVE)))
                arrivalMillis = nextArrival()
            }
            admit()
        }
        return latencies.zip(drops.toList(), ::figures)
    }

    private fun phaseAt(millis: Double) =
        phases.indexOfFirst { millis < it.untilMillis }.let { if (it < 0) phases.lastIndex else it }

    private fun nextArrival() =
        nowMillis - ln(1 - random.nextDouble()) * 1_000 / phases[phaseAt(nowMillis)].requestsPerSecond

    private fun tokenMillis(): Double {
        val capacity = phases[phaseAt(nowMillis)].capacity
        val excess = maxOf(0, running.size - capacity)
        return IDLE_TOKEN_MILLIS * maxOf(1.0, running.size.toDouble() / capacity) * (1 + excess * EXCESS_SLOWDOWN_RATIO)
    }

    private fun advanceTo(millis: Double) {
        val tokens = (millis - nowMillis) / tokenMillis()
        running.forEach { it.remainingTokens -= tokens }
        nowMillis = millis
    }

    private fun end(request: Request) {
        completed((nowMillis - request.startedAtMillis).toLong(), request.tokens, running.size)
        running -= request
        latencies[phaseAt(request.arrivedMillis)] += (nowMillis - request.arrivedMillis).toLong()
    }

    private fun admit() {
        while (waiting.isNotEmpty() && nowMillis - waiting.first().arrivedMillis > MAX_WAIT_MILLIS) {
            drops[phaseAt(waiting.removeFirst().arrivedMillis)] += 1
        }
        while (running.size < limit() && waiting.isNotEmpty()) {
            running += waiting.removeFirst().also { it.startedAtMillis = nowMillis }
        }
    }

    private fun figures(
        latencies: List<Long>,
        dropped: Int,
    ): RunFigures {
        val sorted = latencies.sorted()
        return RunFigures(sorted.size, dropped, sorted[sorted.size / 2], sorted[sorted.size * 99 / 100])
    }

    private companion object {
        const val IDLE_TOKEN_MILLIS = 10.0
        const val EXCESS_SLOWDOWN_RATIO = 0.03
        const val MIN_TOKENS = 50L
        const val MAX_TOKENS_EXCLUSIVE = 151L
        const val MAX_WAIT_MILLIS = 5_000.0
    }
}
