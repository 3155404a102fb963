/*
 * Many seeded orders of requests, resends, deaths, cuts and operators' changes against the real ledger and control
 * state. Entries and agents are small models that keep the rules of their leases and gates; what the upstreams ran is
 * recorded and judged at the end.
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

private const val SEEDS = 300
private const val STEPS = 1_500
private const val LONGEST_STEP_MILLIS = 40
private const val TIMEOUT_MILLIS = 4_000L
private val market = OrganisationName("market")
private val versions = listOf(ModelVersion("pen", "1"), ModelVersion("pen", "2"))
private val zones = listOf(ZoneName("z1"), ZoneName("z2"))

/** What a caller sends, again and again. */
private data class Call(
    val key: String,
    val session: SessionId?,
    val repeatable: Boolean,
)

private data class Order(
    val call: Call,
    val request: RequestId,
    val version: ModelVersion,
    val pinned: Boolean,
    val entry: Holder,
)

private data class Run(
    val order: Order,
    val upstream: UpstreamId,
    val zone: ZoneName,
    val atMillis: Long,
)

private class Grant(
    val configuration: Configuration,
    val sentAtMillis: Long,
)

/** What an entry or an agent holds of the configuration and its lease. */
private class Holder(
    val name: String,
    val zone: ZoneName,
) {
    var configuration = Configuration()
    var leaseUntilMillis = 0L
    var cut = false
    var dead = false
    val numbers = mutableListOf(0L)
    val grants = mutableListOf<Grant>()

    fun accept(grant: Grant) {
        if (grant.configuration.number > configuration.number) configuration = grant.configuration
        numbers += configuration.number
        leaseUntilMillis = maxOf(leaseUntilMillis, grant.sentAtMillis + LEASE_MILLIS)
    }
}

private class History(
    seed: Int,
) {
    val runs = mutableListOf<Run>()
    val forbidden = mutableListOf<Pair<Long, (Run) -> Boolean>>()
    val state = ControlState()
    val holders = mutableListOf<Holder>()
    private val random = Random(seed)
    private val calls = List(60) { Call("k$it", if (it % 2 == 0) SessionId("s${it % 20}") else null, it % 3 == 0) }
    private val underWay = mutableListOf<Pair<Order, Holder>>()
    private val running = mutableListOf<Pair<Order, Holder>>()
    val answered = mutableListOf<Order>()
    private var nowMillis = 0L
    private var numbers = 0
    private var entries = List(2) { holder("entry", zones[it]) }
    private var agents = List(4) { holder("agent", zones[it % 2]) }

    private fun holder(
        kind: String,
        zone: ZoneName,
    ) = Holder("$kind-${numbers++}", zone).also(holders::add)

    fun play(): History {
        repeat(STEPS) {
            nowMillis += random.nextInt(LONGEST_STEP_MILLIS)
            step()
        }
        // The last reports arrive, each twice and in any order.
        (answered + answered).shuffled(random).forEach(::settle)
        return this
    }

    private fun step() = when (random.nextInt(40)) {
        in 0..8 -> heartbeat()
        in 9..15 -> grant()
        in 16..22 -> send(calls.random(random))
        in 23..28 -> take(underWay)?.let(::arrive)
        in 29..33 -> take(running)?.let(::complete)
        in 34..35 -> if (answered.isNotEmpty()) settle(answered.random(random)) else Unit
        36 -> entries = replaced(entries, "entry")
        37 -> agents = replaced(agents, "agent")
        38 -> (entries + agents).random(random).let { it.cut = !it.cut }
        else -> if (random.nextInt(10) == 0) change() else Unit
    }

    private fun <T> take(from: MutableList<T>): T? =
        if (from.isEmpty()) null else from.removeAt(random.nextInt(from.size))

    private fun heartbeat() {
        val holder = (entries + agents).random(random)
        if (!holder.cut) holder.grants += Grant(state.configuration, nowMillis - random.nextInt(LONGEST_STEP_MILLIS))
    }

    private fun grant() {
        val holder = (entries + agents).random(random)
        take(holder.grants)?.let(holder::accept)
    }

    private fun send(call: Call) {
        val entry = entries.random(random)
        if (entry.leaseUntilMillis <= nowMillis) return
        val request = RequestId("r${numbers++}")
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
        // A lost reply: the entry sends its intent again, or dies with it.
        if (random.nextInt(5) == 0) reply = commit(begin)
        if (random.nextInt(10) == 0 || reply !is LedgerReply.Started) return
        underWay += Order(call, reply.request, reply.version, reply.pinned, entry) to agents.random(random)
    }

    private fun arrive(message: Pair<Order, Holder>) {
        val (order, agent) = message
        if (agent.dead || random.nextInt(10) == 0) return
        if (!admits(agent, order)) return refused(order)
        runs += Run(order, UpstreamId(agent.name), agent.zone, nowMillis)
        running += message
    }

    private fun admits(
        agent: Holder,
        order: Order,
    ): Boolean {
        val state = agent.configuration.stateOf(order.version)
        val allowed = state == VersionState.Serving || (state == VersionState.Draining && order.pinned)
        val inService = agent.configuration.inService(UpstreamId(agent.name), agent.zone)
        return agent.leaseUntilMillis > nowMillis && allowed && inService
    }

    private fun refused(order: Order) {
        if (!order.entry.dead) commit(LedgerCommand.Abandon(market, order.request))
    }

    private fun complete(message: Pair<Order, Holder>) {
        if (!message.second.dead) answered += message.first
    }

    // Entry and agent both report an end, each with its own idea of the bill.
    private fun settle(order: Order) {
        val bill = Bill(order.request, market, listOf(order.version), 1, 1, random.nextDouble())
        val answer = StoredAnswer(200, null, ByteArray(0), order.version)
        commit(LedgerCommand.Finish(market, order.request, answer, bill, nowMillis))
    }

    private fun replaced(
        group: List<Holder>,
        kind: String,
    ): List<Holder> {
        val victim = group.random(random).also { it.dead = true }
        return group - victim + holder(kind, victim.zone)
    }

    private fun change() {
        val agent = agents.random(random)
        val atMillis = nowMillis + IN_FORCE_BOUND_MILLIS
        when (random.nextInt(3)) {
            0 -> zoneOut(zones.random(random), atMillis)
            1 -> {
                commit(ConfigurationChange.SetUpstream(UpstreamId(agent.name), inService = false))
                forbidden += atMillis to { it.upstream.value == agent.name }
            }
            else -> withdraw(versions.random(random), atMillis)
        }
    }

    private fun zoneOut(
        zone: ZoneName,
        atMillis: Long,
    ) {
        if (state.configuration.zonesOut.isNotEmpty()) return
        commit(ConfigurationChange.SetZone(zone, inService = false))
        forbidden += atMillis to { it.zone == zone }
    }

    private fun withdraw(
        version: ModelVersion,
        atMillis: Long,
    ) {
        if (state.configuration.versionStates.isNotEmpty()) return
        commit(ConfigurationChange.SetVersion(version, VersionState.Withdrawn))
        forbidden += atMillis to { it.order.version == version }
    }

    private fun commit(change: ConfigurationChange) {
        val request = ChangeRequest("op-${numbers++}", change = change)
        repeat(random.nextInt(1, 3)) { state.apply(0, ControlCommand.Change(request, nowMillis).encode()) }
    }

    private fun commit(command: LedgerCommand): LedgerReply {
        val reply = decodeControlReply(state.apply(0, ControlCommand.Record(command).encode()))
        return (reply as ControlReply.Recorded).reply
    }
}

