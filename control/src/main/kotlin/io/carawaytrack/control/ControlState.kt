/*
 * The state machine that the replicated log drives: the configuration in force with its history, the answers to
 * operators' changes, and the request ledger.
 */
@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package io.carawaytrack.control

import com.github.michaelbull.result.mapBoth
import io.carawaytrack.consensus.StateMachine
import io.carawaytrack.ledger.Ledger
import io.carawaytrack.ledger.LedgerCommand
import io.carawaytrack.ledger.LedgerReply
import io.carawaytrack.ledger.LedgerSnapshot
import io.carawaytrack.model.ChangeReply
import io.carawaytrack.model.ChangeRequest
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.HistoryEntry
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.notRun
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private const val KEPT_HISTORY = 1_000
private const val KEPT_CONFIGURATIONS = 32
private const val KEPT_OPERATIONS = 4_000

/** A command of the log. */
@Serializable
internal sealed interface ControlCommand {
    @Serializable
    @SerialName("c")
    data class Change(
        val request: ChangeRequest,
        val atMillis: Long,
    ) : ControlCommand

    /** Makes the address of a member known that is not in every host's settings. */
    @Serializable
    @SerialName("m")
    data class Member(
        val node: NodeId,
        val address: HostPort,
    ) : ControlCommand

    @Serializable
    @SerialName("l")
    data class Record(
        val command: LedgerCommand,
    ) : ControlCommand
}

/** The reply to a [ControlCommand]. */
@Serializable
internal sealed interface ControlReply {
    @Serializable
    @SerialName("c")
    data class Changed(
        val reply: ChangeReply,
    ) : ControlReply

    @Serializable
    @SerialName("r")
    data class Refused(
        val failure: Failure,
    ) : ControlReply

    @Serializable
    @SerialName("m")
    data object MemberKnown : ControlReply

    @Serializable
    @SerialName("l")
    data class Recorded(
        val reply: LedgerReply,
    ) : ControlReply
}

/** The first answer to an operator's change, kept for resends. */
@Serializable
internal data class OperationRecord(
    val operationId: String,
    val reply: ControlReply,
)

@Serializable
internal data class ControlSnapshot(
    val configuration: Configuration,
    val kept: List<Configuration>,
    val history: List<HistoryEntry>,
    val operations: List<OperationRecord>,
    val ledger: LedgerSnapshot,
    val members: Map<NodeId, HostPort> = emptyMap(),
)

private val controlCbor = Cbor { ignoreUnknownKeys = true }

internal fun ControlCommand.encode(): ByteArray = controlCbor.encodeToByteArray(this)

internal fun decodeControlReply(bytes: ByteArray): ControlReply = controlCbor.decodeFromByteArray(bytes)

/**
 * The replicated state of a control host. [onConfiguration] hears of every configuration that comes into force, and
 * [onMembers] of the addresses of members that have joined.
 */
internal class ControlState(
    private val onConfiguration: (Configuration) -> Unit = {},
    private val onMembers: (Map<NodeId, HostPort>) -> Unit = {},
) : StateMachine {
    val ledger: Ledger = Ledger()

    private val lock = ReentrantLock()
    private val history = ArrayDeque<HistoryEntry>()
    private val kept = ArrayDeque<Configuration>()
    private val operations = LinkedHashMap<String, ControlReply>()

    @Volatile
    var configuration: Configuration = Configuration()
        private set

    @Volatile
    var memberAddresses: Map<NodeId, HostPort> = emptyMap()
        private set

    fun historyFrom(number: Long): List<HistoryEntry> = lock.withLock { history.filter { it.number >= number } }

    override fun apply(
        index: Long,
        command: ByteArray,
    ): ByteArray {
        val reply: ControlReply =
            when (val decoded = controlCbor.decodeFromByteArray<ControlCommand>(command)) {
                is ControlCommand.Change -> change(decoded)
                is ControlCommand.Record -> record(decoded.command)
                is ControlCommand.Member -> member(decoded)
            }
        return controlCbor.encodeToByteArray(reply)
    }

    private fun member(command: ControlCommand.Member): ControlReply {
        memberAddresses = memberAddresses + (command.node to command.address)
        onMembers(memberAddresses)
        return ControlReply.MemberKnown
    }

    private fun record(command: LedgerCommand): ControlReply {
        val inForce = configuration
        return ControlReply.Recorded(ledger.apply(command, inForce::stateOf))
    }

    private fun change(command: ControlCommand.Change): ControlReply {
        val reply = lock.withLock { firstAnswer(command) ?: decide(command) }
        if (reply is ControlReply.Changed && !reply.reply.repeated) onConfiguration(configuration)
        return reply
    }

    private fun firstAnswer(command: ControlCommand.Change): ControlReply? {
        val first = operations[command.request.operationId] ?: return null
        if (first !is ControlReply.Changed) return first
        return first.copy(reply = first.reply.copy(repeated = true))
    }

    private fun decide(command: ControlCommand.Change): ControlReply {
        val request = command.request
        val base = request.baseNumber
        val reply =
            if (base != null && base != configuration.number) {
                ControlReply.Refused(conflict(base))
            } else {
                configuration.after(request.change, ::keptAt).mapBoth({ accept(it, command) }, ControlReply::Refused)
            }
        operations[request.operationId] = reply
        while (operations.size > KEPT_OPERATIONS) operations.remove(operations.keys.first())
        return reply
    }

    private fun conflict(base: Long): Failure {
        val winner = history.lastOrNull()?.operator ?: "nobody"
        val detail = "expected base number ${configuration.number}, set by $winner, got $base"
        return ErrorKind.VersionConflict.notRun(detail)
    }

    private fun keptAt(number: Long): Configuration? = kept.find { it.number == number }

    private fun accept(
        next: Configuration,
        command: ControlCommand.Change,
    ): ControlReply {
        kept.addLast(configuration)
        while (kept.size > KEPT_CONFIGURATIONS) kept.removeFirst()
        configuration = next
        history.addLast(
            HistoryEntry(next.number, command.request.operator, command.atMillis, command.request.change),
        )
        while (history.size > KEPT_HISTORY) history.removeFirst()
        return ControlReply.Changed(ChangeReply(next.number))
    }

    override fun snapshot(): ByteArray = lock.withLock {
        controlCbor.encodeToByteArray(
            ControlSnapshot(
                configuration = configuration,
                kept = kept.toList(),
                history = history.toList(),
                operations = operations.map { (id, reply) -> OperationRecord(id, reply) },
                ledger = ledger.snapshot(),
                members = memberAddresses,
            ),
        )
    }

    override fun restore(snapshot: ByteArray) {
        val restored = controlCbor.decodeFromByteArray<ControlSnapshot>(snapshot)
        lock.withLock {
            kept.clear()
            kept.addAll(restored.kept)
            history.clear()
            history.addAll(restored.history)
            operations.clear()
            restored.operations.forEach { operations[it.operationId] = it.reply }
            ledger.restore(restored.ledger)
            configuration = restored.configuration
            memberAddresses = restored.members
        }
        onConfiguration(configuration)
        onMembers(memberAddresses)
    }
}
