/*
 * Commands against the agreed state.
 */
package io.carawaytrack.fleet

import io.carawaytrack.model.PoolName
import io.carawaytrack.model.ZoneName
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

class FleetStateTest {
    private val published = ArrayList<FleetView>()
    private val state = FleetState { published += it }
    private val pool = PoolName("llm")

    private fun applyAll(vararg commands: FleetCommand) {
        commands.forEachIndexed { index, command -> state.apply(index + 1L, command.encode()) }
    }

    private fun replace(
        version: Long,
        document: String,
    ) = FleetCommand.Replace(version, document.encodeToByteArray())

    @TestFactory
    fun `the highest version stays in force with its own content`(): List<DynamicTest> = listOf(
        Triple("a higher one", replace(8, "eight"), "eight"),
        Triple("a lower one", replace(6, "six"), "seven"),
        Triple("the same one with other content", replace(7, "another"), "seven"),
    ).map { (name, command, expected) ->
        dynamicTest(name) {
            val views = ArrayList<FleetView>()
            val fresh = FleetState { views += it }
            fresh.apply(1, replace(7, "seven").encode())
            fresh.apply(2, command.encode())
            expectThat(views.last().document.decodeToString()).isEqualTo(expected)
        }
    }

    @Test
    fun `a resent order to roll out changes nothing`() {
        val begin = FleetCommand.Begin(pool, "v2", durationMillis = 10_000, atMillis = 5)
        applyAll(begin, FleetCommand.End(pool, 1, FleetRolloutPhase.RolledBack), begin)
        expectThat(published.last().rollouts.map { it.phase }).containsExactly(FleetRolloutPhase.RolledBack)
    }

    @Test
    fun `a verdict on an earlier order leaves a later one alone`() {
        applyAll(
            FleetCommand.Begin(pool, "v2", durationMillis = 10_000, atMillis = 5),
            FleetCommand.Begin(pool, "v3", durationMillis = 10_000, atMillis = 6),
            FleetCommand.End(pool, 1, FleetRolloutPhase.Completed),
        )
        expectThat(published.last().rolloutOf(pool)?.phase).isEqualTo(FleetRolloutPhase.Running)
    }

    @Test
    fun `a restored copy goes on from the snapshot`() {
        applyAll(replace(7, "seven"), FleetCommand.SetZone(ZoneName("a"), out = true))
        val views = ArrayList<FleetView>()
        val copy = FleetState { views += it }
        copy.restore(state.snapshot())
        copy.apply(3, FleetCommand.SetZone(ZoneName("b"), out = true).encode())
        expectThat(views.last().zonesOut).isEqualTo(setOf(ZoneName("a"), ZoneName("b")))
        expectThat(views.last().version).isEqualTo(7)
    }
}
