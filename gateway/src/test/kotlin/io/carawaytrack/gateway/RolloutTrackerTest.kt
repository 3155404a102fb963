/*
 * The version that sessions and other requests use during a roll-out, on several hosts that learn of it at different
 * times.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.FleetRollout
import io.carawaytrack.fleet.FleetRolloutPhase
import io.carawaytrack.fleet.RolloutBounds
import io.carawaytrack.model.PoolName
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isIn

private const val REQUESTS = 2_000

class RolloutTrackerTest {
    private val rollout = FleetRollout(PoolName("llm"), "v2", 7, 24_000, 0, FleetRolloutPhase.Running)
    private val bounds = RolloutBounds(exposureRatio = 0.12, exposureSlack = 30)

    private fun trackerAt(elapsedMillis: () -> Long) =
        RolloutTracker(bounds) { elapsedMillis() }.also { it.update(listOf(rollout)) }

    private class Case(
        val name: String,
        val elapsedMillis: Long,
        val inSession: Boolean,
        val expectedOnNewVersion: IntRange,
    )

    @TestFactory
    fun `requests that use the new version`(): List<DynamicTest> = listOf(
        Case("no session in the first half", 6_000, true, 0..0),
        Case("no session just before the half, on a host that has just started", 11_999, true, 0..0),
        Case("a part of the sessions in the second half", 12_000, true, REQUESTS / 10..REQUESTS / 4),
        Case("a small part of the requests without a session in the first half", 6_000, false, 60..REQUESTS / 8),
    ).map { case ->
        dynamicTest(case.name) {
            val tracker = trackerAt { case.elapsedMillis }
            val onNew = (1..REQUESTS).count { tracker.usesNewVersion(rollout, RequestAffinity("s$it", case.inSession)) }
            expectThat(onNew).isIn(case.expectedOnNewVersion)
        }
    }

    @Test
    fun `a session that has moved to the new version stays there, on every host`() {
        var elapsedMillis = 12_000L
        val hosts = List(35) { trackerAt { elapsedMillis } }
        val sessions = (1..REQUESTS).map { RequestAffinity("s$it", inSession = true) }
        val moved = sessions.filter { hosts.first().usesNewVersion(rollout, it) }
        elapsedMillis = 23_000
        hosts.forEach { host ->
            expectThat(sessions.filter { host.usesNewVersion(rollout, it) }).isEqualTo(moved)
        }
    }

    @Test
    fun `a host that does not know a roll-out sends nothing to its version`() {
        val tracker = RolloutTracker(bounds) { 23_000 }
        val onNew = (1..REQUESTS).any { tracker.usesNewVersion(rollout, RequestAffinity("s$it", inSession = false)) }
        expectThat(onNew).isFalse()
    }
}
