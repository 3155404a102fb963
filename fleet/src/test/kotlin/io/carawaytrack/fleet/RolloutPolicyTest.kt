/*
 * Decisions on a roll-out for given tallies, and the number of requests that a bad version receives.
 */
package io.carawaytrack.fleet

import io.carawaytrack.model.PoolName
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

private const val DURATION_MILLIS = 24_000L

class RolloutPolicyTest {
    private val rollout = FleetRollout(PoolName("llm"), "v2", 1, DURATION_MILLIS, 0, FleetRolloutPhase.Running)

    private fun tally(
        old: RouteTally = RouteTally("r", good = 200, timeMillis = 20_000),
        new: RouteTally,
    ) = RolloutTally(1, listOf(old), listOf(new))

    private class Case(
        val name: String,
        val tally: RolloutTally,
        val elapsedMillis: Long,
        val ready: Boolean,
        val expected: FleetRolloutPhase?,
    )

    @TestFactory
    fun `the next phase of a roll-out depends on its tallies`(): List<DynamicTest> = listOf(
        Case("continues while no fault is detected", tally(new = RouteTally("r", 20, 0, 2_000)), 6_000, true, null),
        Case(
            "completes shortly before its end",
            tally(new = RouteTally("r", 20, 0, 2_000)),
            22_500,
            true,
            FleetRolloutPhase.Completed,
        ),
        Case(
            "rolls back when a third of the attempts fail",
            tally(new = RouteTally("r", 8, 4, 800)),
            3_000,
            true,
            FleetRolloutPhase.RolledBack,
        ),
        Case(
            "continues when the old version fails as often",
            tally(RouteTally("r", 200, 80, 20_000), RouteTally("r", 10, 4, 1_000)),
            3_000,
            true,
            null,
        ),
        Case(
            "rolls back when responses take several times as long",
            tally(new = RouteTally("r", 10, 0, 8_000)),
            3_000,
            true,
            FleetRolloutPhase.RolledBack,
        ),
        Case(
            "rolls back when only one of several routes fails",
            RolloutTally(
                1,
                listOf(RouteTally("r", 200), RouteTally("s", 50)),
                listOf(RouteTally("r", 90), RouteTally("s", 3, 5)),
            ),
            3_000,
            true,
            FleetRolloutPhase.RolledBack,
        ),
        Case(
            "rolls back when unfinished attempts exceed several times the usual duration",
            tally(new = RouteTally("r", 1, 0, 300, unfinished = 5).copy(timeMillis = 3_000)),
            6_000,
            true,
            FleetRolloutPhase.RolledBack,
        ),
        Case(
            "rolls back when all routes together take twice as long, although no single one exceeds the limit",
            RolloutTally(
                1,
                listOf(RouteTally("r", 131, 0, 290_755, 9), RouteTally("s", 293, 0, 63_659, 2)),
                listOf(RouteTally("r", 3, 0, 53_085, 10), RouteTally("s", 20, 0, 10_533, 4)),
            ),
            6_000,
            true,
            FleetRolloutPhase.RolledBack,
        ),
        Case(
            "rolls back at its end when many attempts are unfinished",
            tally(new = RouteTally("r", 2, 0, 300, unfinished = 1)),
            23_000,
            true,
            FleetRolloutPhase.RolledBack,
        ),
        Case(
            "rolls back at its end when one route has only overdue attempts, although the others end theirs",
            RolloutTally(
                1,
                listOf(
                    RouteTally("r", 101, 0, 259_270, 5),
                    RouteTally("s", 134, 0, 259_914, 1),
                    RouteTally("t", 211, 0, 51_306),
                ),
                listOf(
                    RouteTally("r", 0, 0, 20_218, 5),
                    RouteTally("s", 10, 0, 23_802),
                    RouteTally("t", 14, 0, 3_371),
                ),
            ),
            23_000,
            true,
            FleetRolloutPhase.RolledBack,
        ),
        Case(
            "rolls back at its end when each route ends less than half as many attempts in its time",
            RolloutTally(
                1,
                listOf(RouteTally("r", 100, 0, 200_000), RouteTally("s", 100, 0, 200_000)),
                listOf(RouteTally("r", 9, 0, 40_000, 3), RouteTally("s", 9, 0, 40_000, 3)),
            ),
            23_000,
            true,
            FleetRolloutPhase.RolledBack,
        ),
        Case(
            "completes on a fleet with thousands of attempts",
            tally(RouteTally("r", 20_000, 0, 2_000_000), RouteTally("r", 4_000, 0, 400_000)),
            23_000,
            true,
            FleetRolloutPhase.Completed,
        ),
        Case(
            "rolls back at its end on a fleet where thousands of attempts take twice as long",
            tally(RouteTally("r", 20_000, 0, 2_000_000), RouteTally("r", 4_000, 0, 800_000)),
            23_000,
            true,
            FleetRolloutPhase.RolledBack,
        ),
        Case(
            "completes when some attempts of a sound version are overdue",
            RolloutTally(
                1,
                listOf(RouteTally("r", 101, 0, 259_270, 5), RouteTally("s", 134, 0, 259_914, 1)),
                listOf(RouteTally("r", 3, 0, 14_000, 2), RouteTally("s", 10, 0, 23_802, 1)),
            ),
            23_000,
            true,
            FleetRolloutPhase.Completed,
        ),
        Case(
            "rolls back at its end when there were no attempts",
            RolloutTally(1),
            23_000,
            true,
            FleetRolloutPhase.RolledBack,
        ),
        Case(
            "rolls back at its end when no upstream with the new version is available",
            tally(new = RouteTally("r", 20, 0, 2_000)),
            23_000,
            false,
            FleetRolloutPhase.RolledBack,
        ),
    ).map { case ->
        dynamicTest(case.name) {
            expectThat(rollout.nextPhase(case.tally, case.elapsedMillis, case.ready)).isEqualTo(case.expected)
        }
    }

