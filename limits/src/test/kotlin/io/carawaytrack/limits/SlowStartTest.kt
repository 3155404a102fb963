/*
 * Tests which permits follow from the latencies, failures and restarts of an upstream.
 */
package io.carawaytrack.limits

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn

class SlowStartTest {
    private class Fixture {
        var nowMillis = 0L
        val slowStart =
            SlowStart(SlowStartSettings(initialPermits = 2, maxPermits = 16, rampMillis = 1_000)) { nowMillis }

        fun complete(
            count: Int,
            tokenMillis: Long,
            eachMillis: Long = 100,
        ) = repeat(count) {
            nowMillis += eachMillis
            slowStart.completed(latencyMillis = tokenMillis * TOKENS, tokens = TOKENS)
        }

        fun warmUp() = complete(200, tokenMillis = 10)
    }

    private data class Case(
        val name: String,
        val permits: IntRange,
        val steps: Fixture.() -> Unit,
    )

    private val cases =
        listOf(
            Case("without observations the initial permits remain", 2..2) { nowMillis += 60_000 },
            Case("one round is not sufficient evidence", 2..2) { complete(2, tokenMillis = 10) },
            Case("healthy requests lead to the maximum", 16..16) { warmUp() },
            Case(
                "healthy requests lead no faster than the ramp",
                2..9,
            ) { complete(500, tokenMillis = 10, eachMillis = 1) },
            Case("falling latency is no evidence of a warm upstream", 2..2) {
                listOf(160L, 80, 40, 20, 10).forEach { complete(2, tokenMillis = it) }
            },
            Case("one slow request causes no reset", 16..16) {
                warmUp()
                complete(1, tokenMillis = 100)
            },
            Case("a pause that slows all running requests halves the permits once", 8..8) {
                warmUp()
                complete(16, tokenMillis = 100, eachMillis = 1)
            },
            Case("after a pause healthy requests lead back to the maximum", 16..16) {
                warmUp()
                complete(16, tokenMillis = 100, eachMillis = 1)
                complete(60, tokenMillis = 10)
            },
            Case("slow requests that began after slow ones cause a reset", 2..2) {
                warmUp()
                complete(3, tokenMillis = 100, eachMillis = 1)
                nowMillis += 100 * TOKENS
                complete(3, tokenMillis = 100)
            },
            Case("two pauses with healthy requests between cause no reset", 16..16) {
                warmUp()
                repeat(2) {
                    complete(16, tokenMillis = 100, eachMillis = 1)
                    complete(60, tokenMillis = 10)
                }
            },
            Case("healthy requests between slow ones prevent a reset", 16..16) {
                warmUp()
                repeat(4) {
                    complete(2, tokenMillis = 100)
                    complete(1, tokenMillis = 10)
                }
            },
            Case("consecutive failures cause a reset", 2..2) {
                warmUp()
                repeat(3) { slowStart.failed() }
            },
            Case("failures between requests that began before them cause a reset", 2..2) {
                warmUp()
                repeat(3) {
                    slowStart.failed()
                    complete(1, tokenMillis = 10, eachMillis = 1)
                }
            },
            Case("failures between requests that began after them cause no reset", 16..16) {
                warmUp()
                repeat(6) {
                    slowStart.failed()
                    complete(1, tokenMillis = 10, eachMillis = 1_000)
                }
            },
            Case("a restart resets the permits immediately", 2..2) {
                warmUp()
                slowStart.restarted()
            },
            Case("after a reset the ramp applies although the latency is known", 2..3) {
                warmUp()
                slowStart.restarted()
                complete(50, tokenMillis = 10, eachMillis = 1)
            },
            Case("after a reset slow requests keep the permits low", 2..2) {
                warmUp()
                slowStart.restarted()
                complete(50, tokenMillis = 25)
            },
            Case("after a reset healthy requests lead back to the maximum", 16..16) {
                warmUp()
                slowStart.restarted()
                warmUp()
            },
        )

    @TestFactory
    fun `permits after the observations`(): List<DynamicTest> = cases.map { case ->
        dynamicTest(case.name) {
            val fixture = Fixture().apply(case.steps)
            expectThat(fixture.slowStart.permits).isIn(case.permits)
            expectThat(fixture.slowStart.isWarm).isEqualTo(fixture.slowStart.permits == 16)
        }
    }

    private companion object {
        const val TOKENS = 50L
    }
}
