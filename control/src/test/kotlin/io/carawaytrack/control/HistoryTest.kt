/*
 * Runs seeded random sequences of requests, retries, crashes, partitions and operators' changes against the real ledger
 * and control state. Entries and agents are simplified models that follow the rules of leases and admission. The
 * executions on upstreams are recorded and checked for violations at the end.
 */
package io.carawaytrack.control

import io.carawaytrack.ledger.LedgerCommand
import io.carawaytrack.ledger.LedgerReply
import io.carawaytrack.ledger.StoredAnswer
import io.carawaytrack.model.Bill
import io.carawaytrack.model.ChangeRequest
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ConfigurationChange
import io.carawaytrack.model.IN_FORCE_BOUND_MILLIS
import io.carawaytrack.model.LEASE_MILLIS
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.RequestId
import io.carawaytrack.model.SessionId
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.VersionState
import io.carawaytrack.model.ZoneName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import kotlin.random.Random

private const val SEED_COUNT = 300
private const val STEP_COUNT = 1_500
private const val MAX_STEP_MILLIS = 40
private const val TIMEOUT_MILLIS = 4_000L
private val market = OrganisationName("market")
private val versions = listOf(ModelVersion("pen", "1"), ModelVersion("pen", "2"))
private val zones = listOf(ZoneName("z1"), ZoneName("z2"))

/** Request that a caller sends and retries. */
private data class Call(
    val key: String,
    val session: SessionId?,
    val repeatable: Boolean,
)

private data class Attempt(
    val call: Call,
    val request: RequestId,
    val version: ModelVersion,
    val pinned: Boolean,
    val entry: Holder,
)

private data class UpstreamExecution(
    val attempt: Attempt,
    val upstream: UpstreamId,
    val zone: ZoneName,
    val atMillis: Long,
)

private class Grant(
    val configuration: Configuration,
    val sentAtMillis: Long,
)

/** Configuration and lease of an entry or agent. */
private class Holder(
    val name: String,
    val zone: ZoneName,
) {
    var configuration = Configuration()
    var leaseUntilMillis = 0L
    var partitioned = false
    var crashed = false
    val configurationNumbers = mutableListOf(0L)
    val grants = mutableListOf<Grant>()

    fun accept(grant: Grant) {
        if (grant.configuration.number > configuration.number) configuration = grant.configuration
        configurationNumbers += configuration.number
        leaseUntilMillis = maxOf(leaseUntilMillis, grant.sentAtMillis + LEASE_MILLIS)
    }
}