class HistoryTest {
    @Test
    fun `what must always hold holds in every order of requests, deaths, cuts and changes`() {
        val histories = (0 until SEEDS).associateWith { History(it).play() }
        histories.forEach { (seed, history) ->
            expectThat(faults(history)).describedAs("faults under seed $seed").isEmpty()
        }
        val runs = histories.values.sumOf { it.runs.size }
        val bills =
            histories.values.sumOf {
                it.state.ledger
                    .bills(market)
                    .size
            }
        val changes = histories.values.sumOf { it.forbidden.size }
        expectThat(minOf(runs, bills, changes)).isGreaterThan(SEEDS)
        println("seeds 0..${SEEDS - 1}, $STEPS steps each: $runs runs, $bills bills, $changes changes, no fault")
    }

    private fun faults(history: History): List<String> = listOfNotNull(
        "ran twice".takeIf { history.runs.filterNot { it.order.call.repeatable }.repeats { it.order.call.key } },
        "billed twice".takeIf { billedTwice(history) },
        "answered, not billed".takeIf { unbilled(history) },
        "session on two versions".takeIf { sessionMoved(history) },
        "configuration went back".takeIf {
            history.holders.any { holder -> holder.numbers.zipWithNext().any { (earlier, later) -> later < earlier } }
        },
        "new work after the bound".takeIf {
            history.forbidden.any { (from, matches) -> history.runs.any { it.atMillis > from && matches(it) } }
        },
    )

    private fun unbilled(history: History): Boolean {
        val billed =
            history.state.ledger
                .bills(market)
                .map { it.request }
        return history.answered.any { it.request !in billed }
    }

    private fun billedTwice(history: History): Boolean {
        val keyOf = history.runs.associate { it.order.request to it.order.call.key }
        return history.state.ledger
            .bills(market)
            .repeats { keyOf[it.request] }
    }

    private fun sessionMoved(history: History): Boolean = history.runs
        .filter { it.order.call.session != null }
        .groupBy { it.order.call.session }
        .values
        .any { runs -> runs.distinctBy { it.order.version }.size > 1 }

    private fun <T> List<T>.repeats(by: (T) -> Any?): Boolean = distinctBy(by).size < size
}
