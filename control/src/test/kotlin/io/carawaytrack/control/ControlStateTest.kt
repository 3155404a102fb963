/*
 * The replicated state by its commands alone: what racing operators, resends, restarts and withdrawals lead to.
 */
package io.carawaytrack.control

import com.github.michaelbull.result.getError
import io.carawaytrack.ledger.LedgerCommand
import io.carawaytrack.ledger.LedgerReply
import io.carawaytrack.model.ChangeReply
import io.carawaytrack.model.ChangeRequest
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ConfigurationChange
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.Pool
import io.carawaytrack.model.PoolMember
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.RequestId
import io.carawaytrack.model.Rollout
import io.carawaytrack.model.RolloutPhase
import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.Tables
import io.carawaytrack.model.VersionState
import io.carawaytrack.model.ZoneName
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.random.Random

private const val CHANGES = 500
private const val SEEDS = 20

private val pen = ModelVersion("pen", "1")
private val penNext = ModelVersion("pen", "2")
private val drafts = PoolName("drafts")

private fun zone(
    name: String,
    inService: Boolean = false,
) = ConfigurationChange.SetZone(ZoneName(name), inService)

private fun ControlState.change(
    operation: String,
    change: ConfigurationChange,
    base: Long? = null,
    operator: String = "asha",
): ControlReply {
    val command = ControlCommand.Change(ChangeRequest(operation, base, operator, change), atMillis = 0)
    return decodeControlReply(apply(0, command.encode()))
}

private fun accepted(
    number: Long,
    repeated: Boolean = false,
) = ControlReply.Changed(ChangeReply(number, repeated))

private fun ControlState.restarted() = ControlState().also { it.restore(snapshot()) }

class ControlStateTest {
    @Test
    fun `of two operators with the same base number one wins and the other is told who`() {
        val state = ControlState()
        expectThat(state.change("a", zone("z1"), base = 0, operator = "asha")).isEqualTo(accepted(1))
        val lost = state.change("b", zone("z2"), base = 0, operator = "bina")
        expectThat(lost).isA<ControlReply.Refused>().and {
            get { failure.kind }.isEqualTo(ErrorKind.VersionConflict)
            get { failure.detail }.contains("asha")
        }
        expectThat(state.configuration.zonesOut).isEqualTo(setOf(ZoneName("z1")))
        expectThat(state.historyFrom(0)).hasSize(1)
    }

    @Test
    fun `a resent operation gets its first answer, also after a restart`() {
        val state = ControlState()
        state.change("a", zone("z1"), base = 0)
        val refused = state.change("b", zone("z2"), base = 0)
        state.change("c", zone("z1", inService = true), base = 1)
        listOf(state, state.restarted()).forEach { host ->
            expectThat(host.change("a", zone("z1"), base = 0)).isEqualTo(accepted(1, repeated = true))
            expectThat(host.change("b", zone("z2"), base = 0)).isEqualTo(refused)
            expectThat(host.configuration.number).isEqualTo(2)
            expectThat(host.configuration.zonesOut).isEqualTo(emptySet())
        }
    }

    @Test
    fun `the configuration never goes back over 500 changes and restarts`() {
        repeat(SEEDS) { seed ->
            val random = Random(seed)
            val seen = mutableListOf(0L)
            val hears = { inForce: Configuration -> seen += inForce.number }
            val steady = ControlState()
            var restarting = ControlState(hears)
            repeat(CHANGES) { step ->
                val change = randomChange(random, step)
                val base = if (random.nextInt(4) == 0) steady.configuration.number - random.nextInt(2) else null
                val operation = "op-${if (random.nextInt(8) == 0) random.nextInt(step + 1) else step}"
                val expected = steady.change(operation, change, base)
                expectThat(restarting.change(operation, change, base)).isEqualTo(expected)
                if (random.nextInt(10) == 0) {
                    restarting = ControlState(hears).also { it.restore(restarting.snapshot()) }
                }
            }
            expectThat(restarting.configuration).describedAs("seed $seed").isEqualTo(steady.configuration)
            expectThat(seen.zipWithNext().all { (earlier, later) -> earlier <= later })
                .describedAs("numbers never fall under seed $seed")
                .isTrue()
            val numbers = steady.historyFrom(0).map { it.number }
            expectThat(numbers).isEqualTo((1..steady.configuration.number).toList())
        }
    }