private class History(
    seed: Int,
) {
    val executions = mutableListOf<UpstreamExecution>()
    val forbiddenExecutions = mutableListOf<Pair<Long, (UpstreamExecution) -> Boolean>>()
    val state = ControlState()
    val holders = mutableListOf<Holder>()
    private val random = Random(seed)
    private val calls = List(60) { Call("k$it", if (it % 2 == 0) SessionId("s${it % 20}") else null, it % 3 == 0) }
    private val inFlight = mutableListOf<Pair<Attempt, Holder>>()
    private val running = mutableListOf<Pair<Attempt, Holder>>()
    val completed = mutableListOf<Attempt>()
    private var nowMillis = 0L
    private var nextId = 0
    private var entries = List(2) { holder("entry", zones[it]) }
    private var agents = List(4) { holder("agent", zones[it % 2]) }

    private fun holder(
        kind: String,
        zone: ZoneName,
    ) = Holder("$kind-${nextId++}", zone).also(holders::add)

    fun simulate(): History {
        repeat(STEP_COUNT) {
            nowMillis += random.nextInt(MAX_STEP_MILLIS)
            step()
        }
        // Delivers the last reports, each twice and in random order.
        (completed + completed).shuffled(random).forEach(::reportOutcome)
        return this
    }

    private fun step() = when (random.nextInt(40)) {
        in 0..8 -> heartbeat()
        in 9..15 -> grant()
        in 16..22 -> send(calls.random(random))
        in 23..28 -> removeRandom(inFlight)?.let(::startAttempt)
        in 29..33 -> removeRandom(running)?.let(::completeAttempt)
        in 34..35 -> if (completed.isNotEmpty()) reportOutcome(completed.random(random)) else Unit
        36 -> entries = replaceRandom(entries, "entry")
        37 -> agents = replaceRandom(agents, "agent")
        38 -> (entries + agents).random(random).let { it.partitioned = !it.partitioned }
        else -> if (random.nextInt(10) == 0) change() else Unit
    }

    private fun <T> removeRandom(from: MutableList<T>): T? =
        if (from.isEmpty()) null else from.removeAt(random.nextInt(from.size))

    private fun heartbeat() {
        val holder = (entries + agents).random(random)
        if (!holder.partitioned) {
            holder.grants += Grant(state.configuration, nowMillis - random.nextInt(MAX_STEP_MILLIS))
        }
    }

    private fun grant() {
        val holder = (entries + agents).random(random)
        removeRandom(holder.grants)?.let(holder::accept)
    }

    private fun send(call: Call) {
        val entry = entries.random(random)
        if (entry.leaseUntilMillis <= nowMillis) return
        val request = RequestId("r${nextId++}")
        val begin =
            LedgerCommand.Begin(
                organisation = market,
                request = request,
                key = call.key,
                session = call.session,
                version = versions.random(random),
                repeatable = call.repeatable,
                timeoutMillis = TIMEOUT_MILLIS,
                atMillis = nowMillis,
            )
        var reply = commit(begin)
        // The reply is lost: the entry retries its intent, or crashes and never receives the reply.
        if (random.nextInt(5) == 0) reply = commit(begin)
        if (random.nextInt(10) == 0 || reply !is LedgerReply.Started) return
        inFlight += Attempt(call, reply.request, reply.version, reply.pinned, entry) to agents.random(random)
    }

    private fun startAttempt(assignment: Pair<Attempt, Holder>) {
        val (attempt, agent) = assignment
        if (agent.crashed || random.nextInt(10) == 0) return
        if (!admits(agent, attempt)) return abandon(attempt)
        executions += UpstreamExecution(attempt, UpstreamId(agent.name), agent.zone, nowMillis)
        running += assignment
    }

    private fun admits(
        agent: Holder,
        attempt: Attempt,
    ): Boolean {
        val state = agent.configuration.stateOf(attempt.version)
        val allowed = state == VersionState.Serving || (state == VersionState.Draining && attempt.pinned)
        val inService = agent.configuration.inService(UpstreamId(agent.name), agent.zone)
        return agent.leaseUntilMillis > nowMillis && allowed && inService
    }

    private fun abandon(attempt: Attempt) {
        if (!attempt.entry.crashed) commit(LedgerCommand.Abandon(market, attempt.request))
    }

    private fun completeAttempt(assignment: Pair<Attempt, Holder>) {
        if (!assignment.second.crashed) completed += assignment.first
    }

    // Entry and agent both report the outcome, each with its own bill.
    private fun reportOutcome(attempt: Attempt) {
        val bill = Bill(attempt.request, market, listOf(attempt.version), 1, 1, random.nextDouble())
        val answer = StoredAnswer(200, null, ByteArray(0), attempt.version)
        commit(LedgerCommand.Finish(market, attempt.request, answer, bill, nowMillis))
    }

    private fun replaceRandom(
        group: List<Holder>,
        kind: String,
    ): List<Holder> {
        val crashedHolder = group.random(random).also { it.crashed = true }
        return group - crashedHolder + holder(kind, crashedHolder.zone)
    }

    private fun change() {
        val agent = agents.random(random)
        val atMillis = nowMillis + IN_FORCE_BOUND_MILLIS
        when (random.nextInt(3)) {
            0 -> takeZoneOut(zones.random(random), atMillis)
            1 -> {
                commit(ConfigurationChange.SetUpstream(UpstreamId(agent.name), inService = false))
                forbiddenExecutions += atMillis to { it.upstream.value == agent.name }
            }
            else -> withdraw(versions.random(random), atMillis)
        }
    }

    private fun takeZoneOut(
        zone: ZoneName,
        atMillis: Long,
    ) {
        if (state.configuration.zonesOut.isNotEmpty()) return
        commit(ConfigurationChange.SetZone(zone, inService = false))
        forbiddenExecutions += atMillis to { it.zone == zone }
    }

    private fun withdraw(
        version: ModelVersion,
        atMillis: Long,
    ) {
        if (state.configuration.versionStates.isNotEmpty()) return
        commit(ConfigurationChange.SetVersion(version, VersionState.Withdrawn))
        forbiddenExecutions += atMillis to { it.attempt.version == version }
    }

    private fun commit(change: ConfigurationChange) {
        val request = ChangeRequest("op-${nextId++}", change = change)
        repeat(random.nextInt(1, 3)) { state.apply(0, ControlCommand.Change(request, nowMillis).encode()) }
    }

    private fun commit(command: LedgerCommand): LedgerReply {
        val reply = decodeControlReply(state.apply(0, ControlCommand.LedgerUpdate(command).encode()))
        return (reply as ControlReply.LedgerUpdated).reply
    }
}

