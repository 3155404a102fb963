/*
 * The pace of streams, and what hosts report of it during a roll-out.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.FleetRollout
import io.carawaytrack.fleet.FleetRolloutPhase
import io.carawaytrack.fleet.RolloutBounds
import io.carawaytrack.fleet.RouteTally
import io.carawaytrack.model.PoolName
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class StreamPaceTest {
    private class Case(
        val name: String,
        val arrivals: List<Pair<Int, Long>>,
        val shortestSpanMillis: Long?,
        val unfinishedSpanMillis: Long?,
    )

    @TestFactory
    fun `the shortest span of four pauses is the pace of a stream`(): List<DynamicTest> = listOf(
        Case("no event", emptyList(), null, null),
        Case("fewer pauses than a span has", listOf(1 to 100L, 1 to 140L), null, 900),
        Case("even pauses", (0..6).map { 1 to it * 40L }, 160, null),
        Case("a later span is shorter", (0..4).map { 1 to it * 90L } + (1..4).map { 1 to 360 + it * 30L }, 120, null),
        Case("events of one read have no pause of their own", listOf(1 to 0L, 3 to 90L, 1 to 120L), 120, null),
        Case("a long pause within a fast stream", (0..4).map { 1 to it * 25L } + (1 to 900L), 100, null),
    ).map { case ->
        dynamicTest(case.name) {
            val pace = StreamPace()
            case.arrivals.forEach { (count, atMillis) -> pace.eventsReceived(count, atMillis) }
            expectThat(pace.shortestSpanMillis).isEqualTo(case.shortestSpanMillis)
            expectThat(pace.unfinishedSpanMillis(1_000)).isEqualTo(case.unfinishedSpanMillis)
        }
    }

    @Test
    fun `a stream that goes on at another upstream is timed anew`() {
        val pace = StreamPace()
        (0..4).forEach { pace.eventsReceived(1, it * 20L) }
        pace.restart()
        (0..4).forEach { pace.eventsReceived(1, 500 + it * 50L) }
        expectThat(pace.shortestSpanMillis).isEqualTo(200)
    }

    private val rollout = FleetRollout(PoolName("llm"), "v2", 7, 24_000, 0, FleetRolloutPhase.Running)

    private fun attempt(
        version: String,
        spanMillis: Long? = null,
        unfinishedSpanMillis: Long? = null,
    ) = OpenAttempt(rollout, "r", version, elapsedMillis = 500, spanMillis, unfinishedSpanMillis)

    @Test
    fun `streams on the new version that are still open count for its pace`() {
        val tracker = RolloutTracker(RolloutBounds()) { 12_000 }.also { it.update(listOf(rollout)) }
        repeat(10) { tracker.recordOutcome(attempt("v1", spanMillis = 120), good = true) }
        tracker.recordAbandoned(attempt("v2", spanMillis = 200))
        val open =
            listOf(
                attempt("v2", spanMillis = 190),
                attempt("v2", unfinishedSpanMillis = 300),
                attempt("v2", unfinishedSpanMillis = 100),
                attempt("v2"),
            )
        val tally = tracker.tallies(open).single()
        expectThat(tally.old).isEqualTo(listOf(RouteTally("r", 10, 0, 5_000, 0, paced = 10, spanMillis = 1_200)))
        expectThat(tally.new).isEqualTo(listOf(RouteTally("r", paced = 3, spanMillis = 690)))
    }
}
