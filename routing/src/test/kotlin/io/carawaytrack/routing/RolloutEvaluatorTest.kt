/*
 * Tests the decision for given tallies of a stage, and the rate of false rollbacks between equal versions.
 */
package io.carawaytrack.routing

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

class RolloutEvaluatorTest {
    private data class Case(
        val name: String,
        val to: VersionTally,
        val expected: RolloutDecision,
    )

    private val old = tally(exposed = 1_000, rating = 0.85, ratings = 400, failed = 5, slow = 20)

    private val cases =
        listOf(
            Case("continues without observations", VersionTally(), RolloutDecision.Continue),
            Case("continues on a few similar ratings", tally(30, 0.85, 10), RolloutDecision.Continue),
            Case("advances when a loss of quality is ruled out", tally(900, 0.86, 400), RolloutDecision.Advance),
            Case("rolls back on a few very bad ratings", tally(40, 0.45, 12), RolloutDecision.RollBack),
            Case("rolls back when most requests fail", tally(8, 0.85, 0, failed = 7), RolloutDecision.RollBack),
            Case("rolls back when most answers are slow", tally(60, 0.85, 20, slow = 50), RolloutDecision.RollBack),
            Case("holds when ratings do not arrive", tally(150, 0.85, 3), RolloutDecision.Hold),
            Case("holds when a stage has reached its request limit", tally(2_000, 0.85, 40), RolloutDecision.Hold),
            Case("does not advance on ratings alone", tally(300, 0.86, 400, failed = 9), RolloutDecision.Continue),
        )

    @TestFactory
    fun `evaluate`(): List<DynamicTest> = cases.map { case ->
        dynamicTest(case.name) {
            expectThat(RolloutEvaluator().evaluate(listOf(RolloutEvidence(old, case.to)))).isEqualTo(case.expected)
        }
    }

    @Test
    fun `evaluate rolls back on the latest period although the stage as a whole is undecided`() {
        val good = RolloutEvidence(old, tally(400, 0.86, 150))
        val bad = RolloutEvidence(old, tally(20, 0.45, 12))
        expectThat(RolloutEvaluator().evaluate(listOf(good + bad))).isEqualTo(RolloutDecision.Continue)
        expectThat(RolloutEvaluator().evaluate(listOf(good, bad))).isEqualTo(RolloutDecision.RollBack)
    }

    @Test
    fun `evaluate after every rating rolls back an equal version in at most one of a hundred stages`() {
        val rolledBack = (1..400).count { seed -> RolloutDecision.RollBack in decisionsOnEqualVersions(Random(seed)) }
        expectThat(rolledBack).isLessThanOrEqualTo(4)
    }

    @Test
    fun `tallies of two entries add up to the tally of one entry with all observations`() {
        val observed =
            listOf(Observation.Rated(0.5), Observation.Completed(900, 10), Observation.Failed, Observation.Rated(1.0))
        val total = observed.fold(VersionTally()) { sum, one -> sum.plus(one, slowMillisPerToken = 50.0) }
        val parts = observed.chunked(2).map { part -> part.fold(VersionTally()) { sum, one -> sum.plus(one, 50.0) } }
        expectThat(parts[0] + parts[1]).isEqualTo(total)
        expectThat(total.slow).isEqualTo(1)
    }

    private fun decisionsOnEqualVersions(random: Random): List<RolloutDecision> {
        val periods = ArrayDeque<RolloutEvidence>()
        return List(500) { index ->
            if (index % 50 == 0) periods.addLast(RolloutEvidence())
            val from = periods.last().from.plus(Observation.Rated(0.6 + 0.4 * random.nextDouble()), 50.0)
            val to = periods.last().to.plus(Observation.Rated(0.6 + 0.4 * random.nextDouble()), 50.0)
            periods[periods.lastIndex] = RolloutEvidence(from, to)
            RolloutEvaluator().evaluate(periods)
        }
    }

    private fun tally(
        exposed: Long,
        rating: Double,
        ratings: Long,
        failed: Long = 0,
        slow: Long = 0,
    ): VersionTally {
        val squares = ratings * (rating * rating + 0.02)
        return VersionTally(exposed, exposed - failed, failed, slow, ratings, ratings * rating, squares)
    }
}
