/*
 * Tests that requests which crash upstreams are refused, that others are not, and that agents combine their reports.
 */
package io.carawaytrack.limits

import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.NodeId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class QuarantineTest {
    private class Fixture(
        maxSuspects: Int = 8,
    ) {
        var nowMillis = 0L
        private val settings =
            QuarantineSettings(deathsToQuarantine = 3, expiryMillis = 1_000, maxSuspects = maxSuspects)
        val agents = listOf("a1", "a2").map { name -> Quarantine(NodeId(name), settings) { nowMillis } }
        val first = agents.first()
        val second = agents.last()

        fun Quarantine.crash(vararg fingerprints: Long) {
            fingerprints.forEach(::started)
            upstreamCrashed()
        }
    }

    private data class Case(
        val name: String,
        val refused: Set<Long>,
        val maxSuspects: Int = 8,
        val steps: Fixture.() -> Unit,
    )

    private val cases =
        listOf(
            Case("two crashes do not quarantine a request", emptySet()) { repeat(2) { first.crash(1) } },
            Case("three crashes quarantine a request", setOf(1)) { repeat(3) { first.crash(1) } },
            Case("requests that ran beside it once are not refused", setOf(1)) {
                first.crash(1, 2)
                first.crash(1, 3)
                first.crash(1, 4)
            },
            Case("a request that completes is cleared", setOf(1)) {
                repeat(2) { first.crash(1, 2) }
                first.started(2)
                first.finished(2, completed = true)
                first.crash(1, 2)
            },
            Case("a request that ended without completing is not cleared", setOf(1)) {
                repeat(2) { first.crash(1) }
                first.started(1)
                first.finished(1, completed = false)
                first.crash(1)
            },
            Case("a request that finished before the crash is not counted", emptySet()) {
                repeat(3) {
                    first.started(1)
                    first.finished(1, completed = false)
                    first.upstreamCrashed()
                }
            },
            Case("crashes reported by several agents are summed", setOf(1)) {
                repeat(2) { second.crash(1) }
                first.crash(1)
                first.merge(second.report())
            },
            Case("a repeated report has no effect", emptySet()) {
                second.crash(1)
                first.crash(1)
                repeat(5) { first.merge(second.report()) }
            },
            Case("an older report that arrives late does not replace a newer one", setOf(1)) {
                val older = second.report()
                repeat(3) { second.crash(1) }
                first.merge(second.report())
                first.merge(older)
            },
            Case("an agent ignores its own report", emptySet()) {
                repeat(2) { first.crash(1) }
                first.merge(first.report())
            },
            Case("old crashes expire", emptySet()) {
                repeat(3) { first.crash(1) }
                nowMillis += 1_000
            },
            Case("old crashes expire although they are reported again", emptySet()) {
                repeat(3) { second.crash(1) }
                first.merge(second.report())
                nowMillis += 900
                second.crash(2)
                first.merge(second.report())
                nowMillis += 100
            },
            Case("crashes that another agent has cleared do not count", emptySet()) {
                repeat(2) { second.crash(1) }
                first.crash(1)
                first.merge(second.report())
                second.started(1)
                second.finished(1, completed = true)
                first.merge(second.report())
            },
            Case("the oldest suspect is evicted", setOf(2), maxSuspects = 1) {
                repeat(3) { first.crash(1) }
                repeat(3) { first.crash(2) }
            },
        )

    @TestFactory
    fun `requests that crash upstreams are refused`(): List<DynamicTest> = cases.map { case ->
        dynamicTest(case.name) {
            val fixture = Fixture(case.maxSuspects).apply(case.steps)
            val refused = (1L..4L).filter { fixture.first.refusalOf(it) != null }.toSet()
            expectThat(refused).isEqualTo(case.refused)
        }
    }

    @Test
    fun `a refusal has kind Quarantined and reports NotRun`() {
        val fixture = Fixture()
        with(fixture) { repeat(3) { first.crash(1) } }
        expectThat(fixture.first.refusalOf(1)).isNotNull().and {
            get { kind }.isEqualTo(ErrorKind.Quarantined)
            get { execution }.isEqualTo(Execution.NotRun)
        }
        expectThat(fixture.second.refusalOf(1)).isNull()
    }
}
