/*
 * The adaptive limit against fixed ones and against another rule, on an upstream that loses half of its capacity for a
 * while, and the single moves of the limit as a table.
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
    ) = repeat(count * WINDOW) { completed(tokenMillis * TOKENS, TOKENS, running()) }

    private val moveCases =
        listOf(
            MoveCase("nothing seen leaves the start", 8..8) {},
            MoveCase("steady latency under use raises it", 9..32) { window(10, count = 10) },
            MoveCase("steady latency without use leaves it", 8..8) { window(10, count = 10) { 1 } },
            MoveCase("latency that has risen lowers it", 1..7) {
                window(10)
                window(60, count = 10)
            },
            MoveCase("a failure lowers it at once", 1..7) { failed() },
            MoveCase("it never leaves its bounds below", 1..1) { repeat(50) { failed() } },
            MoveCase("it never leaves its bounds above", 32..32) { window(10, count = 60) },
        )

    @TestFactory
    fun `the limit follows the latency by either rule`(): List<DynamicTest> = rules.flatMap { (ruleName, rule) ->
        moveCases.map { case ->
            dynamicTest("$ruleName: ${case.name}") {
                val settings = ConcurrencySettings(startLimit = 8, maxLimit = 32, windowSize = WINDOW)
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
        val limit = ConcurrencyLimit(ConcurrencySettings(startLimit = 4, maxLimit = 64), rule)
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
                    expectThat(figures.completed).isGreaterThanOrEqualTo((best * LEAST_SHARE_OF_BEST).toInt())
                }
            }
        }

    private companion object {
        const val WINDOW = 4
        const val TOKENS = 50L
        const val LEAST_SHARE_OF_BEST = 0.95

        /** The way not taken: follows the ratio of idle to present latency, with room for a queue. */
        val gradient: LimitRule = { limit, window ->
            val ratio = (1.5 * window.idleTokenMillis / window.tokenMillis).coerceIn(0.5, 1.0)
            val next = limit + (limit * ratio + sqrt(limit) - limit) * 0.3
            if (next > limit && !window.isUsed) limit else next
        }
        val rules = listOf("aimd" to aimdRule(), "gradient" to gradient)
    }
}
