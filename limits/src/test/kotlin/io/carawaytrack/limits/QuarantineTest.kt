/*
 * The quarantine: the request that crashes upstreams is refused, the others are not, and agents agree.
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
    private class Bench(
        maxSuspects: Int = 8,
    ) {
        var nowMillis = 0L
        private val settings =
            QuarantineSettings(deathsToQuarantine = 3, expiryMillis = 1_000, maxSuspects = maxSuspects)
        val agents = listOf("a1", "a2").map { name -> Quarantine(NodeId(name), settings) { nowMillis } }
        val first = agents.first()
        val second = agents.last()

        fun Quarantine.die(vararg fingerprints: Long) {
            fingerprints.forEach(::started)
            upstreamDied()
        }
    }

    private data class Case(
        val name: String,
        val refused: Set<Long>,
        val maxSuspects: Int = 8,
        val steps: Bench.() -> Unit,
    )

    private val cases =
        listOf(
            Case("two deaths are not enough", emptySet()) { repeat(2) { first.die(1) } },
            Case("three deaths are", setOf(1)) { repeat(3) { first.die(1) } },
            Case("requests that stood beside it once are not harmed", setOf(1)) {
                first.die(1, 2)
                first.die(1, 3)
                first.die(1, 4)
            },
            Case("a request that completes is cleared", setOf(1)) {
                repeat(2) { first.die(1, 2) }
                first.started(2)
                first.finished(2, completed = true)
                first.die(1, 2)
            },
            Case("a request that ended without completing is not cleared", setOf(1)) {
                repeat(2) { first.die(1) }
                first.started(1)
                first.finished(1, completed = false)
                first.die(1)
            },
            Case("what was finished before the death is not counted", emptySet()) {
                repeat(3) {
                    first.started(1)
                    first.finished(1, completed = false)
                    first.upstreamDied()
                }
            },
            Case("deaths seen by several agents add up", setOf(1)) {
                repeat(2) { second.die(1) }
                first.die(1)
                first.merge(second.report())
            },
            Case("the same report again adds nothing", emptySet()) {
                second.die(1)
                first.die(1)
                repeat(5) { first.merge(second.report()) }
            },
            Case("a late older report does not replace a newer one", setOf(1)) {
                val older = second.report()
                repeat(3) { second.die(1) }
                first.merge(second.report())
                first.merge(older)
            },
            Case("an agent's own report that comes back adds nothing", emptySet()) {
                repeat(2) { first.die(1) }
                first.merge(first.report())
            },
            Case("old deaths are forgotten", emptySet()) {
                repeat(3) { first.die(1) }
                nowMillis += 1_000
            },
            Case("old deaths are forgotten although they are reported again", emptySet()) {
                repeat(3) { second.die(1) }
                first.merge(second.report())
                nowMillis += 900
                second.die(2)
                first.merge(second.report())
                nowMillis += 100
            },
            Case("what another agent has cleared no longer counts", emptySet()) {
                repeat(2) { second.die(1) }
                first.die(1)
                first.merge(second.report())
                second.started(1)
                second.finished(1, completed = true)
                first.merge(second.report())
            },
            Case("the oldest suspect gives way", setOf(2), maxSuspects = 1) {
                repeat(3) { first.die(1) }
                repeat(3) { first.die(2) }
            },
        )

    @TestFactory
    fun `requests that crash upstreams are refused`(): List<DynamicTest> = cases.map { case ->
        dynamicTest(case.name) {
            val bench = Bench(case.maxSuspects).apply(case.steps)
            val refused = (1L..4L).filter { bench.first.refusalOf(it) != null }.toSet()
            expectThat(refused).isEqualTo(case.refused)
        }
    }

    @Test
    fun `a refusal says that the request is quarantined and did not run`() {
        val bench = Bench()
        with(bench) { repeat(3) { first.die(1) } }
        expectThat(bench.first.refusalOf(1)).isNotNull().and {
            get { kind }.isEqualTo(ErrorKind.Quarantined)
            get { execution }.isEqualTo(Execution.NotRun)
        }
        expectThat(bench.second.refusalOf(1)).isNull()
    }
}
