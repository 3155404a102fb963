/*
 * Tests how the limit responds to latency and failures, and compares the adaptive limit with fixed ones and with
 * another rule on a simulated upstream that temporarily loses half of its capacity.
 */
package io.carawaytrack.limits

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isIn
import kotlin.math.sqrt

class ConcurrencyLimitTest {
    private data class MoveCase(
        val name: String,
        val limits: IntRange,
        val steps: ConcurrencyLimit.() -> Unit,
    )

    private fun ConcurrencyLimit.window(
        tokenMillis: Long,
        count: Int = 1,
        running: () -> Int = { limit },
    ) = repeat(count * WINDOW_SIZE) { completed(tokenMillis * TOKENS, TOKENS, running()) }

    private val moveCases =
        listOf(
            MoveCase("without observations it keeps its initial value", 8..8) {},
            MoveCase("steady latency near the limit raises it", 9..32) { window(10, count = 10) },
            MoveCase("steady latency far below the limit keeps it", 8..8) { window(10, count = 10) { 1 } },
            MoveCase("increased latency lowers it", 1..7) {
                window(10)
                window(60, count = 10)
            },
            MoveCase("a failure lowers it immediately", 1..7) { failed() },
            MoveCase("it does not fall below its minimum", 1..1) { repeat(50) { failed() } },
            MoveCase("it does not rise above its maximum", 32..32) { window(10, count = 60) },
        )

    @TestFactory
    fun `the limit follows the latency under both rules`(): List<DynamicTest> = rules.flatMap { (ruleName, rule) ->
        moveCases.map { case ->
            dynamicTest("$ruleName: ${case.name}") {
                val settings = ConcurrencySettings(initialLimit = 8, maxLimit = 32, windowSize = WINDOW_SIZE)
                val limit = ConcurrencyLimit(settings, rule).apply(case.steps)
                expectThat(limit.limit).isIn(case.limits)
            }
        }
    }

    private val phases =
        listOf(
            LoadPhase(untilMillis = 100_000.0, capacity = 16, requestsPerSecond = 12.0),
            LoadPhase(untilMillis = 200_000.0, capacity = 8, requestsPerSecond = 12.0),
            LoadPhase(untilMillis = 300_000.0, capacity = 16, requestsPerSecond = 12.0),
        )

    private fun fixed(
        seed: Long,
        limit: Int,
    ) = SimulatedUpstream(phases, seed, { limit }, { _, _, _ -> }).run().also { print("fixed-$limit", seed, it) }

    private fun adaptive(
        seed: Long,
        name: String,
        rule: LimitRule,
    ): List<RunFigures> {
        val limit = ConcurrencyLimit(ConcurrencySettings(initialLimit = 4, maxLimit = 64), rule)
        return SimulatedUpstream(phases, seed, limit::limit, limit::completed).run().also { print(name, seed, it) }
    }

    private fun print(
        name: String,
        seed: Long,
        figures: List<RunFigures>,
    ) = println(
        "limit=$name seed=$seed " +
            figures.joinToString(" | ") {
                "completed ${it.completed} dropped ${it.dropped} p50 ${it.p50Millis} p99 ${it.p99Millis}"
            },
    )

    @TestFactory
    fun `in every phase the adaptive limit completes almost as many as the best fixed limit of that phase`() =
        listOf(1L, 2L, 3L).map { seed ->
            dynamicTest("seed $seed") {
                val fixed = listOf(4, 8, 16, 32, 64).map { fixed(seed, it) }
                adaptive(seed, "gradient", gradient)
                adaptive(seed, "aimd", aimdRule()).forEachIndexed { phase, figures ->
                    val best = fixed.maxOf { it[phase].completed }
                    expectThat(figures.completed).isGreaterThanOrEqualTo((best * MIN_RATIO_TO_BEST).toInt())
                }
            }
        }

    private companion object {
        const val WINDOW_SIZE = 4
        const val TOKENS = 50L
        const val MIN_RATIO_TO_BEST = 0.95

        /** Rule for comparison: follows the ratio of idle to current latency, with an allowance for a queue. */
        val gradient: LimitRule = { limit, window ->
            val ratio = (1.5 * window.idleTokenMillis / window.tokenMillis).coerceIn(0.5, 1.0)
            val next = limit + (limit * ratio + sqrt(limit) - limit) * 0.3
            if (next > limit && !window.isNearLimit) limit else next
        }
        val rules = listOf("aimd" to aimdRule(), "gradient" to gradient)
    }
}
