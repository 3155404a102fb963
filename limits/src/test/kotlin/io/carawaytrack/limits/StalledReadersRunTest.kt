/*
 * Simulates the memory held and the delay of fast readers while half of all readers stall, with the rule of the memory
 * budget and with parts of it disabled.
 */
package io.carawaytrack.limits

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

class StalledReadersRunTest {
    /** Describes a run: ended streams with stalled and with fast readers, and the delays of the fast readers. */
    private data class Figures(
        val peakBytes: Long,
        val endedStalled: Int,
        val endedFast: Int,
        val p50Millis: Long,
        val p99Millis: Long,
    )

    private class Stream(
        val id: StreamId,
        val isStalled: Boolean,
    ) {
        val unread = ArrayDeque<Long>()
        var producedMillis = 0L
        var nextReadMillis = 0L
        var isEnded = false
    }

    private class Run(
        seed: Long,
        stalled: Int,
        settings: MemorySettings,
    ) {
        private val random = Random(seed)
        private var nowMillis = 0L
        private val budget = MemoryBudget(settings) { nowMillis }
        private val streams =
            (0 until STREAM_COUNT).map { Stream(StreamId(it.toLong()), isStalled = it < stalled) }
        private val delays = mutableListOf<Long>()
        private var peakBytes = 0L

        fun figures(): Figures {
            streams.forEach { budget.open(it.id) }
            while (nowMillis < END_MILLIS) {
                nowMillis += STEP_MILLIS
                val running = streams.filterNot { it.isEnded }.shuffled(random)
                running.forEach(::produce)
                running.forEach(::read)
            }
            val sorted = delays.sorted()
            val (endedStalled, endedFast) = streams.filter { it.isEnded }.partition { it.isStalled }
            val p50Millis = sorted[sorted.size / 2]
            return Figures(peakBytes, endedStalled.size, endedFast.size, p50Millis, sorted[sorted.size * 99 / 100])
        }

        /** Reserves memory for every part that the engine has produced by now and that is not yet buffered. */
        private fun produce(stream: Stream) {
            while (!stream.isEnded && stream.producedMillis + PART_INTERVAL_MILLIS <= nowMillis) {
                val decision = budget.reserve(stream.id, PART_BYTES)
                peakBytes = maxOf(peakBytes, budget.usedBytes)
                if (decision == MemoryDecision.Pause) return
                if (decision is MemoryDecision.End) {
                    end(streams.first { it.id == decision.stream })
                } else {
                    stream.producedMillis += PART_INTERVAL_MILLIS
                    stream.unread.addLast(stream.producedMillis)
                }
            }
        }

        private fun end(stream: Stream) {
            stream.isEnded = true
            budget.close(stream.id)
        }

        private fun read(stream: Stream) {
            if (stream.isStalled || stream.isEnded || nowMillis < stream.nextReadMillis) return
            stream.nextReadMillis = nowMillis + random.nextLong(10, 91)
            budget.release(stream.id, stream.unread.size * PART_BYTES)
            stream.unread.forEach { delays += nowMillis - it }
            stream.unread.clear()
        }
    }

    private fun figures(
        name: String,
        seed: Long,
        stalled: Int,
        settings: MemorySettings,
    ) = Run(seed, stalled, settings).figures().also { println("memory=$name seed=$seed $it") }

    @TestFactory
    fun `stalled readers neither slow nor end fast ones, and memory stays within its limit`(): List<DynamicTest> =
        listOf(1L, 2L, 3L).map { seed ->
            dynamicTest("seed $seed") {
                val noneStalled = figures("rule-none-stalled", seed, stalled = 0, RULE)
                val unlimited = figures("no-bound", seed, STREAM_COUNT / 2, UNLIMITED)
                val pauseOnly = figures("pause-only", seed, STREAM_COUNT / 2, RULE.copy(slowAfterMillis = END_MILLIS))
                figures("rule-late", seed, STREAM_COUNT / 2, RULE.copy(slowAfterMillis = 1_000))
                val rule = figures("rule", seed, STREAM_COUNT / 2, RULE)
                expectThat(unlimited.peakBytes).isGreaterThan(RULE.hardBytes)
                expectThat(pauseOnly.peakBytes).isGreaterThan(rule.peakBytes)
                expectThat(rule.peakBytes).isLessThanOrEqualTo(RULE.hardBytes)
                expectThat(rule.endedFast).isEqualTo(0)
                expectThat(rule.p99Millis.toDouble()).isLessThan(noneStalled.p99Millis * MAX_DELAY_RATIO)
            }
        }

    private companion object {
        const val STREAM_COUNT = 40
        const val END_MILLIS = 30_000L
        const val STEP_MILLIS = 5L
        const val PART_INTERVAL_MILLIS = 20L
        const val PART_BYTES = 400L
        const val MAX_DELAY_RATIO = 1.1
        val RULE = MemorySettings(hardBytes = 320_000, streamBytes = 64_000, slowAfterMillis = 300)
        val UNLIMITED = MemorySettings(hardBytes = Long.MAX_VALUE / 2, streamBytes = Long.MAX_VALUE / 2)
    }
}
