/*
 * What an upstream owes, whether it is suspected, and how often it may be started while it is cold.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.KnownUpstream
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.ZoneName
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class UpstreamStateTest {
    private var nowMillis = 10_000L

    private fun known(heardAtMillis: Long) = KnownUpstream(
        FleetUpstream(
            id = UpstreamId("u"),
            pool = PoolName("llm"),
            address = HostPort("10.0.0.1", 80),
            zone = ZoneName("a"),
            version = "v1",
            slots = 64,
            draining = false,
            coldMillis = 0,
            sequence = 1,
            startedAtMillis = 1,
        ),
        heardAtMillis,
    )

    private class Case(
        val name: String,
        val quietMillis: Long,
        val suspect: Boolean,
    )

    @TestFactory
    fun `an upstream is suspected when it has owed a byte for long`(): List<DynamicTest> = listOf(
        Case("one that has been quiet for a moment isn't", quietMillis = 800, suspect = false),
        Case("one that has been quiet for a second is", quietMillis = 1_000, suspect = true),
    ).map { case ->
        dynamicTest(case.name) {
            val state = UpstreamState(known(nowMillis), { nowMillis })
            state.started()
            nowMillis += case.quietMillis
            expectThat(state.isSuspect).isEqualTo(case.suspect)
        }
    }

    @Test
    fun `an upstream that sends something is suspected no longer`() {
        val state = UpstreamState(known(nowMillis), { nowMillis })
        state.started()
        nowMillis += 1_000
        state.answered()
        expectThat(state.isSuspect).isFalse()
    }

    @Test
    fun `an upstream that owes nothing is never suspected`() {
        val state = UpstreamState(known(nowMillis), { nowMillis })
        state.started()
        state.ended()
        nowMillis += 60_000
        expectThat(state.isSuspect).isFalse()
    }

    @Test
    fun `a cold upstream is started no more often than its rate`() {
        val state = UpstreamState(known(nowMillis), { nowMillis })
        expectThat(state.takeColdStart(perSecond = 2.0)).isTrue()
        nowMillis += 400
        expectThat(state.takeColdStart(perSecond = 2.0)).isFalse()
        nowMillis += 200
        expectThat(state.takeColdStart(perSecond = 2.0)).isTrue()
    }

    @Test
    fun `own requests since a report count on top of it`() {
        val state = UpstreamState(known(nowMillis), { nowMillis })
        state.started()
        state.reported(ReportedLoad(running = 10, waiting = 2, slots = 64))
        repeat(3) { state.started() }
        expectThat(state.estimatedLoad()).isEqualTo(15)
    }
}
