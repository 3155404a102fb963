/*
 * An upstream in simulated time for the comparison of limits. It shares its speed among the requests that run; beyond
 * its capacity it also loses speed, as an engine does that has to work out again what no longer fits its memory.
 */
package io.carawaytrack.limits

import kotlin.math.ln
import kotlin.random.Random

/** Describes a stretch of time under one load. */
data class LoadPhase(
    val untilMillis: Double,
    val capacity: Int,
    val requestsPerSecond: Double,
)

/** Sums up what came of the requests of a run, or of those that arrived in one phase of it. */
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
        var leftTokens = tokens.toDouble()
        var startedMillis = 0.0
    }

    private val random = Random(seed)
    private val waiting = ArrayDeque<Request>()
    private val running = mutableListOf<Request>()
    private val latencies = List(phases.size) { mutableListOf<Long>() }
    private val drops = IntArray(phases.size)
    private var nowMillis = 0.0

    /** Runs to the end of the last phase and returns the figures of each. */
    fun run(): List<RunFigures> {
        var arrivalMillis = nextArrival()
        while (nowMillis < phases.last().untilMillis) {
            val endMillis = nowMillis + (running.minOfOrNull { it.leftTokens } ?: Double.MAX_VALUE) * tokenMillis()
            if (endMillis < arrivalMillis) {
                advanceTo(endMillis)
                end(running.minBy { it.leftTokens })
            } else {
                advanceTo(arrivalMillis)
                waiting.addLast(Request(nowMillis, random.nextLong(FEWEST_TOKENS, MOST_TOKENS)))
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
        val over = maxOf(0, running.size - capacity)
        return IDLE_TOKEN_MILLIS * maxOf(1.0, running.size.toDouble() / capacity) * (1 + over * LOSS_PER_REQUEST_OVER)
    }

    private fun advanceTo(millis: Double) {
        val tokens = (millis - nowMillis) / tokenMillis()
        running.forEach { it.leftTokens -= tokens }
        nowMillis = millis
    }

    private fun end(request: Request) {
        completed((nowMillis - request.startedMillis).toLong(), request.tokens, running.size)
        running -= request
        latencies[phaseAt(request.arrivedMillis)] += (nowMillis - request.arrivedMillis).toLong()
    }

    private fun admit() {
        while (waiting.isNotEmpty() && nowMillis - waiting.first().arrivedMillis > LONGEST_WAIT_MILLIS) {
            drops[phaseAt(waiting.removeFirst().arrivedMillis)] += 1
        }
        while (running.size < limit() && waiting.isNotEmpty()) {
            running += waiting.removeFirst().also { it.startedMillis = nowMillis }
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
        const val LOSS_PER_REQUEST_OVER = 0.03
        const val FEWEST_TOKENS = 50L
        const val MOST_TOKENS = 151L
        const val LONGEST_WAIT_MILLIS = 5_000.0
    }
}
