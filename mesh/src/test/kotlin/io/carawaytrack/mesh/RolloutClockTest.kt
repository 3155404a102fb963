/*
 * The age of a roll-out on hosts that learn of it at once, from a peer, or from their own disk after a restart.
 */
package io.carawaytrack.mesh

import io.carawaytrack.fleet.FleetRollout
import io.carawaytrack.fleet.FleetRolloutPhase
import io.carawaytrack.fleet.FleetView
import io.carawaytrack.model.PoolName
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

private const val BEGAN_AT_MILLIS = 1_000_000L

class RolloutClockTest {
    private val rollout = FleetRollout(PoolName("llm"), "v2", 7, 24_000, BEGAN_AT_MILLIS, FleetRolloutPhase.Running)
    private val view = FleetView(index = 7, rollouts = listOf(rollout))
    private var nowMillis = 50L

    private class Case(
        val name: String,
        val wallClockMillis: Long,
        val reportedMillis: Map<Long, Long>,
        val expectedMillis: Long,
    )

    @TestFactory
    fun `the age of a roll-out that a host learns of`(): List<DynamicTest> = listOf(
        Case("has just begun", BEGAN_AT_MILLIS + 20, emptyMap(), 0),
        Case("has just begun, on a wall clock that is behind", BEGAN_AT_MILLIS - 9_000, emptyMap(), 0),
        Case("began before a restart", BEGAN_AT_MILLIS + 9_000, emptyMap(), 9_000),
        Case("began before a long outage", BEGAN_AT_MILLIS + 90_000, emptyMap(), 24_000),
        Case("is reported by a peer", BEGAN_AT_MILLIS, mapOf(7L to 13_000L), 13_000),
        Case("is reported by a peer, on a wall clock ahead", BEGAN_AT_MILLIS + 9_000, mapOf(7L to 40L), 40),
    ).map { case ->
        dynamicTest(case.name) {
            val clock = RolloutClock({ nowMillis }, { case.wallClockMillis })
            clock.update(view, case.reportedMillis)
            expectThat(clock.elapsedMillis(rollout)).isEqualTo(case.expectedMillis)
        }
    }

    @Test
    fun `the age advances with the steady clock and is kept when a newer view arrives`() {
        val clock = RolloutClock({ nowMillis }, { BEGAN_AT_MILLIS })
        clock.update(view)
        nowMillis += 4_000
        clock.update(FleetView(index = 8, rollouts = listOf(rollout)), mapOf(7L to 100L))
        expectThat(clock.elapsedMillis(rollout)).isEqualTo(4_000)
        expectThat(clock.elapsedMillis()).isEqualTo(mapOf(7L to 4_000L))
    }
}
