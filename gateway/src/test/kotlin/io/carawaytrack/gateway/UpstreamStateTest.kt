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
import strikt.assertions.isIn
import strikt.assertions.isTrue
import kotlin.random.Random

/** Requests per second that a cold upstream tolerates, and the most that may reach it within one second. */
private const val COLD_PER_SECOND = 16.0
private const val MOST_COLD_IN_ONE_SECOND = 29

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
        val state = UpstreamState(known(nowMillis), { nowMillis }, random = { 0.9 })
        expectThat(state.tryColdStart(perSecond = 2.0)).isFalse()
        nowMillis += 60
        expectThat(state.tryColdStart(perSecond = 2.0)).isTrue()
        nowMillis += 400
        expectThat(state.tryColdStart(perSecond = 2.0)).isFalse()
        nowMillis += 200
        expectThat(state.tryColdStart(perSecond = 2.0)).isTrue()
    }

    private class ColdCase(
        val hosts: Int,
        val idleMillis: Long,
    )

    @TestFactory
    fun `all hosts together keep to the rate of a cold upstream in every second`(): List<DynamicTest> = listOf(
        ColdCase(hosts = 9, idleMillis = 0),
        ColdCase(hosts = 35, idleMillis = 0),
        ColdCase(hosts = 35, idleMillis = 60_000),
        ColdCase(hosts = 341, idleMillis = 60_000),
    ).map { case ->
        dynamicTest("${case.hosts} hosts, idle for ${case.idleMillis} ms") {
            val random = Random(case.hosts)
            val states = List(case.hosts) { UpstreamState(known(nowMillis), { nowMillis }, random::nextDouble) }
            nowMillis += case.idleMillis
            // Each host has more requests than it may send: the upstream is the cheapest one for all of them.
            val sentAtMillis = ArrayList<Long>()
            repeat(150) {
                nowMillis += 20
                states.filter { it.tryColdStart(COLD_PER_SECOND / case.hosts) }.forEach { sentAtMillis += nowMillis }
            }
            val mostInOneSecond = sentAtMillis.maxOf { from -> sentAtMillis.count { it in from..<from + 1_000 } }
            expectThat(mostInOneSecond).isIn((COLD_PER_SECOND / 2).toInt()..MOST_COLD_IN_ONE_SECOND)
        }
    }

    private class LimitCase(
        val hosts: Int,
        val limitPerSecond: Double,
        val idleMillis: Long,
    )

    @TestFactory
    fun `all hosts together keep to the limit that an upstream states, in every four seconds`(): List<DynamicTest> =
        listOf(
            LimitCase(hosts = 1, limitPerSecond = 2.0, idleMillis = 0),
            LimitCase(hosts = 8, limitPerSecond = 1.9, idleMillis = 0),
            LimitCase(hosts = 8, limitPerSecond = 1.9, idleMillis = 60_000),
            LimitCase(hosts = 30, limitPerSecond = 2.0, idleMillis = 60_000),
            LimitCase(hosts = 30, limitPerSecond = 200.0, idleMillis = 60_000),
            LimitCase(hosts = 341, limitPerSecond = 5.0, idleMillis = 60_000),
        ).map { case ->
            dynamicTest("${case.hosts} hosts, ${case.limitPerSecond} a second, idle for ${case.idleMillis} ms") {
                val random = Random(case.hosts)
                val states = List(case.hosts) { UpstreamState(known(nowMillis), { nowMillis }, random::nextDouble) }
                states.forEach { it.applyLimit(case.limitPerSecond) }
                nowMillis += case.idleMillis
                val sentAtMillis = ArrayList<Long>()
                repeat(600) {
                    nowMillis += 20
                    states.filter { it.tryLimited(case.hosts) }.forEach { sentAtMillis += nowMillis }
                }
                val most = sentAtMillis.maxOf { from -> sentAtMillis.count { it in from..<from + 4_000 } }
                val named = (case.limitPerSecond * 4).toInt()
                expectThat(most).isIn(named / 2..named * 3 / 2 + 5)
            }
        }

    @Test
    fun `a host with rare requests gets its share of a high limit`() {
        val state = UpstreamState(known(nowMillis), { nowMillis }, random = { 0.0 })
        state.applyLimit(100.0)
        repeat(10) {
            nowMillis += 500
            expectThat(state.tryLimited(hosts = 8)).isTrue()
        }
    }

    @Test
    fun `own requests since a load report are added to it`() {
        val state = UpstreamState(known(nowMillis), { nowMillis })
        state.requestStarted()
        state.applyLoadReport(ReportedLoad(running = 10, waiting = 2))
        nowMillis += 10
        repeat(3) { state.requestStarted() }
        expectThat(state.estimatedLoad()).isEqualTo(15)
    }

    @Test
    fun `a report to another host counts from its age, and an older one is ignored`() {
        val state = UpstreamState(known(nowMillis), { nowMillis })
        state.requestStarted()
        nowMillis += 300
        repeat(2) { state.requestStarted() }
        // The report includes the first request, but not the two that started after it.
        state.applyLoadReport(ReportedLoad(running = 20, waiting = 1), ageMillis = 200)
        expectThat(state.estimatedLoad()).isEqualTo(23)
        state.applyLoadReport(ReportedLoad(running = 5, waiting = 0), ageMillis = 900)
        expectThat(state.estimatedLoad()).isEqualTo(23)
        nowMillis += 60_000
        expectThat(state.estimatedLoad()).isEqualTo(3)
    }
}
