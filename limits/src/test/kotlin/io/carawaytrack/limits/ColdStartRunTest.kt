/*
 * Simulates slow start on an upstream that is cold at first and becomes cold again in the middle of the run, with
 * callers that use every permit immediately. It guards against sending a cold upstream more requests than it sustains.
 */
package io.carawaytrack.limits

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.util.PriorityQueue
import kotlin.random.Random

class ColdStartRunTest {
    /**
     * Describes the result of a run.
     *
     * @property overAtStart requests begun above the capacity of the upstream in the first cold start
     * @property overAfterRestart requests begun above the capacity of the upstream in the second cold start
     * @property fullAfterMillis time until all warm capacity was in use; null if it never was
     */
    private data class Figures(
        val begun: Int,
        val overAtStart: Int,
        val overAfterRestart: Int,
        val fullAfterMillis: Long?,
    )

    /** Describes what the agent observes of the second cold start besides the latency. */
    private enum class ColdRestart { RestartSeen, RequestsLost, LatencyOnly }

    private class Run(
        seed: Long,
        private val coldRestart: ColdRestart,
        slowStart: (() -> Long) -> SlowStart,
    ) {
        private class Request(
            val endMillis: Long,
            val latencyMillis: Long,
            val tokens: Long,
        )

        private val random = Random(seed)
        private val running = PriorityQueue<Request>(compareBy { it.endMillis })
        private var nowMillis = 0L
        private var bootMillis = 0L
        private var begun = 0
        private val overCapacity = IntArray(2)
        private var fullAfterMillis: Long? = null
        private val permits = slowStart { nowMillis }
        private val warmRatio get() = ((nowMillis - bootMillis).toDouble() / COLD_MILLIS).coerceAtMost(1.0)
        private val capacity get() = COLD_CAPACITY + ((WARM_CAPACITY - COLD_CAPACITY) * warmRatio).toInt()

        fun figures(): Figures {
            while (nowMillis < END_MILLIS) {
                if (bootMillis == 0L && nowMillis >= SECOND_COLD_START_MILLIS) restart()
                while (running.size < permits.permits) begin()
                if (running.size >= WARM_CAPACITY) fullAfterMillis = fullAfterMillis ?: nowMillis
                val next = running.poll()
                nowMillis = next.endMillis
                permits.completed(next.latencyMillis, next.tokens)
            }
            return Figures(begun, overCapacity[0], overCapacity[1], fullAfterMillis)
        }

        private fun restart() {
            bootMillis = nowMillis
            if (coldRestart == ColdRestart.RestartSeen) permits.restarted()
            if (coldRestart == ColdRestart.LatencyOnly) return
            repeat(running.size) { permits.failed() }
            running.clear()
        }

        private fun begin() {
            if (running.size >= capacity) overCapacity[if (bootMillis == 0L) 0 else 1] += 1
            begun += 1
            val tokens = random.nextLong(30, 71)
            val latencyMillis =
                (tokens * WARM_TOKEN_MILLIS * (COLD_SLOWDOWN - (COLD_SLOWDOWN - 1) * warmRatio)).toLong()
            running += Request(nowMillis + latencyMillis, latencyMillis, tokens)
        }
    }

    private class Unlimited : SlowStart {
        override val permits = WARM_CAPACITY
        override val isWarm = true

        override fun completed(
            latencyMillis: Long,
            tokens: Long,
        ) = Unit

        override fun failed() = Unit

        override fun restarted() = Unit
    }

    private fun evidence(rampMillis: Long): (() -> Long) -> SlowStart = { nowMillis ->
        SlowStart(SlowStartSettings(COLD_CAPACITY, WARM_CAPACITY, rampMillis), nowMillis)
    }

    private fun figures(
        name: String,
        seed: Long,
        coldRestart: ColdRestart,
        slowStart: (() -> Long) -> SlowStart,
    ) = Run(seed, coldRestart, slowStart).figures().also {
        println("start=$name restart=$coldRestart seed=$seed $it")
    }

    @TestFactory
    fun `a cold upstream is not sent more than it sustains`(): List<DynamicTest> = listOf(1L, 2L, 3L).map { seed ->
        dynamicTest("seed $seed") {
            ColdRestart.entries.forEach { coldRestart ->
                val none = figures("none", seed, coldRestart) { Unlimited() }
                val evidenceOnly = figures("evidence", seed, coldRestart, evidence(rampMillis = 1))
                figures("ramp-half", seed, coldRestart, evidence(COLD_MILLIS / 2))
                val ramp = figures("ramp", seed, coldRestart, evidence(COLD_MILLIS))
                expectThat(ramp.overAtStart).isEqualTo(0)
                if (coldRestart != ColdRestart.LatencyOnly) expectThat(ramp.overAfterRestart).isEqualTo(0)
                expectThat(ramp.overAfterRestart).isLessThan(none.overAfterRestart)
                expectThat(evidenceOnly.overAtStart).isLessThan(none.overAtStart)
            }
        }
    }

    private companion object {
        const val COLD_MILLIS = 20_000L
        const val SECOND_COLD_START_MILLIS = 60_000L
        const val END_MILLIS = 120_000L
        const val COLD_CAPACITY = 2
        const val WARM_CAPACITY = 16
        const val WARM_TOKEN_MILLIS = 10
        const val COLD_SLOWDOWN = 4.0
    }
}