    private fun randomChange(
        random: Random,
        step: Int,
    ): ConfigurationChange = when (random.nextInt(4)) {
        0 -> zone("z${random.nextInt(4)}", random.nextBoolean())
        1 -> ConfigurationChange.SetVersion(pen, VersionState.entries.random(random))
        2 -> ConfigurationChange.RollbackTo(random.nextLong(step + 1L))
        else -> ConfigurationChange.ApplyTables(Tables(pools = listOf(Pool(drafts, ServiceKind.Model, emptyList()))))
    }

    @Test
    fun `a rollback restores what was in force under a new number`() {
        val state = ControlState()
        state.change("a", zone("z1"))
        state.change("b", zone("z2"))
        expectThat(state.change("c", ConfigurationChange.RollbackTo(1))).isEqualTo(accepted(3))
        expectThat(state.configuration).isEqualTo(Configuration(number = 3, zonesOut = setOf(ZoneName("z1"))))
    }

    @Test
    fun `an intent is judged by the configuration in force at its place in the log`() {
        val state = ControlState()
        expectThat(state.begin("r1")).isA<LedgerReply.Started>()
        state.change("a", ConfigurationChange.SetVersion(pen, VersionState.Withdrawn))
        expectThat(state.begin("r2")).isEqualTo(LedgerReply.VersionUnavailable)
        expectThat(state.restarted().begin("r3")).isEqualTo(LedgerReply.VersionUnavailable)
        state.change("b", ConfigurationChange.SetVersion(pen, VersionState.Serving))
        expectThat(state.begin("r4")).isA<LedgerReply.Started>()
    }

    private fun ControlState.begin(request: String): LedgerReply {
        val command =
            LedgerCommand.Begin(
                organisation = OrganisationName("market"),
                request = RequestId(request),
                version = pen,
                repeatable = false,
                timeoutMillis = 1,
                atMillis = 0,
            )
        val reply = decodeControlReply(apply(0, ControlCommand.Record(command).encode()))
        return (reply as ControlReply.Recorded).reply
    }

    private data class Fault(
        val name: String,
        val change: ConfigurationChange,
        val kind: ErrorKind,
    )

    private val pool = Pool(drafts, ServiceKind.Model, listOf(PoolMember(pen), PoolMember(penNext)))
    private val rollout = Rollout("r", drafts, pen, penNext, percent = 5, phase = RolloutPhase.Running)

    private val faults =
        listOf(
            Fault(
                "a roll-out in a pool that does not exist",
                ConfigurationChange.SetRollout(rollout.copy(pool = PoolName("none"))),
                ErrorKind.NotFound,
            ),
            Fault(
                "a roll-out to a version outside its pool",
                ConfigurationChange.SetRollout(rollout.copy(to = ModelVersion("pen", "3"))),
                ErrorKind.NotFound,
            ),
            Fault(
                "a roll-out from a version outside its pool",
                ConfigurationChange.SetRollout(rollout.copy(from = ModelVersion("pen", "3"))),
                ErrorKind.NotFound,
            ),
            Fault(
                "a percentage over 100",
                ConfigurationChange.SetRollout(rollout.copy(percent = 101)),
                ErrorKind.MalformedRequest,
            ),
            Fault(
                "a step of a roll-out that does not exist",
                ConfigurationChange.AdvanceRollout("none", RolloutPhase.Running),
                ErrorKind.NotFound,
            ),
            Fault("a rollback to a number never in force", ConfigurationChange.RollbackTo(77), ErrorKind.NotFound),
        )

    @TestFactory
    fun `a change that does not fit is refused and changes nothing`(): List<DynamicTest> = faults.map { fault ->
        dynamicTest(fault.name) {
            val before = Configuration(number = 4, tables = Tables(pools = listOf(pool)))
            val after = before.after(fault.change) { null }
            expectThat(after.getError()?.kind).isEqualTo(fault.kind)
            expectThat(after.isOk).isFalse()
        }
    }
}
