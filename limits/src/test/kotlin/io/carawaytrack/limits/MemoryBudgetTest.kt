/*
 * The memory budget as a table of what streams hold and what one that asks for more is told.
 */
package io.carawaytrack.limits

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random

@OptIn(ExperimentalCoroutinesApi::class)
class MemoryBudgetTest {
    private class Bench {
        var nowMillis = 0L
        val budget =
            MemoryBudget(
                MemorySettings(hardBytes = 1_000, softBytes = 750, streamBytes = 400, slowAfterMillis = 1_000),
            ) { nowMillis }.also { budget -> (1L..STREAMS).forEach { budget.open(StreamId(it)) } }

        fun reserve(
            stream: Long,
            bytes: Long,
        ) = budget.reserve(StreamId(stream), bytes)

        fun release(
            stream: Long,
            bytes: Long,
        ) = budget.release(StreamId(stream), bytes)
    }

    private data class Case(
        val name: String,
        val expected: MemoryDecision,
        val ask: Bench.() -> MemoryDecision,
    )

    private val cases =
        listOf(
            Case("room for all", MemoryDecision.Granted) { reserve(1, 400) },
            Case("a stream at its own bound pauses", MemoryDecision.Pause) {
                reserve(1, 400)
                reserve(1, 1)
            },
            Case("a first part above the bound is taken", MemoryDecision.Granted) { reserve(1, 500) },
            Case("at the hard bound with fast readers the asking stream pauses", MemoryDecision.Pause) {
                (1L..3L).forEach { reserve(it, 330) }
                reserve(4, 100)
            },
            Case("above the soft bound a slow stream pauses", MemoryDecision.Pause) {
                reserve(1, 100)
                nowMillis = 1_001
                reserve(2, 400)
                reserve(3, 260)
                reserve(1, 10)
            },
            Case("above the soft bound a fast stream goes on", MemoryDecision.Granted) {
                reserve(1, 100)
                nowMillis = 1_001
                reserve(2, 400)
                reserve(3, 260)
                reserve(4, 10)
            },
            Case("at the hard bound the slow stream that holds the most is ended", MemoryDecision.End(StreamId(2))) {
                reserve(1, 100)
                reserve(2, 300)
                nowMillis = 1_001
                reserve(3, 390)
                reserve(4, 200)
                reserve(5, 100)
            },
            Case("a slow stream does not end another", MemoryDecision.Pause) {
                reserve(1, 100)
                reserve(2, 300)
                nowMillis = 1_001
                reserve(3, 390)
                reserve(4, 200)
                reserve(1, 100)
            },
            Case("a reader that trickles is slow", MemoryDecision.End(StreamId(1))) {
                reserve(1, 390)
                repeat(12) {
                    nowMillis += 100
                    release(1, 1)
                }
                reserve(2, 390)
                reserve(3, 200)
                reserve(4, 100)
            },
            Case("a stream that was closed is told to end", MemoryDecision.End(StreamId(1))) {
                budget.close(StreamId(1))
                reserve(1, 10)
            },
            Case("a reader that has taken all of it is fast", MemoryDecision.Pause) {
                reserve(1, 390)
                nowMillis = 1_001
                release(1, 390)
                reserve(1, 390)
                reserve(2, 390)
                reserve(3, 200)
                reserve(4, 100)
            },
        )

    @TestFactory
    fun `a stream that asks is told what to do`(): List<DynamicTest> = cases.map { case ->
        dynamicTest(case.name) { expectThat(Bench().run(case.ask)).isEqualTo(case.expected) }
    }

    @Test
    fun `a paused stream goes on when another gives bytes back`() = runTest {
        val bench = Bench()
        (1L..3L).forEach { bench.reserve(it, 330) }
        val room = async { bench.budget.awaitCapacity(StreamId(1), 50) }
        runCurrent()
        expectThat(room.isCompleted).isFalse()
        bench.budget.close(StreamId(2))
        runCurrent()
        expectThat(room.isCompleted).isTrue()
        expectThat(bench.budget.usedBytes).isEqualTo(660)
    }

    @TestFactory
    fun `with half of all readers stalled no fast one is ended and the bound holds`(): List<DynamicTest> =
        listOf(1L, 2L, 3L).map { seed ->
            dynamicTest("seed $seed") {
                val bench = Bench()
                val random = Random(seed)
                val ended = mutableSetOf<Long>()
                var peakBytes = 0L
                repeat(5_000) {
                    bench.nowMillis += 5
                    val stream = random.nextLong(1, STREAMS + 1)
                    if (stream in ended) return@repeat
                    val decision = bench.reserve(stream, 20)
                    peakBytes = maxOf(peakBytes, bench.budget.usedBytes)
                    if (decision is MemoryDecision.End) {
                        bench.budget.close(decision.stream)
                        ended += decision.stream.value
                    }
                    if (stream > 10) bench.release(stream, 20)
                }
                expectThat(ended.count { it > 10 }).isEqualTo(0)
                expectThat(peakBytes).isLessThanOrEqualTo(1_000)
                expectThat(peakBytes).isGreaterThan(500)
            }
        }

    private companion object {
        const val STREAMS = 20L
    }
}
