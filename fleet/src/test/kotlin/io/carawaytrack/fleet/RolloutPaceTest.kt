/*
 * Completion of a roll-out by the pace of its streams: totals of the shortest spans of several pauses between events.
 */
package io.carawaytrack.fleet

import io.carawaytrack.model.PoolName
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RolloutPaceTest {
    private val rollout = FleetRollout(PoolName("llm"), "v2", 1, 10_000, 0, FleetRolloutPhase.Running)

    private class Case(
        val name: String,
        val old: List<RouteTally>,
        val new: List<RouteTally>,
        val expected: FleetRolloutPhase,
    )

    private val loaded =
        listOf(
            RouteTally("note", 92, 0, 181_669, 1, paced = 80, spanMillis = 8_600),
            RouteTally("check", 159, 0, 46_669, 0, paced = 23, spanMillis = 3_340),
            RouteTally("draft", 76, 0, 214_735, 2, paced = 58, spanMillis = 6_520),
        )

    @TestFactory
    fun `a slow version with little load is not completed although it answers as fast as the loaded old one`() = listOf(
        Case(
            "streams 1.5 times as slow, answers faster",
            loaded,
            listOf(
                RouteTally("check", 13, 0, 2_461, 0, paced = 1, spanMillis = 188),
                RouteTally("note", 7, 0, 6_987, 0, paced = 8, spanMillis = 1_364),
                RouteTally("draft", 2, 0, 3_412, 0, paced = 7, spanMillis = 1_198),
            ),
            FleetRolloutPhase.RolledBack,
        ),
        Case(
            "streams as fast",
            loaded,
            listOf(
                RouteTally("check", 13, 0, 1_900, 0, paced = 1, spanMillis = 98),
                RouteTally("note", 8, 0, 4_100, 0, paced = 10, spanMillis = 908),
                RouteTally("draft", 4, 0, 4_600, 0, paced = 7, spanMillis = 636),
            ),
            FleetRolloutPhase.Completed,
        ),
        Case(
            "too few streams to tell",
            loaded,
            listOf(RouteTally("check", 13, 0, 2_461, 0, paced = 2, spanMillis = 196)),
            FleetRolloutPhase.RolledBack,
        ),
        Case(
            "a service without streams",
            listOf(RouteTally("order", 200, 0, 10_000)),
            listOf(RouteTally("order", 20, 0, 1_000)),
            FleetRolloutPhase.Completed,
        ),
        Case(
            "hosts of an older version, which time no spans",
            loaded.map { it.copy(paced = 0, spanMillis = 0) },
            listOf(
                RouteTally("check", 13, 0, 2_461),
                RouteTally("note", 8, 0, 6_987),
                RouteTally("draft", 4, 0, 6_000),
            ),
            FleetRolloutPhase.Completed,
        ),
    ).map { case ->
        dynamicTest(case.name) {
            val tally = RolloutTally(1, case.old, case.new)
            expectThat(rollout.nextPhase(tally, 8_500, newVersionReady = true)).isEqualTo(case.expected)
        }
    }
}
