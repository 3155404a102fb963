/*
 * Tests which versions a plan contains and which requests are refused.
 */
package io.carawaytrack.routing

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.Organisation
import io.carawaytrack.model.Pool
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.Rollout
import io.carawaytrack.model.RolloutPhase
import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.Tables
import io.carawaytrack.model.VersionState
import io.carawaytrack.model.membersOf
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import kotlin.random.Random

class PlannerTest {
    private data class RefusalCase(
        val name: String,
        val organisation: Organisation,
        val states: Map<ModelVersion, VersionState>,
        val pinned: ModelVersion?,
        val expected: ErrorKind,
    )

    private val refusalCases =
        listOf(
            RefusalCase(
                "an organisation that may use no version of the pool",
                organisation("other@*"),
                emptyMap(),
                null,
                ErrorKind.NotAllowed,
            ),
            RefusalCase("a pinned version not allowed", organisation("pen@*"), emptyMap(), large, ErrorKind.NotAllowed),
            RefusalCase(
                "a pinned version that is withdrawn",
                organisation("*@*"),
                mapOf(large to VersionState.Withdrawn),
                large,
                ErrorKind.SessionVersionWithdrawn,
            ),
            RefusalCase(
                "a pool whose allowed versions are all draining",
                organisation("quill@*"),
                mapOf(large to VersionState.Draining),
                null,
                ErrorKind.NoHealthyUpstream,
            ),
        )

    @TestFactory
    fun `plan fails with NotRun`(): List<DynamicTest> = refusalCases.map { case ->
        dynamicTest("for ${case.name}") {
            val configuration = draftConfiguration().withStates(case.states)
            val request = PlanRequest(case.organisation, draftRoute(), case.pinned)
            val failure = Planner(Random(1)).plan(configuration, request).getError()
            expectThat(failure?.kind).isEqualTo(case.expected)
            expectThat(failure?.execution).isEqualTo(Execution.NotRun)
        }
    }

    private data class VersionCase(
        val name: String,
        val target: Double,
        val allows: String,
        val expected: ModelVersion,
        val states: Map<ModelVersion, VersionState> = emptyMap(),
        val pinned: ModelVersion? = null,
    )

    private val versionCases =
        listOf(
            VersionCase("the cheapest version that meets the target", 0.6, "*@*", smallNext),
            VersionCase("a more expensive version when the cheap ones miss the target", 0.9, "*@*", large),
            VersionCase("the best allowed version when none meets the target", 0.9, "pen@1", small),
            VersionCase(
                "another version when the cheapest is draining",
                0.6,
                "*@*",
                small,
                mapOf(smallNext to VersionState.Draining),
            ),
            VersionCase(
                "the pinned version even when it is draining",
                0.6,
                "*@*",
                smallNext,
                mapOf(smallNext to VersionState.Draining),
                smallNext,
            ),
            VersionCase("the pinned version even when it is expensive", 0.6, "*@*", large, pinned = large),
        )

    @TestFactory
    fun `the last step of a plan without observations is`(): List<DynamicTest> = versionCases.map { case ->
        dynamicTest(case.name) {
            val configuration = draftConfiguration().withStates(case.states)
            val request = PlanRequest(organisation(case.allows), draftRoute(case.target), case.pinned)
            expectThat(Planner(Random(1)).lastVersion(configuration, request)).isEqualTo(case.expected)
        }
    }

    private data class RolloutCase(
        val percent: Int,
        val phase: RolloutPhase,
        val allows: String,
        val expected: IntRange,
    )

    private val rolloutCases =
        listOf(
            RolloutCase(10, RolloutPhase.Running, "*@*", 60..140),
            RolloutCase(50, RolloutPhase.Paused, "*@*", 430..570),
            RolloutCase(50, RolloutPhase.Completed, "*@*", 1_000..1_000),
            RolloutCase(50, RolloutPhase.RolledBack, "*@*", 0..0),
            RolloutCase(0, RolloutPhase.Running, "*@*", 0..0),
            RolloutCase(50, RolloutPhase.Running, "pen@1", 0..0),
        )

    @TestFactory
    fun `a roll-out moves its percentage of a thousand requests`(): List<DynamicTest> = rolloutCases.map { case ->
        dynamicTest("at ${case.percent} percent, ${case.phase}, allowing ${case.allows}") {
            val rollout = Rollout("next", draftPool, small, smallNext, case.percent, case.phase)
            val configuration = draftConfiguration(smallMember, smallNextMember, rollouts = listOf(rollout))
            val planner = Planner(Random(7))
            val request = PlanRequest(organisation(case.allows), draftRoute(target = 0.5))
            val onNewVersion = (1..1_000).count { planner.lastVersion(configuration, request) == smallNext }
            expectThat(onNewVersion).isIn(case.expected)
        }
    }

    @Test
    fun `membersOf terminates on pools that include each other and lists each version once`() {
        val inner = Pool(PoolName("inner"), ServiceKind.Model, listOf(largeMember, smallMember), listOf(draftPool))
        val outer = Pool(draftPool, ServiceKind.Model, listOf(smallMember.copy(weight = 3)), listOf(inner.name))
        val members = Tables(pools = listOf(outer, inner)).membersOf(draftPool)
        expectThat(members).isEqualTo(listOf(smallMember.copy(weight = 3), largeMember))
    }

    private fun Configuration.withStates(states: Map<ModelVersion, VersionState>) =
        copy(versionStates = states.mapKeys { it.key.toString() })

    private fun Planner.lastVersion(
        configuration: Configuration,
        request: PlanRequest,
    ): ModelVersion = plan(configuration, request)
        .getOrElse { error("expected a plan, got ${it.detail}") }
        .steps
        .last()
        .version
}
