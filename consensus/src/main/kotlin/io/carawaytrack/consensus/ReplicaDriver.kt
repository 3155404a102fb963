/*
 * Carries out what the core asks for, on the caller's thread: makes its effects durable with one sync a turn, sends
 * messages, applies committed entries and answers the calls that wait for them. After the first refusal by the disk it
 * neither votes nor acknowledges anything any more.
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

/** Takes the outcome of a call. */
internal typealias Answer = (Result<ByteArray, Failure>) -> Unit

/** Asks the driver for one thing. */
internal sealed interface Request {
    /** Answers the request, if it wants an answer, that it was not carried out. */
    fun refuse(failure: Failure) = Unit

    data object Tick : Request

    class Receive(
        val from: NodeId,
        val payload: ByteArray,
    ) : Request

    class Propose(
        val command: ByteArray,
        val answer: Answer,
    ) : Request {
        override fun refuse(failure: Failure) = answer(Err(failure))
    }

    class Confirm(
        val answer: Answer,
    ) : Request {
        override fun refuse(failure: Failure) = answer(Err(failure))
    }

    class ChangeMembers(
        val change: MemberChange,
        val answer: Answer,
    ) : Request {
        override fun refuse(failure: Failure) = answer(Err(failure))
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
    private class Waiting(
        val term: Long,
        val answer: Answer,
    )

    private val state = core.state
    private val calls = HashMap<CallId, Answer>()
    private val waiting = TreeMap<Long, Waiting>()
    private var lastCall: CallId = 0
    private var appliedIndex = 0L
    private var snapshotIndex = 0L
    private var bytesSinceSnapshot = 0L
    private var halted: ErrorKind? = null

    @Volatile
    var status: ReplicaStatus = currentStatus()
        private set

    init {
        state.log.snapshot?.let { restore(it.index, it.state) }
        status = currentStatus()
    }

    /** Carries out [requests] with one sync. */
    fun turn(requests: List<Request>) {
        halted?.let { kind -> return requests.forEach { it.refuse(kind.notRun()) } }
        carryOut(core.step(requests.mapNotNull(::inputOf), nowMillis()))
        status = currentStatus()
    }

    /** Stops for good; calls whose entries are in the log may still take effect through other replicas. */
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
        is Request.Propose -> Input.Propose(newCall(request.answer), request.command)
        is Request.Confirm -> Input.Confirm(newCall(request.answer))
        is Request.ChangeMembers -> Input.ChangeMembers(newCall(request.answer), request.change)
    }

    private fun newCall(answer: Answer): CallId = (++lastCall).also { calls[it] = answer }

    private tailrec fun carryOut(effects: Effects) {
        // Before anything leaves, so that a call whose entry may have left is never said not to have run.
        effects.accepted.forEach { waiting[it.index] = Waiting(it.term, calls.remove(it.call) ?: return@forEach) }
        effects.early.forEach(::transmit)
        persist(effects).onFailure { return halt(ErrorKind.StorageFailed, it.detail) }
        effects.late.forEach(::transmit)
        effects.install?.let { restore(it.index, it.state) }
        effects.committed.forEach(::apply)
        effects.confirmed.forEach { calls.remove(it)?.invoke(Ok(ByteArray(0))) }
        effects.refused.forEach { calls.remove(it.call)?.invoke(Err(it.failure)) }
        if (effects.lostLeadership) abandonWaiting(ErrorKind.ControlUnavailable, "the leadership was lost")
        val inputs = followUps(effects)
        if (inputs.isNotEmpty()) carryOut(core.step(inputs, nowMillis()))
    }

    private fun followUps(effects: Effects): List<Input> {
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

    private fun persist(effects: Effects): Result<Unit, StorageFailure> = saved(effects.termVote) { store.saveTerm(it) }
        .andThen { saved(effects.install) { store.installSnapshot(it) } }
        .andThen { saved(effects.taken) { store.saveSnapshot(it.snapshot, it.firstKeptIndex) } }
        .andThen { store.append(effects.append) }

    private inline fun <T : Any> saved(
        value: T?,
        save: (T) -> Result<Unit, StorageFailure>,
    ): Result<Unit, StorageFailure> = if (value == null) Ok(Unit) else save(value)

    private fun transmit(outgoing: Outgoing) = send(outgoing.to, codec.encode(outgoing.message))

    private fun apply(entry: LogEntry) {
        val command = entry.kind == EntryKind.COMMAND
        val reply = if (command) stateMachine.apply(entry.index, entry.payload) else ByteArray(0)
        appliedIndex = entry.index
        bytesSinceSnapshot += entry.payload.size
        val caller = waiting.remove(entry.index) ?: return
        caller.answer(if (caller.term == entry.term) Ok(reply) else Err(uncertain(ErrorKind.ControlUnavailable)))
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
        if (halted != null) return
        halted = kind
        state.leader = null
        abandonWaiting(kind, detail)
        calls.values.forEach { it(Err(kind.notRun(detail))) }
        calls.clear()
        status = currentStatus()
        onHalt(kind.notRun(detail))
    }

    private fun abandonWaiting(
        kind: ErrorKind,
        detail: String,
    ) {
        waiting.values.forEach { it.answer(Err(uncertain(kind, detail))) }
        waiting.clear()
    }

    private fun uncertain(
        kind: ErrorKind,
        detail: String = kind.explanation,
    ) = Failure(kind, Execution.MayHaveRun, detail)

    private fun currentStatus() = ReplicaStatus(
        node = state.node,
        leader = state.leader,
        term = state.term,
        commitIndex = state.commitIndex,
        appliedIndex = appliedIndex,
        members = core.standings(),
    )
}
