/*
 * Effect of commands on the replicated state.
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
        Triple("a higher version", replace(8, "eight"), "eight"),
        Triple("a lower version", replace(6, "six"), "seven"),
        Triple("the same version with other content", replace(7, "another"), "seven"),
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
    fun `a duplicate command to begin a roll-out changes nothing`() {
        val begin = FleetCommand.Begin(pool, "v2", durationMillis = 10_000, atMillis = 5)
        applyAll(begin, FleetCommand.End(pool, 1, FleetRolloutPhase.RolledBack), begin)
        expectThat(published.last().rollouts.map { it.phase }).containsExactly(FleetRolloutPhase.RolledBack)
    }

    @Test
    fun `ending an earlier roll-out does not affect a later one`() {
        applyAll(
            FleetCommand.Begin(pool, "v2", durationMillis = 10_000, atMillis = 5),
            FleetCommand.Begin(pool, "v3", durationMillis = 10_000, atMillis = 6),
            FleetCommand.End(pool, 1, FleetRolloutPhase.Completed),
        )
        expectThat(published.last().rolloutOf(pool)?.phase).isEqualTo(FleetRolloutPhase.Running)
    }

    @Test
    fun `a restored state machine continues from the snapshot`() {
        applyAll(replace(7, "seven"), FleetCommand.SetZone(ZoneName("a"), out = true))
        val views = ArrayList<FleetView>()
        val restored = FleetState { views += it }
        restored.restore(state.snapshot())
        restored.apply(3, FleetCommand.SetZone(ZoneName("b"), out = true).encode())
        expectThat(views.last().zonesOut).isEqualTo(setOf(ZoneName("a"), ZoneName("b")))
        expectThat(views.last().version).isEqualTo(7)
    }
}
