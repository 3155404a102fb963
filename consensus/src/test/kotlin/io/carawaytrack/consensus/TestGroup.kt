/*
 * Runs a group of replicas on one thread with a simulated network, simulated disks and a simulated clock, all derived
 * from one seed. After every step it checks the Raft invariants: at most one leader per term, one command per index,
 * and leader completeness.
 */
package io.carawaytrack.consensus

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.unwrap
import io.carawaytrack.model.Failure
import io.carawaytrack.model.NodeId
import io.carawaytrack.storage.FolderIdentity
import io.carawaytrack.storage.initialiseFolder
import io.carawaytrack.storage.openLogStore
import java.util.PriorityQueue
import kotlin.random.Random

internal val testSettings =
    ReplicaSettings(
        electionTimeoutMillis = 200,
        heartbeatMillis = 50,
        snapshotEveryEntries = 60,
        keptEntries = 10,
        snapshotChunkBytes = 300,
        promotionLagEntries = 4,
    )

/** Records the applied commands in order. */
internal class RecordingStateMachine(
    private val onApply: (Long, String) -> Unit,
) : StateMachine {
    var applied = listOf<String>()
        private set

    override fun apply(
        index: Long,
        command: ByteArray,
    ): ByteArray {
        onApply(index, String(command))
        applied = applied + String(command)
        return applied.size.toString().toByteArray()
    }

    override fun snapshot() = applied.joinToString("\n").toByteArray()

    override fun restore(snapshot: ByteArray) {
        applied = String(snapshot).lines().filter(String::isNotEmpty)
    }
}

/** A call and its outcome once it has completed. */
internal class Call {
    var outcome: Result<ByteArray, Failure>? = null
        private set
    val failure: Failure? get() = outcome?.let { if (it.isErr) it.error() else null }
    val succeeded: Boolean get() = outcome?.isOk == true

    fun complete(result: Result<ByteArray, Failure>) {
        check(outcome == null) { "expected a single outcome, got $outcome and then $result" }
        outcome = result
    }

    private fun Result<ByteArray, Failure>.error() = component2()
}

internal class Host(
    val node: NodeId,
    val initialMembers: List<NodeId>,
) {
    var disk = MemoryDisk()
    var driver: ReplicaDriver? = null
    var core: RaftCore? = null
    lateinit var stateMachine: RecordingStateMachine
    val pendingRequests = ArrayList<Request>()
    var paused = false

    /** Speed of the host's clock in percent; a leader with a slow clock takes long to notice that it lost contact. */
    var clockPercent = 100
    private var clockHundredths = 0L
    val clockMillis: Long get() = clockHundredths / 100

    fun advanceClock() {
        clockHundredths += clockPercent
    }
}

