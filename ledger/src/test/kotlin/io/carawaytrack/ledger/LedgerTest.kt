/*
 * The ledger's rules as scenarios: each step is a command and the reply that it must get. Every scenario runs twice,
 * the second time with a restart from a snapshot before each step.
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
private const val SEEDS = 300

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

private fun Step.whileStates(vararg states: Pair<ModelVersion, VersionState>) = Step(command, reply, states.toMap())

private val first = LedgerReply.Done(first = true)
private val again = LedgerReply.Done(first = false)
private val running = LedgerReply.InProgress(RequestId("r1"))
private val unknown = LedgerReply.OutcomeUnknown(RequestId("r1"))
private val repeated = LedgerReply.Replayed(RequestId("r1"), answer)
private val draining = old to VersionState.Draining
private val withdrawn = old to VersionState.Withdrawn

class LedgerTest {
    private val scenarios =
        listOf(
            Scenario(
                "a resend finds the request running, then unknown, then its answer",
                begin("r1") gets started("r1"),
                begin("r2", atMillis = TIMEOUT_MILLIS - 1) gets running,
                begin("r2", atMillis = TIMEOUT_MILLIS) gets unknown,
                finish("r1") gets first,
                begin("r3", atMillis = 2 * TIMEOUT_MILLIS) gets repeated,
            ),
            Scenario(
                "a request that ended without a kept answer is not run again",
                begin("r1") gets started("r1"),
                finish("r1", stored = null) gets first,
                begin("r2") gets unknown,
            ),
            Scenario(
                "the first outcome stands",
                begin("r1") gets started("r1"),
                finish("r1") gets first,
                finish("r1", stored = null) gets again,
                begin("r2") gets repeated,
            ),
            Scenario(
                "an intent whose reply was lost is sent again",
                begin("r1") gets started("r1"),
                begin("r1") gets started("r1"),
                begin("r2") gets running,
            ),
            Scenario(
                "a key does not pass from one request to another",
                begin("r1") gets started("r1"),
                begin("r2", digest = 2) gets LedgerReply.Conflicting,
                finish("r1") gets first,
                begin("r3", digest = 2) gets LedgerReply.Conflicting,
            ),
            Scenario(
                "a key does not pass from one session to another",
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
                "an abandoned request may be sent again, and a late copy of the order changes nothing",
                begin("r1") gets started("r1"),
                abandon("r1") gets first,
                begin("r2") gets started("r2"),
                abandon("r1") gets again,
                begin("r3") gets LedgerReply.InProgress(RequestId("r2")),
            ),
            Scenario(
                "a request that has ended cannot be abandoned",
                begin("r1") gets started("r1"),
                finish("r1") gets first,
                abandon("r1") gets again,
                begin("r2") gets repeated,
            ),
            Scenario(
                "an entry that ran nothing does not abandon the run of another",
                begin("r1", repeatable = true) gets started("r1"),
                begin("r2", repeatable = true) gets started("r1"),
                abandon("r1") gets again,
                finish("r1") gets first,
                begin("r3", repeatable = true) gets repeated,
            ),
            Scenario(
                "of two first requests of a session one fixes the version",
                begin("r1", key = null, session = "s", version = new) gets started("r1", new, true),
                begin("r2", key = null, session = "s", version = old) gets started("r2", new, true),
            ),
            Scenario(
                "a session keeps a draining version, and no other work gets it",
                begin("r1", key = null, session = "s") gets started("r1", pinned = true),
                (begin("r2", key = null, session = "s", version = new) gets started("r2", pinned = true))
                    .whileStates(draining),
                (begin("r3", key = null, session = "t") gets LedgerReply.VersionUnavailable).whileStates(draining),
                (begin("r4", key = null) gets LedgerReply.VersionUnavailable).whileStates(draining),
            ),
            Scenario(
                "a withdrawn version gets no intent",
                begin("r1", session = "s", repeatable = true) gets started("r1", pinned = true),
                (begin("r2", key = null, session = "s") gets LedgerReply.VersionUnavailable).whileStates(withdrawn),
                (begin("r3", key = null) gets LedgerReply.VersionUnavailable).whileStates(withdrawn),
                (
                    begin(
                        "r4",
                        session = "s",
                        repeatable = true,
                    ) gets LedgerReply.VersionUnavailable
                ).whileStates(withdrawn),
                (begin("r5", key = null, version = new) gets started("r5", new)).whileStates(withdrawn),
            ),
            Scenario(
                "a repeatable request runs again under its first identity",
                begin("r1", repeatable = true) gets started("r1"),
                begin("r2", repeatable = true, version = new) gets started("r1"),
            ),
            Scenario(
                "records end with their age",
                begin("r1") gets started("r1"),
                LedgerCommand.Expire(market, beforeMillis = 0) gets first,
                begin("r2", atMillis = 1) gets running,
                LedgerCommand.Expire(market, beforeMillis = 1) gets first,
                begin("r3", atMillis = 1) gets started("r3"),
            ),
        )

    @TestFactory
    fun `every command gets the reply that the requests before it allow`(): List<DynamicTest> =
        scenarios.flatMap { scenario ->
            listOf(false, true).map { restarts ->
                dynamicTest(if (restarts) "${scenario.name}, over restarts" else scenario.name) {
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
    fun `a request is billed once, whoever reports its end first and however often`() {
        repeat(SEEDS) { seed ->
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