class HistoryTest {
    @Test
    fun `invariants hold in every sequence of requests, crashes, partitions and changes`() {
        val histories = (0 until SEED_COUNT).associateWith { History(it).simulate() }
        histories.forEach { (seed, history) ->
            expectThat(violations(history)).describedAs("violations with seed $seed").isEmpty()
        }
        val executions = histories.values.sumOf { it.executions.size }
        val bills =
            histories.values.sumOf {
                it.state.ledger
                    .bills(market)
                    .size
            }
        val changes = histories.values.sumOf { it.forbiddenExecutions.size }
        expectThat(minOf(executions, bills, changes)).isGreaterThan(SEED_COUNT)
        println(
            "seeds 0..${SEED_COUNT - 1}, $STEP_COUNT steps each: " +
                "$executions runs, $bills bills, $changes changes, no fault",
        )
    }

    private fun violations(history: History): List<String> = listOfNotNull(
        "executed twice".takeIf {
            history.executions.filterNot { it.attempt.call.repeatable }.hasDuplicates { it.attempt.call.key }
        },
        "billed twice".takeIf { hasDuplicateBill(history) },
        "completed but not billed".takeIf { hasUnbilledAttempt(history) },
        "session on two versions".takeIf { sessionChangedVersion(history) },
        "configuration number decreased".takeIf {
            history.holders.any { holder ->
                holder.configurationNumbers.zipWithNext().any { (earlier, later) -> later < earlier }
            }
        },
        "execution after the in-force bound".takeIf {
            history.forbiddenExecutions.any { (from, matches) ->
                history.executions.any { it.atMillis > from && matches(it) }
            }
        },
    )

    private fun hasUnbilledAttempt(history: History): Boolean {
        val billed =
            history.state.ledger
                .bills(market)
                .map { it.request }
        return history.completed.any { it.request !in billed }
    }

    private fun hasDuplicateBill(history: History): Boolean {
        val keyOf = history.executions.associate { it.attempt.request to it.attempt.call.key }
        return history.state.ledger
            .bills(market)
            .hasDuplicates { keyOf[it.request] }
    }

    private fun sessionChangedVersion(history: History): Boolean = history.executions
        .filter { it.attempt.call.session != null }
        .groupBy { it.attempt.call.session }
        .values
        .any { executions -> executions.distinctBy { it.attempt.version }.size > 1 }

    private fun <T> List<T>.hasDuplicates(by: (T) -> Any?): Boolean = distinctBy(by).size < size
}
