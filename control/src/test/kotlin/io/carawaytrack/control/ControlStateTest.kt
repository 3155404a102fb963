/*
 * Tests the replicated state through its commands: concurrent operators, retries, restarts and withdrawn versions.
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

private const val CHANGE_COUNT = 500
private const val SEED_COUNT = 20

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
    fun `of two changes with the same base number, the second is refused and its refusal names the first operator`() {
        val state = ControlState()
        expectThat(state.change("a", zone("z1"), base = 0, operator = "asha")).isEqualTo(accepted(1))
        val conflicting = state.change("b", zone("z2"), base = 0, operator = "bina")
        expectThat(conflicting).isA<ControlReply.Refused>().and {
            get { failure.kind }.isEqualTo(ErrorKind.VersionConflict)
            get { failure.detail }.contains("asha")
        }
        expectThat(state.configuration.zonesOut).isEqualTo(setOf(ZoneName("z1")))
        expectThat(state.historyFrom(0)).hasSize(1)
    }

    @Test
    fun `a retried operation returns its first reply, also after a restart`() {
        val state = ControlState()
        state.change("a", zone("z1"), base = 0)
        val refused = state.change("b", zone("z2"), base = 0)
        state.change("c", zone("z1", inService = true), base = 1)
        listOf(state, state.restarted()).forEach { instance ->
            expectThat(instance.change("a", zone("z1"), base = 0)).isEqualTo(accepted(1, repeated = true))
            expectThat(instance.change("b", zone("z2"), base = 0)).isEqualTo(refused)
            expectThat(instance.configuration.number).isEqualTo(2)
            expectThat(instance.configuration.zonesOut).isEqualTo(emptySet())
        }
    }

    @Test
    fun `the configuration number never decreases over 500 changes with restarts`() {
        repeat(SEED_COUNT) { seed ->
            val random = Random(seed)
            val observedNumbers = mutableListOf(0L)
            val onConfiguration = { inForce: Configuration -> observedNumbers += inForce.number }
            val uninterrupted = ControlState()
            var restarting = ControlState(onConfiguration)
            repeat(CHANGE_COUNT) { step ->
                val change = randomChange(random, step)
                val base = if (random.nextInt(4) == 0) uninterrupted.configuration.number - random.nextInt(2) else null
                val operation = "op-${if (random.nextInt(8) == 0) random.nextInt(step + 1) else step}"
                val expected = uninterrupted.change(operation, change, base)
                expectThat(restarting.change(operation, change, base)).isEqualTo(expected)
                if (random.nextInt(10) == 0) {
                    restarting = ControlState(onConfiguration).also { it.restore(restarting.snapshot()) }
                }
            }
            expectThat(restarting.configuration).describedAs("seed $seed").isEqualTo(uninterrupted.configuration)
            expectThat(observedNumbers.zipWithNext().all { (earlier, later) -> earlier <= later })
                .describedAs("numbers never decrease with seed $seed")
                .isTrue()
            val numbers = uninterrupted.historyFrom(0).map { it.number }
            expectThat(numbers).isEqualTo((1..uninterrupted.configuration.number).toList())
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
    fun `a rollback restores an earlier configuration under a new number`() {
        val state = ControlState()
        state.change("a", zone("z1"))
        state.change("b", zone("z2"))
        expectThat(state.change("c", ConfigurationChange.RollbackTo(1))).isEqualTo(accepted(3))
        expectThat(state.configuration).isEqualTo(Configuration(number = 3, zonesOut = setOf(ZoneName("z1"))))
    }

    @Test
    fun `an intent is checked against the configuration in force at its position in the log`() {
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
        val reply = decodeControlReply(apply(0, ControlCommand.LedgerUpdate(command).encode()))
        return (reply as ControlReply.LedgerUpdated).reply
    }

    private data class InvalidChange(
        val name: String,
        val change: ConfigurationChange,
        val kind: ErrorKind,
    )

    private val pool = Pool(drafts, ServiceKind.Model, listOf(PoolMember(pen), PoolMember(penNext)))
    private val rollout = Rollout("r", drafts, pen, penNext, percent = 5, phase = RolloutPhase.Running)

    private val invalidChanges =
        listOf(
            InvalidChange(
                "a roll-out in a pool that does not exist",
                ConfigurationChange.SetRollout(rollout.copy(pool = PoolName("none"))),
                ErrorKind.NotFound,
            ),
            InvalidChange(
                "a roll-out to a version outside its pool",
                ConfigurationChange.SetRollout(rollout.copy(to = ModelVersion("pen", "3"))),
                ErrorKind.NotFound,
            ),
            InvalidChange(
                "a roll-out from a version outside its pool",
                ConfigurationChange.SetRollout(rollout.copy(from = ModelVersion("pen", "3"))),
                ErrorKind.NotFound,
            ),
            InvalidChange(
                "a percentage over 100",
                ConfigurationChange.SetRollout(rollout.copy(percent = 101)),
                ErrorKind.MalformedRequest,
            ),
            InvalidChange(
                "a phase change of a roll-out that does not exist",
                ConfigurationChange.AdvanceRollout("none", RolloutPhase.Running),
                ErrorKind.NotFound,
            ),
            InvalidChange(
                "a rollback to a number never in force",
                ConfigurationChange.RollbackTo(77),
                ErrorKind.NotFound,
            ),
        )

    @TestFactory
    fun `an invalid change is refused`(): List<DynamicTest> = invalidChanges.map { invalid ->
        dynamicTest(invalid.name) {
            val before = Configuration(number = 4, tables = Tables(pools = listOf(pool)))
            val after = before.after(invalid.change) { null }
            expectThat(after.getError()?.kind).isEqualTo(invalid.kind)
            expectThat(after.isOk).isFalse()
        }
    }
}
