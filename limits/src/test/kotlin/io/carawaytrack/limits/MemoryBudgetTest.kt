/*
 * Tests the decision on a request for memory, given what the streams hold and how fast their readers are.
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
    private class Fixture {
        var nowMillis = 0L
        val budget =
            MemoryBudget(
                MemorySettings(hardBytes = 1_000, softBytes = 750, streamBytes = 400, slowAfterMillis = 1_000),
            ) { nowMillis }.also { budget -> (1L..STREAM_COUNT).forEach { budget.open(StreamId(it)) } }

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
        val request: Fixture.() -> MemoryDecision,
    )

    private val cases =
        listOf(
            Case("bytes within all limits are granted", MemoryDecision.Granted) { reserve(1, 400) },
            Case("a stream at its own limit pauses", MemoryDecision.Pause) {
                reserve(1, 400)
                reserve(1, 1)
            },
            Case("a first part above the stream limit is granted", MemoryDecision.Granted) { reserve(1, 500) },
            Case("at the hard limit with fast readers the requesting stream pauses", MemoryDecision.Pause) {
                (1L..3L).forEach { reserve(it, 330) }
                reserve(4, 100)
            },
            Case("above the soft limit a slow stream pauses", MemoryDecision.Pause) {
                reserve(1, 100)
                nowMillis = 1_001
                reserve(2, 400)
                reserve(3, 260)
                reserve(1, 10)
            },
            Case("above the soft limit a fast stream continues", MemoryDecision.Granted) {
                reserve(1, 100)
                nowMillis = 1_001
                reserve(2, 400)
                reserve(3, 260)
                reserve(4, 10)
            },
            Case("at the hard limit the slow stream that holds the most is ended", MemoryDecision.End(StreamId(2))) {
                reserve(1, 100)
                reserve(2, 300)
                nowMillis = 1_001
                reserve(3, 390)
                reserve(4, 200)
                reserve(5, 100)
            },
            Case("a slow stream does not cause another one to be ended", MemoryDecision.Pause) {
                reserve(1, 100)
                reserve(2, 300)
                nowMillis = 1_001
                reserve(3, 390)
                reserve(4, 200)
                reserve(1, 100)
            },
            Case("a reader that consumes small amounts is slow", MemoryDecision.End(StreamId(1))) {
                reserve(1, 390)
                repeat(12) {
                    nowMillis += 100
                    release(1, 1)
                }
                reserve(2, 390)
                reserve(3, 200)
                reserve(4, 100)
            },
            Case("a closed stream must end", MemoryDecision.End(StreamId(1))) {
                budget.close(StreamId(1))
                reserve(1, 10)
            },
            Case("a reader that has consumed all bytes is fast", MemoryDecision.Pause) {
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
    fun `reserve returns the decision`(): List<DynamicTest> = cases.map { case ->
        dynamicTest(case.name) { expectThat(Fixture().run(case.request)).isEqualTo(case.expected) }
    }

    @Test
    fun `a paused stream continues when another releases bytes`() = runTest {
        val fixture = Fixture()
        (1L..3L).forEach { fixture.reserve(it, 330) }
        val capacity = async { fixture.budget.awaitCapacity(StreamId(1), 50) }
        runCurrent()
        expectThat(capacity.isCompleted).isFalse()
        fixture.budget.close(StreamId(2))
        runCurrent()
        expectThat(capacity.isCompleted).isTrue()
        expectThat(fixture.budget.usedBytes).isEqualTo(660)
    }

    @TestFactory
    fun `with half of all readers stalled no fast one is ended and the hard limit holds`(): List<DynamicTest> =
        listOf(1L, 2L, 3L).map { seed ->
            dynamicTest("seed $seed") {
                val fixture = Fixture()
                val random = Random(seed)
                val ended = mutableSetOf<Long>()
                var peakBytes = 0L
                repeat(5_000) {
                    fixture.nowMillis += 5
                    val stream = random.nextLong(1, STREAM_COUNT + 1)
                    if (stream in ended) return@repeat
                    val decision = fixture.reserve(stream, 20)
                    peakBytes = maxOf(peakBytes, fixture.budget.usedBytes)
                    if (decision is MemoryDecision.End) {
                        fixture.budget.close(decision.stream)
                        ended += decision.stream.value
                    }
                    if (stream > 10) fixture.release(stream, 20)
                }
                expectThat(ended.count { it > 10 }).isEqualTo(0)
                expectThat(peakBytes).isLessThanOrEqualTo(1_000)
                expectThat(peakBytes).isGreaterThan(500)
            }
        }

    private companion object {
        const val STREAM_COUNT = 20L
    }
}