    private class RatioCase(
        val name: String,
        val elapsedMillis: Long,
        val inSession: Boolean,
        val phase: FleetRolloutPhase,
        val expected: ClosedFloatingPointRange<Double>,
    )

    @TestFactory
    fun `sessions keep their version in the first half of a roll-out`(): List<DynamicTest> = listOf(
        RatioCase("a session at the start", 0, true, FleetRolloutPhase.Running, 0.0..0.0),
        RatioCase("a session just before the half", 11_999, true, FleetRolloutPhase.Running, 0.0..0.0),
        RatioCase("a session in the second half", 12_000, true, FleetRolloutPhase.Running, 0.10..0.24),
        RatioCase("a request without a session at the start", 0, false, FleetRolloutPhase.Running, 0.05..0.12),
        RatioCase("a request without a session later", 12_000, false, FleetRolloutPhase.Running, 0.05..0.12),
        RatioCase("a session after a rollback", 13_000, true, FleetRolloutPhase.RolledBack, 0.0..0.0),
        RatioCase("a session after the completion", 13_000, true, FleetRolloutPhase.Completed, 1.0..1.0),
    ).map { case ->
        dynamicTest(case.name) {
            val bounds = RolloutBounds(exposureRatio = 0.12, exposureSlack = 30)
            val ratio = rollout.copy(phase = case.phase).newVersionRatioAt(case.elapsedMillis, bounds, case.inSession)
            expectThat(ratio).isIn(case.expected)
        }
    }

    @Test
    fun `a bad version receives no more than its allowed share of sessions`() {
        listOf(0.12, 0.15).forEach { exposureRatio ->
            val bounds = RolloutBounds(exposureRatio, exposureSlack = 30)
            // The worst case: the faults are never detected, and all requests belong to sessions.
            val exposed = (0 until DURATION_MILLIS step 30).sumOf { rollout.newVersionRatioAt(it, bounds, true) }
            val all = (DURATION_MILLIS / 30).toDouble()
            expectThat(exposed).isLessThanOrEqualTo(all * exposureRatio)
        }
    }

    @Test
    fun `a bad version receives no more than its allowed share of requests`() {
        val bounds = RolloutBounds(exposureRatio = 0.15, exposureSlack = 30)
        listOf(1L, 2L, 3L, 4L, 5L).forEach { seed ->
            val random = Random(seed)
            var exposed = 0
            var all = 0
            var tally = RolloutTally(1, listOf(RouteTally("r")), listOf(RouteTally("r")))
            var current = rollout
            for (millis in 0 until DURATION_MILLIS step 30) {
                all++
                val new = random.nextDouble() < current.newVersionRatioAt(millis, bounds)
                if (new) exposed++
                val failed = if (new && random.nextDouble() < 0.4) 1 else 0
                val attempt = RouteTally("r", good = 1 - failed, failed = failed, timeMillis = 100)
                val added = if (new) RolloutTally(1, new = listOf(attempt)) else RolloutTally(1, old = listOf(attempt))
                tally += added
                current.nextPhase(tally, millis, newVersionReady = true)?.let { current = current.copy(phase = it) }
            }
            expectThat(current.phase).isEqualTo(FleetRolloutPhase.RolledBack)
            expectThat(exposed.toDouble()).isLessThanOrEqualTo(all * bounds.exposureRatio + bounds.exposureSlack)
        }
    }

