/*
 * Tests how ratings, failures and unproven versions change the plans.
 */
package io.carawaytrack.routing

import com.github.michaelbull.result.getOrElse
import io.carawaytrack.model.ModelVersion
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

class LearningPlannerTest {
    private val configuration = draftConfiguration(smallMember, largeMember)

    private data class PlanCase(
        val name: String,
        val smallRatings: List<Double>,
        val expected: List<ModelVersion>,
        val singleVersion: Boolean = false,
    )

    private val mixedRatings = List(120) { if (it % 4 == 0) 0.3 else 0.95 }

    private val planCases =
        listOf(
            PlanCase("the cheap version alone when its rating is above the target", List(60) { 0.9 }, listOf(small)),
            PlanCase("a cascade when many cheap answers meet the target", mixedRatings, listOf(small, large)),
            PlanCase("the expensive version when the request rules out a cascade", mixedRatings, listOf(large), true),
            PlanCase("the expensive version when no cheap answer meets the target", List(120) { 0.2 }, listOf(large)),
            PlanCase("the expensive version while the cheap one has few ratings", List(3) { 0.9 }, listOf(large)),
        )

    @TestFactory
    fun `best plan is`(): List<DynamicTest> = planCases.map { case ->
        dynamicTest(case.name) {
            val planner =
                Planner(Random(3), PlannerSettings(newVersionRatio = 0.0, recheckRatio = 0.0, promisingRatio = 0.0))
            repeat(200) { planner.observe("draft", large, Observation.Rated(0.94 + it % 2 * 0.02)) }
            case.smallRatings.forEach { planner.observe("draft", small, Observation.Rated(it)) }
            expectThat(planner.versions(case.singleVersion)).isEqualTo(case.expected)
        }
    }

    @Test
    fun `a version that starts to fail is no longer used alone`() {
        val planner =
            Planner(Random(3), PlannerSettings(newVersionRatio = 0.0, recheckRatio = 0.0, promisingRatio = 0.0))
        repeat(200) { planner.observe("draft", large, Observation.Rated(0.95)) }
        repeat(200) { planner.observe("draft", small, Observation.Rated(0.9)) }
        expectThat(planner.versions()).isEqualTo(listOf(small))
        repeat(30) { planner.observe("draft", small, Observation.Failed) }
        expectThat(planner.versions().last()).isEqualTo(large)
    }

    @Test
    fun `an unproven version is tried on a limited share of requests, with a sufficient version as fallback`() {
        val planner = Planner(Random(3), PlannerSettings(newVersionRatio = 0.1))
        repeat(60) { planner.observe("draft", large, Observation.Rated(0.95)) }
        val plans = List(300) { planner.versions() }
        val tried = plans.filter { small in it }
        expectThat(tried.size).isIn(10..60)
        expectThat(tried.count { it.last() != large }).isEqualTo(0)
    }

    @Test
    fun `trials stop while no ratings arrive`() {
        val planner = Planner(Random(3), PlannerSettings(newVersionRatio = 0.5, maxUnratedRequests = 20))
        repeat(60) { planner.observe("draft", large, Observation.Rated(0.95)) }
        val tried =
            (1..2_000).count {
                planner.observe("draft", large, Observation.Completed(latencyMillis = 10, tokens = 100))
                small in planner.versions()
            }
        expectThat(tried).isGreaterThan(0).isLessThanOrEqualTo(20 + 16)
    }

    @Test
    fun `members of equal cost receive requests by weight`() {
        val members = arrayOf(smallMember.copy(weight = 3), smallNextMember.copy(costPerKiloToken = 1.0, weight = 1))
        val planner = Planner(Random(3))
        val request = PlanRequest(organisation("*@*"), draftRoute(target = 0.6))
        val plans = List(1_000) { planner.plan(draftConfiguration(*members), request).getOrElse { error(it.detail) } }
        expectThat(plans.count { it.steps.first().version == small }).isIn(690..810)
    }

    private fun Planner.versions(singleVersion: Boolean = false): List<ModelVersion> {
        val request = PlanRequest(organisation("*@*"), draftRoute(target = 0.85), singleVersion = singleVersion)
        return plan(
            configuration,
            request,
        ).getOrElse { error("expected a plan, got ${it.detail}") }.steps.map { it.version }
    }
}
