/*
 * Suspicion of unresponsive upstreams, the rate limit for cold upstreams, and the load estimate.
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
        val unansweredMillis: Long,
        val suspected: Boolean,
    )

    @TestFactory
    fun `an upstream with outstanding requests is suspected when no byte arrives for long`(): List<DynamicTest> =
        listOf(
            Case("no byte for less than the limit", unansweredMillis = 800, suspected = false),
            Case("no byte for more than the limit", unansweredMillis = 1_000, suspected = true),
        ).map { case ->
            dynamicTest(case.name) {
                val state = UpstreamState(known(nowMillis), { nowMillis })
                state.requestStarted()
                nowMillis += case.unansweredMillis
                expectThat(state.isSuspectedUnhealthy).isEqualTo(case.suspected)
            }
        }

    @Test
    fun `an upstream is no longer suspected when bytes arrive`() {
        val state = UpstreamState(known(nowMillis), { nowMillis })
        state.requestStarted()
        nowMillis += 1_000
        state.bytesReceived()
        expectThat(state.isSuspectedUnhealthy).isFalse()
    }

    @Test
    fun `an upstream without outstanding requests is never suspected`() {
        val state = UpstreamState(known(nowMillis), { nowMillis })
        state.requestStarted()
        state.requestEnded()
        nowMillis += 60_000
        expectThat(state.isSuspectedUnhealthy).isFalse()
    }

    @Test
    fun `requests to a cold upstream are limited to its rate`() {
        val state = UpstreamState(known(nowMillis), { nowMillis })
        expectThat(state.tryColdStart(perSecond = 2.0)).isTrue()
        nowMillis += 400
        expectThat(state.tryColdStart(perSecond = 2.0)).isFalse()
        nowMillis += 200
        expectThat(state.tryColdStart(perSecond = 2.0)).isTrue()
    }

    @Test
    fun `own requests since a load report are added to it`() {
        val state = UpstreamState(known(nowMillis), { nowMillis })
        state.requestStarted()
        state.applyLoadReport(ReportedLoad(running = 10, waiting = 2, slots = 64))
        repeat(3) { state.requestStarted() }
        expectThat(state.estimatedLoad()).isEqualTo(15)
    }
}