    /** Simulates 12 s of a version whose streams take 8 times as long, so that few of them end within the roll-out. */
    @Test
    fun `a version too slow to finish its responses is rolled back within two thirds of its roll-out`() {
        val short = rollout.copy(durationMillis = 12_000)
        listOf(1L, 2L, 3L, 4L, 5L).forEach { seed ->
            val random = Random(seed)
            val started = ArrayList<Triple<Long, Long, Boolean>>()
            var rolledBackAtMillis = Long.MAX_VALUE
            for (millis in 0L until 12_000 step 30) {
                val new = random.nextDouble() < short.newVersionRatioAt(millis, RolloutBounds())
                val tookMillis = 500 + random.nextLong(2_000)
                started += Triple(millis, if (new) tookMillis * 8 else tookMillis, new)
                val phase = short.nextPhase(tallyAt(millis, started), millis, newVersionReady = true)
                if (phase != null) rolledBackAtMillis = minOf(rolledBackAtMillis, millis)
                if (phase != null) expectThat(phase).isEqualTo(FleetRolloutPhase.RolledBack)
                if (phase != null) break
            }
            expectThat(rolledBackAtMillis).isLessThanOrEqualTo(8_000)
        }
    }

    private class SlownessCase(
        val name: String,
        val slowdown: Long,
        val expected: FleetRolloutPhase,
    )

    /** Simulates long streams of the last 6 s, of which slow ones have not ended, beside a route with short ones. */
    @TestFactory
    fun `a version that answers several times slower is not completed, and a sound one is`(): List<DynamicTest> =
        listOf(
            SlownessCase("as fast as the old version", slowdown = 1, expected = FleetRolloutPhase.Completed),
            SlownessCase("8 times as slow", slowdown = 8, expected = FleetRolloutPhase.RolledBack),
        ).flatMap { case -> (1L..20L).map { seed -> case to seed } }.map { (case, seed) ->
            dynamicTest("${case.name}, seed $seed") {
                val random = Random(seed)
                val started =
                    (0L until DURATION_MILLIS step 100).map { millis ->
                        val new = millis >= DURATION_MILLIS - 6_000 && random.nextDouble() < 0.2
                        Triple(millis, (500 + random.nextLong(4_000)) * (if (new) case.slowdown else 1), new)
                    }
                val endMillis = DURATION_MILLIS - 1_000
                val short =
                    RolloutTally(
                        1,
                        listOf(RouteTally("short", 211, 0, 51_306)),
                        listOf(RouteTally("short", 14, 0, 3_371)),
                    )
                val tally = short + tallyAt(endMillis, started.filter { it.first <= endMillis })
                expectThat(rollout.nextPhase(tally, endMillis, newVersionReady = true)).isEqualTo(case.expected)
            }
        }

    /** Simulates the roll-out of incident 0007's second report: 3.2 s of evidence, three routes with long streams. */
    @Test
    fun `a version with some slow answers is not completed on the evidence of a few seconds`() {
        expectThat((1L..20L).filter { completesAfterSeconds(it, slowRatio = 0.3) }).isEmpty()
    }

    @Test
    fun `a sound version is not rolled back for the pace of its streams`() {
        val rolledBackForPace =
            (1L..20L).filter {
                completesAfterSeconds(it, slowRatio = 0.0, paced = false) && !completesAfterSeconds(it, slowRatio = 0.0)
            }
        expectThat(rolledBackForPace).isEmpty()
    }

    private fun completesAfterSeconds(
        seed: Long,
        slowRatio: Double,
        paced: Boolean = true,
    ): Boolean {
        val short = rollout.copy(durationMillis = 10_000)
        val usualMillis = mapOf("draft" to 2_800L, "note" to 2_100L, "check" to 240L)
        val random = Random(seed)
        val pauses = Random(-seed)
        val tallies =
            usualMillis.map { (route, millis) ->
                val slowAt = HashSet<Long>()
                val started =
                    (0L..8_200L step 150).map { atMillis ->
                        val new = atMillis >= 5_000 && random.nextDouble() < 0.225
                        val slow = new && random.nextDouble() < slowRatio
                        if (slow) slowAt += atMillis
                        Triple(atMillis, millis / 2 + random.nextLong(millis) * (if (slow) 4 else 1), new)
                    }
                val pace =
                    started.map { stream ->
                        val slowdown = if (stream.first in slowAt) 4 else 1
                        PacedStream(stream, (23 + pauses.nextLong(12)) * slowdown)
                    }
                tallyAt(8_200, started, route) + if (paced) paceAt(8_200, pace, route) else RolloutTally(1)
            }
        val tally = tallies.reduce(RolloutTally::plus)
        return short.nextPhase(tally, 8_200, newVersionReady = true) == FleetRolloutPhase.Completed
    }
}
