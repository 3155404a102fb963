/*
 * Executes the effects of the core on the caller's thread: persists changes with one sync per batch, sends messages,
 * applies committed entries and completes pending calls. After the first disk failure the replica halts, and neither
 * votes nor acknowledges anything from then on.
 */
package io.carawaytrack.consensus

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.onFailure
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.notRun
import io.carawaytrack.storage.LogEntry
import io.carawaytrack.storage.LogStore
import io.carawaytrack.storage.StorageFailure
import java.util.TreeMap

/** Receives the result of a call. */
internal typealias ResultCallback = (Result<ByteArray, Failure>) -> Unit

/** A request to the driver. */
internal sealed interface Request {
    /** Reports [failure] to the caller, if the request has one; the request was not executed. */
    fun refuse(failure: Failure) = Unit

    data object Tick : Request

    class Receive(
        val from: NodeId,
        val payload: ByteArray,
    ) : Request

    class Propose(
        val command: ByteArray,
        val callback: ResultCallback,
    ) : Request {
        override fun refuse(failure: Failure) = callback(Err(failure))
    }

    class Confirm(
        val callback: ResultCallback,
    ) : Request {
        override fun refuse(failure: Failure) = callback(Err(failure))
    }

    class ChangeMembers(
        val change: MemberChange,
        val callback: ResultCallback,
    ) : Request {
        override fun refuse(failure: Failure) = callback(Err(failure))
    }
}

internal class ReplicaDriver(
    private val core: RaftCore,
    private val store: LogStore,
    private val stateMachine: StateMachine,
    private val codec: MessageCodec,
    private val send: (NodeId, ByteArray) -> Unit,
    private val nowMillis: () -> Long,
    private val onHalt: (Failure) -> Unit,
) {
    private class PendingCall(
        val term: Long,
        val callback: ResultCallback,
    )

    private val state = core.state
    private val calls = HashMap<CallId, ResultCallback>()
    private val pendingCalls = TreeMap<Long, PendingCall>()
    private var lastCall: CallId = 0
    private var appliedIndex = 0L
    private var snapshotIndex = 0L
    private var bytesSinceSnapshot = 0L
    private var haltReason: ErrorKind? = null

    @Volatile
    var status: ReplicaStatus = currentStatus()
        private set

    init {
        state.log.snapshot?.let { restore(it.index, it.state) }
        status = currentStatus()
    }

    /** Processes [requests] as one batch with a single sync. */
    fun process(requests: List<Request>) {
        haltReason?.let { kind -> return requests.forEach { it.refuse(kind.notRun()) } }
        execute(core.step(requests.mapNotNull(::inputOf), nowMillis()))
        status = currentStatus()
    }

    /** Stops permanently; calls whose entries are in the log may still be executed through other replicas. */
    fun close(
        kind: ErrorKind,
        detail: String,
    ) {
        halt(kind, detail)
        store.close()
    }

    private fun inputOf(request: Request): Input? = when (request) {
        is Request.Tick -> Input.Tick
        is Request.Receive ->
            codec.decode(request.payload)?.let { Input.Received(request.from, it.incarnation, it.message) }
        is Request.Propose -> Input.Propose(newCall(request.callback), request.command)
        is Request.Confirm -> Input.Confirm(newCall(request.callback))
        is Request.ChangeMembers -> Input.ChangeMembers(newCall(request.callback), request.change)
    }

    private fun newCall(callback: ResultCallback): CallId = (++lastCall).also { calls[it] = callback }

    private tailrec fun execute(effects: Effects) {
        // Registered before any message is sent, so that no call is reported as not run after its entry was sent.
        effects.accepted.forEach {
            pendingCalls[it.index] = PendingCall(it.term, calls.remove(it.call) ?: return@forEach)
        }
        effects.beforePersist.forEach(::transmit)
        persist(effects).onFailure { return halt(ErrorKind.StorageFailed, it.detail) }
        effects.afterPersist.forEach(::transmit)
        effects.install?.let { restore(it.index, it.state) }
        effects.committed.forEach(::apply)
        effects.confirmed.forEach { calls.remove(it)?.invoke(Ok(ByteArray(0))) }
        effects.refused.forEach { calls.remove(it.call)?.invoke(Err(it.failure)) }
        if (effects.lostLeadership) {
            failPendingCalls(ErrorKind.ControlUnavailable, "leadership was lost while the call was in progress")
        }
        val inputs = followUpInputs(effects)
        if (inputs.isNotEmpty()) execute(core.step(inputs, nowMillis()))
    }

    private fun followUpInputs(effects: Effects): List<Input> {
        val inputs = ArrayList<Input>()
        effects.append.lastOrNull()?.let { inputs += Input.Persisted(it.index) }
        if (snapshotIsDue()) {
            snapshotIndex = appliedIndex
            bytesSinceSnapshot = 0
            inputs += Input.SnapshotTaken(appliedIndex, stateMachine.snapshot())
        }
        return inputs
    }

    private fun snapshotIsDue() = appliedIndex - snapshotIndex >= state.settings.snapshotEveryEntries ||
        bytesSinceSnapshot >= state.settings.snapshotEveryBytes

    private fun persist(effects: Effects): Result<Unit, StorageFailure> = ifSet(effects.termVote) { store.saveTerm(it) }
        .andThen { ifSet(effects.install) { store.installSnapshot(it) } }
        .andThen { ifSet(effects.taken) { store.saveSnapshot(it.snapshot, it.firstKeptIndex) } }
        .andThen { store.append(effects.append) }

    private inline fun <T : Any> ifSet(
        value: T?,
        save: (T) -> Result<Unit, StorageFailure>,
    ): Result<Unit, StorageFailure> = if (value == null) Ok(Unit) else save(value)

    private fun transmit(outgoing: Outgoing) = send(outgoing.to, codec.encode(outgoing.message))

    private fun apply(entry: LogEntry) {
        val command = entry.kind == EntryKind.COMMAND
        val reply = if (command) stateMachine.apply(entry.index, entry.payload) else ByteArray(0)
        appliedIndex = entry.index
        bytesSinceSnapshot += entry.payload.size
        val pending = pendingCalls.remove(entry.index) ?: return
        pending.callback(if (pending.term == entry.term) Ok(reply) else Err(mayHaveRun(ErrorKind.ControlUnavailable)))
    }

    private fun restore(
        index: Long,
        snapshot: ByteArray,
    ) {
        stateMachine.restore(snapshot)
        appliedIndex = index
        snapshotIndex = index
        bytesSinceSnapshot = 0
    }

    private fun halt(
        kind: ErrorKind,
        detail: String,
    ) {
        if (haltReason != null) return
        haltReason = kind
        state.leader = null
        failPendingCalls(kind, detail)
        calls.values.forEach { it(Err(kind.notRun(detail))) }
        calls.clear()
        status = currentStatus()
        onHalt(kind.notRun(detail))
    }

    private fun failPendingCalls(
        kind: ErrorKind,
        detail: String,
    ) {
        pendingCalls.values.forEach { it.callback(Err(mayHaveRun(kind, detail))) }
        pendingCalls.clear()
    }

    private fun mayHaveRun(
        kind: ErrorKind,
        detail: String = kind.explanation,
    ) = Failure(kind, Execution.MayHaveRun, detail)

    private fun currentStatus() = ReplicaStatus(
        node = state.node,
        leader = state.leader,
        term = state.term,
        commitIndex = state.commitIndex,
        appliedIndex = appliedIndex,
        members = core.memberStatuses(),
        membersCommitted = state.log.membersIndex <= state.commitIndex,
    )
}
