/*
 * Tests the ledger with scenarios, in which each step is a command and its expected reply. Every scenario runs twice,
 * the second time with the ledger restored from a snapshot before each step.
 */
package io.carawaytrack.ledger

import io.carawaytrack.model.Bill
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.RequestId
import io.carawaytrack.model.SessionId
import io.carawaytrack.model.VersionState
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

private const val TIMEOUT_MILLIS = 1_000L
private const val SEED_COUNT = 300

private val market = OrganisationName("market")
private val stalls = OrganisationName("stalls")
private val old = ModelVersion("pen", "1")
private val new = ModelVersion("pen", "2")
private val answer = StoredAnswer(200, "text/plain", "letter".encodeToByteArray(), old)

private class Step(
    val command: LedgerCommand,
    val reply: LedgerReply,
    val states: Map<ModelVersion, VersionState> = emptyMap(),
)

private class Scenario(
    val name: String,
    vararg val steps: Step,
)

private fun begin(
    request: String,
    key: String? = "k",
    digest: Long = 1,
    session: String? = null,
    version: ModelVersion = old,
    repeatable: Boolean = false,
    atMillis: Long = 0,
    organisation: OrganisationName = market,
) = LedgerCommand.Begin(
    organisation,
    RequestId(request),
    key,
    digest,
    session?.let(::SessionId),
    version,
    repeatable,
    TIMEOUT_MILLIS,
    atMillis,
)

private fun bill(
    request: String,
    cost: Double,
) = Bill(RequestId(request), market, listOf(old), 1, 1, cost)

private fun finish(
    request: String,
    stored: StoredAnswer? = answer,
    bill: Bill? = bill(request, 1.0),
) = LedgerCommand.Finish(market, RequestId(request), stored, bill, 0)

private fun abandon(request: String) = LedgerCommand.Abandon(market, RequestId(request))

private fun started(
    request: String,
    version: ModelVersion = old,
    pinned: Boolean = false,
) = LedgerReply.Started(RequestId(request), version, pinned)

private infix fun LedgerCommand.gets(reply: LedgerReply) = Step(this, reply)

private fun Step.withStates(vararg states: Pair<ModelVersion, VersionState>) = Step(command, reply, states.toMap())

private val applied = LedgerReply.Done(first = true)
private val notApplied = LedgerReply.Done(first = false)
private val running = LedgerReply.InProgress(RequestId("r1"))
private val unknown = LedgerReply.OutcomeUnknown(RequestId("r1"))
private val replayed = LedgerReply.Replayed(RequestId("r1"), answer)
private val draining = old to VersionState.Draining
private val withdrawn = old to VersionState.Withdrawn