internal class TestGroup(
    seed: Int,
    size: Int = 3,
    private val settings: ReplicaSettings = testSettings,
) {
    private class InFlightMessage(
        val atMillis: Long,
        val number: Long,
        val from: NodeId,
        val to: NodeId,
        val payload: ByteArray,
    )

    val random = Random(seed)
    val hosts = LinkedHashMap<NodeId, Host>()
    val blockedLinks = HashSet<Pair<NodeId, NodeId>>()
    var nowMillis = 1_000L
        private set
    var maxDelayMillis = 3L
    var lossPercent = 0
    var duplicatePercent = 0
    var sendThrows = false
    var largestMessageBytes = 0
        private set
    private val network = PriorityQueue<InFlightMessage>(compareBy({ it.atMillis }, { it.number }))
    private var sent = 0L
    private var incarnations = 0L
    private val leaderOfTerm = HashMap<Long, NodeId>()
    private val commandAt = HashMap<Long, String>()

    init {
        val nodes = (1..size).map { NodeId("c$it") }
        nodes.forEach { add(it, nodes) }
    }

    fun add(
        node: NodeId,
        initialMembers: List<NodeId> = emptyList(),
    ): Host {
        val host = Host(node, initialMembers)
        hosts[node] = host
        initialise(host)
        start(host)
        return host
    }

    fun start(host: Host) {
        val opened = openLogStore(host.disk, "test", host.node, segmentBytes = 1_024).unwrap()
        host.stateMachine = RecordingStateMachine { index, command -> recordApplied(index, command) }
        val group = ReplicaGroup("test", host.node, host.initialMembers)
        val core = RaftCore(group, settings, opened.recovered, Random(random.nextInt()), host.clockMillis)
        val codec = MessageCodec("test", opened.recovered.identity.incarnation)
        val send = { to: NodeId, payload: ByteArray -> transmit(host.node, to, payload) }
        host.core = core
        host.driver =
            ReplicaDriver(core, opened.store, host.stateMachine, codec, send, { host.clockMillis }, onHalt = {})
    }

    fun crash(host: Host) {
        host.driver = null
        host.core = null
        host.pendingRequests.clear()
        host.disk.crash(random)
    }

    /** Restarts [host] with a disk that no longer fails. */
    fun restart(host: Host) {
        if (host.driver != null) crash(host)
        host.disk.failSync = false
        start(host)
    }

    /** Crashes [host] and replaces its disk by an empty one that is not initialised. */
    fun loseDisk(host: Host) {
        crash(host)
        host.disk = MemoryDisk()
    }

    fun initialise(host: Host) =
        initialiseFolder(host.disk, FolderIdentity("test", host.node, incarnation = ++incarnations)).unwrap()

    fun propose(
        host: Host,
        command: String,
    ) = call(host) { Request.Propose(command.toByteArray(), it) }

    fun confirm(host: Host) = call(host) { Request.Confirm(it) }

    fun change(
        host: Host,
        change: MemberChange,
    ) = call(host) { Request.ChangeMembers(change, it) }

    private fun call(
        host: Host,
        request: (ResultCallback) -> Request,
    ): Call {
        val call = Call()
        host.pendingRequests += request(call::complete)
        return call
    }

    fun block(
        from: Host,
        to: Host,
    ) {
        blockedLinks += from.node to to.node
    }

    fun isolate(host: Host) = (hosts.values - host).forEach { other -> block(host, other).also { block(other, host) } }

    fun heal() = blockedLinks.clear()

    fun leader(): Host? =
        hosts.values.filter { it.driver?.status?.leading == true }.maxByOrNull { it.driver!!.status.term }

    fun runUntil(
        expected: String,
        withinMillis: Long = 10_000,
        condition: () -> Boolean,
    ) {
        val deadline = nowMillis + withinMillis
        while (!condition()) {
            check(nowMillis < deadline) { "expected $expected, waited $withinMillis ms; ${describe()}" }
            run(millis = 1)
        }
    }

    fun run(millis: Long) = repeat(millis.toInt()) { runOneMillisecond() }

    fun electLeader(): Host {
        runUntil("a leader that confirms") { leader()?.let { confirmed(it) } == true }
        return leader()!!
    }

    /** Proposes each of [commands] to the current leader until it is acknowledged; may commit a command twice. */
    fun commit(commands: List<String>) = commands.forEach { command ->
        var call: Call? = null
        runUntil("$command committed") {
            if (call == null || call?.failure != null) call = leader()?.let { propose(it, command) }
            call?.succeeded == true
        }
    }

    fun runUntilAllApplied(
        commands: Collection<String>,
        on: Collection<Host> = hosts.values,
    ) = runUntil("all of ${commands.size} commands on ${on.map { it.node }}") {
        on.all { it.stateMachine.applied.containsAll(commands) }
    }

    private fun confirmed(host: Host): Boolean {
        val call = confirm(host)
        run(millis = 20)
        return call.succeeded
    }

    private fun runOneMillisecond() {
        nowMillis++
        hosts.values.forEach(Host::advanceClock)
        while (network.isNotEmpty() && network.peek().atMillis <= nowMillis) deliver(network.poll())
        hosts.values.filter { !it.paused }.forEach(::process)
        checkInvariants()
    }

    private fun process(host: Host) {
        val driver = host.driver ?: return
        val requests = host.pendingRequests.toList()
        host.pendingRequests.clear()
        val due = nowMillis % TICK_MILLIS == 0L
        if (due || requests.isNotEmpty()) driver.process(if (due) requests + Request.Tick else requests)
    }

    private fun transmit(
        from: NodeId,
        to: NodeId,
        payload: ByteArray,
    ) {
        check(!sendThrows) { "injected: send to $to" }
        largestMessageBytes = maxOf(largestMessageBytes, payload.size)
        if (random.nextInt(PERCENT) < lossPercent) return
        val copies = if (random.nextInt(PERCENT) < duplicatePercent) 2 else 1
        repeat(copies) {
            network += InFlightMessage(nowMillis + 1 + random.nextLong(maxDelayMillis), sent++, from, to, payload)
        }
    }

    private fun deliver(message: InFlightMessage) {
        if (message.from to message.to in blockedLinks) return
        val host = hosts[message.to] ?: return
        if (host.driver != null) host.pendingRequests += Request.Receive(message.from, message.payload)
    }

    private fun recordApplied(
        index: Long,
        command: String,
    ) {
        val first = commandAt.getOrPut(index) { command }
        check(first == command) { "expected $first to be applied at index $index, got $command" }
    }

    private fun checkInvariants() = hosts.values.forEach { host ->
        val status = host.driver?.status ?: return@forEach
        if (!status.leading) return@forEach
        val recorded = leaderOfTerm[status.term]
        check(recorded == null || recorded == host.node) {
            "expected $recorded as the only leader of term ${status.term}, got ${host.node}"
        }
        if (recorded == null) checkLeaderCompleteness(host)
        leaderOfTerm[status.term] = host.node
    }

    private fun checkLeaderCompleteness(host: Host) {
        val log = host.core!!.state.log
        commandAt.filterKeys { it > log.baseIndex }.forEach { (index, command) ->
            val found = if (index <= log.lastIndex) String(log.entry(index).payload) else "nothing"
            check(found == command) { "expected $command at index $index of new leader ${host.node}, got $found" }
        }
    }

    /** Checks the log matching property: logs with an entry of the same index and term are equal up to it. */
    fun checkLogsMatch() {
        val logs = hosts.values.mapNotNull { it.core?.state?.log }
        for (one in logs) {
            for (other in logs) {
                val first = maxOf(one.baseIndex, other.baseIndex) + 1
                val shared = (first..minOf(one.lastIndex, other.lastIndex)).toList()
                val agreed = shared.lastOrNull { one.termAt(it) == other.termAt(it) } ?: continue
                shared.filter { it <= agreed }.forEach { index ->
                    val equal = one.entry(index).payload.contentEquals(other.entry(index).payload)
                    check(equal && one.termAt(index) == other.termAt(index)) {
                        "expected equal entries at index $index, got different ones"
                    }
                }
            }
        }
    }

    private fun describe() = hosts.values.joinToString { it.driver?.status?.toString() ?: "${it.node} is down" }

    private companion object {
        const val TICK_MILLIS = 10L
        const val PERCENT = 100
    }
}
