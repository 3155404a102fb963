/*
 * Slow start against an upstream in simulated time that is cold at first, and falls back into a cold start in the
 * middle of the run, under callers who take every permit at once.
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
    /** Counts requests begun while as many ran as the upstream bears, and the time until it was used in full. */
    private data class Figures(
        val begun: Int,
        val overAtStart: Int,
        val overAfterRelapse: Int,
        val fullAfterMillis: Long?,
    )

    /** Tells what the agent notices of a relapse besides the latency. */
    private enum class Relapse { RestartSeen, RequestsLost, Quiet }

    private class Run(
        seed: Long,
        private val relapse: Relapse,
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
        private val over = IntArray(2)
        private var fullAfterMillis: Long? = null
        private val permits = slowStart { nowMillis }
        private val warmth get() = ((nowMillis - bootMillis).toDouble() / COLD_MILLIS).coerceAtMost(1.0)
        private val bearing get() = COLD_BEARING + ((WARM_BEARING - COLD_BEARING) * warmth).toInt()

        fun figures(): Figures {
            while (nowMillis < END_MILLIS) {
                if (bootMillis == 0L && nowMillis >= RELAPSE_MILLIS) restart()
                while (running.size < permits.permits) begin()
                if (running.size >= WARM_BEARING) fullAfterMillis = fullAfterMillis ?: nowMillis
                val next = running.poll()
                nowMillis = next.endMillis
                permits.completed(next.latencyMillis, next.tokens)
            }
            return Figures(begun, over[0], over[1], fullAfterMillis)
        }

        private fun restart() {
            bootMillis = nowMillis
            if (relapse == Relapse.RestartSeen) permits.restarted()
            if (relapse == Relapse.Quiet) return
            repeat(running.size) { permits.failed() }
            running.clear()
        }

        private fun begin() {
            if (running.size >= bearing) over[if (bootMillis == 0L) 0 else 1] += 1
            begun += 1
            val tokens = random.nextLong(30, 71)
            val latencyMillis = (tokens * WARM_TOKEN_MILLIS * (COLD_SLOWDOWN - (COLD_SLOWDOWN - 1) * warmth)).toLong()
            running += Request(nowMillis + latencyMillis, latencyMillis, tokens)
        }
    }

    private class AllAtOnce : SlowStart {
        override val permits = WARM_BEARING
        override val isWarm = true

        override fun completed(
            latencyMillis: Long,
            tokens: Long,
        ) = Unit

        override fun failed() = Unit

        override fun restarted() = Unit
    }

    private fun evidence(rampMillis: Long): (() -> Long) -> SlowStart = { nowMillis ->
        SlowStart(SlowStartSettings(COLD_BEARING, WARM_BEARING, rampMillis), nowMillis)
    }

    private fun figures(
        name: String,
        seed: Long,
        relapse: Relapse,
        slowStart: (() -> Long) -> SlowStart,
    ) = Run(seed, relapse, slowStart).figures().also {
        println("start=$name relapse=$relapse seed=$seed $it")
    }

    @TestFactory
    fun `an upstream in a cold start gets no more than it bears`(): List<DynamicTest> = listOf(1L, 2L, 3L).map { seed ->
        dynamicTest("seed $seed") {
            Relapse.entries.forEach { relapse ->
                val none = figures("none", seed, relapse) { AllAtOnce() }
                val evidenceOnly = figures("evidence", seed, relapse, evidence(rampMillis = 1))
                figures("ramp-half", seed, relapse, evidence(COLD_MILLIS / 2))
                val ramp = figures("ramp", seed, relapse, evidence(COLD_MILLIS))
                expectThat(ramp.overAtStart).isEqualTo(0)
                if (relapse != Relapse.Quiet) expectThat(ramp.overAfterRelapse).isEqualTo(0)
                expectThat(ramp.overAfterRelapse).isLessThan(none.overAfterRelapse)
                expectThat(evidenceOnly.overAtStart).isLessThan(none.overAtStart)
            }
        }
    }

    private companion object {
        const val COLD_MILLIS = 20_000L
        const val RELAPSE_MILLIS = 60_000L
        const val END_MILLIS = 120_000L
        const val COLD_BEARING = 2
        const val WARM_BEARING = 16
        const val WARM_TOKEN_MILLIS = 10
        const val COLD_SLOWDOWN = 4.0
    }
}