class LedgerTest {
    private val scenarios =
        listOf(
            Scenario(
                "a retry gets in progress, then an unknown outcome, then the stored answer",
                begin("r1") gets started("r1"),
                begin("r2", atMillis = TIMEOUT_MILLIS - 1) gets running,
                begin("r2", atMillis = TIMEOUT_MILLIS) gets unknown,
                finish("r1") gets applied,
                begin("r3", atMillis = 2 * TIMEOUT_MILLIS) gets replayed,
            ),
            Scenario(
                "a request that finished without a stored answer is not run again",
                begin("r1") gets started("r1"),
                finish("r1", stored = null) gets applied,
                begin("r2") gets unknown,
            ),
            Scenario(
                "only the first outcome of a request is recorded",
                begin("r1") gets started("r1"),
                finish("r1") gets applied,
                finish("r1", stored = null) gets notApplied,
                begin("r2") gets replayed,
            ),
            Scenario(
                "an intent whose reply was lost may be retried",
                begin("r1") gets started("r1"),
                begin("r1") gets started("r1"),
                begin("r2") gets running,
            ),
            Scenario(
                "a key can't be reused for a different request",
                begin("r1") gets started("r1"),
                begin("r2", digest = 2) gets LedgerReply.Conflicting,
                finish("r1") gets applied,
                begin("r3", digest = 2) gets LedgerReply.Conflicting,
            ),
            Scenario(
                "a key can't be reused in a different session",
                begin("r1", session = "s1", repeatable = true) gets started("r1", pinned = true),
                begin("r2", session = "s2", repeatable = true) gets LedgerReply.Conflicting,
                begin("r3", repeatable = true) gets LedgerReply.Conflicting,
            ),
            Scenario(
                "organisations share neither keys nor sessions",
                begin("r1", session = "s") gets started("r1", pinned = true),
                begin("r2", session = "s", version = new, organisation = stalls) gets started("r2", new, true),
            ),
            Scenario(
                "an abandoned request may be retried, and a delayed duplicate of the command changes nothing",
                begin("r1") gets started("r1"),
                abandon("r1") gets applied,
                begin("r2") gets started("r2"),
                abandon("r1") gets notApplied,
                begin("r3") gets LedgerReply.InProgress(RequestId("r2")),
            ),
            Scenario(
                "a finished request can't be abandoned",
                begin("r1") gets started("r1"),
                finish("r1") gets applied,
                abandon("r1") gets notApplied,
                begin("r2") gets replayed,
            ),
            Scenario(
                "an entry can't abandon a request that another entry was also allowed to run",
                begin("r1", repeatable = true) gets started("r1"),
                begin("r2", repeatable = true) gets started("r1"),
                abandon("r1") gets notApplied,
                finish("r1") gets applied,
                begin("r3", repeatable = true) gets replayed,
            ),
            Scenario(
                "two first requests of a session are pinned to the same version",
                begin("r1", key = null, session = "s", version = new) gets started("r1", new, true),
                begin("r2", key = null, session = "s", version = old) gets started("r2", new, true),
            ),
            Scenario(
                "a session stays pinned to a draining version, which accepts no other work",
                begin("r1", key = null, session = "s") gets started("r1", pinned = true),
                (begin("r2", key = null, session = "s", version = new) gets started("r2", pinned = true))
                    .withStates(draining),
                (begin("r3", key = null, session = "t") gets LedgerReply.VersionUnavailable).withStates(draining),
                (begin("r4", key = null) gets LedgerReply.VersionUnavailable).withStates(draining),
            ),
            Scenario(
                "a withdrawn version accepts no intent",
                begin("r1", session = "s", repeatable = true) gets started("r1", pinned = true),
                (begin("r2", key = null, session = "s") gets LedgerReply.VersionUnavailable).withStates(withdrawn),
                (begin("r3", key = null) gets LedgerReply.VersionUnavailable).withStates(withdrawn),
                (
                    begin(
                        "r4",
                        session = "s",
                        repeatable = true,
                    ) gets LedgerReply.VersionUnavailable
                ).withStates(withdrawn),
                (begin("r5", key = null, version = new) gets started("r5", new)).withStates(withdrawn),
            ),
            Scenario(
                "a retry of a repeatable request runs under the first request identifier",
                begin("r1", repeatable = true) gets started("r1"),
                begin("r2", repeatable = true, version = new) gets started("r1"),
            ),
            Scenario(
                "expired records are deleted",
                begin("r1") gets started("r1"),
                LedgerCommand.Expire(market, beforeMillis = 0) gets applied,
                begin("r2", atMillis = 1) gets running,
                LedgerCommand.Expire(market, beforeMillis = 1) gets applied,
                begin("r3", atMillis = 1) gets started("r3"),
            ),
        )

    @TestFactory
    fun `every command gets its expected reply`(): List<DynamicTest> = scenarios.flatMap { scenario ->
        listOf(false, true).map { restarts ->
            dynamicTest(if (restarts) "${scenario.name}, with restarts" else scenario.name) {
                replay(scenario, restarts)
            }
        }
    }

    private fun replay(
        scenario: Scenario,
        restarts: Boolean,
    ) {
        var ledger = Ledger()
        scenario.steps.forEachIndexed { number, step ->
            if (restarts) ledger = Ledger().also { it.restore(ledger.snapshot()) }
            val reply = ledger.apply(step.command) { step.states[it] ?: VersionState.Serving }
            expectThat(reply).describedAs("reply to step $number").isEqualTo(step.reply)
        }
    }

    @Test
    fun `a request is billed once, regardless of the order and number of outcome reports`() {
        repeat(SEED_COUNT) { seed ->
            val random = Random(seed)
            val reports = listOf(finish("r1", bill = bill("r1", 1.0)), finish("r1", bill = bill("r1", 2.0)))
            val order = List(random.nextInt(2, 8)) { reports.random(random) }
            val ledger = Ledger()
            if (random.nextBoolean()) ledger.apply(begin("r1")) { VersionState.Serving }
            order.forEach { ledger.apply(it) { VersionState.Serving } }
            expectThat(
                ledger.bills(market),
            ).describedAs("bills under seed $seed").isEqualTo(listOfNotNull(order.first().bill))
        }
    }
}
