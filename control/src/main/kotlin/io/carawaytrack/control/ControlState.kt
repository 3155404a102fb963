/*
 * The replicated state machine of the control hosts: the configuration in force with its history, the replies to
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

private const val MAX_HISTORY_ENTRIES = 1_000
private const val MAX_PREVIOUS_CONFIGURATIONS = 32
private const val MAX_OPERATION_RECORDS = 4_000

/** Command in the replicated log. */
@Serializable
internal sealed interface ControlCommand {
    @Serializable
    @SerialName("c")
    data class Change(
        val request: ChangeRequest,
        val atMillis: Long,
    ) : ControlCommand

    /** Registers the address of a member that is not in the settings of every host. */
    @Serializable
    @SerialName("m")
    data class RegisterMember(
        val node: NodeId,
        val address: HostPort,
    ) : ControlCommand

    @Serializable
    @SerialName("l")
    data class LedgerUpdate(
        val command: LedgerCommand,
    ) : ControlCommand
}

/** Reply to a [ControlCommand]. */
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
    data object MemberRegistered : ControlReply

    @Serializable
    @SerialName("l")
    data class LedgerUpdated(
        val reply: LedgerReply,
    ) : ControlReply
}

/** Records the first reply to an operator's change, which is returned again when the change is retried. */
@Serializable
internal data class OperationRecord(
    val operationId: String,
    val reply: ControlReply,
)

@Serializable
internal data class ControlSnapshot(
    val configuration: Configuration,
    @SerialName("kept") val previousConfigurations: List<Configuration>,
    val history: List<HistoryEntry>,
    val operations: List<OperationRecord>,
    val ledger: LedgerSnapshot,
    val members: Map<NodeId, HostPort> = emptyMap(),
)

private val controlCbor = Cbor { ignoreUnknownKeys = true }

internal fun ControlCommand.encode(): ByteArray = controlCbor.encodeToByteArray(this)

internal fun decodeControlReply(bytes: ByteArray): ControlReply = controlCbor.decodeFromByteArray(bytes)

/**
 * Replicated state of a control host. [onConfiguration] is called with every configuration that comes into force, and
 * [onMembers] with the addresses of all members that have joined.
 */
internal class ControlState(
    private val onConfiguration: (Configuration) -> Unit = {},
    private val onMembers: (Map<NodeId, HostPort>) -> Unit = {},
) : StateMachine {
    val ledger: Ledger = Ledger()

    private val lock = ReentrantLock()
    private val history = ArrayDeque<HistoryEntry>()
    private val previousConfigurations = ArrayDeque<Configuration>()
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
                is ControlCommand.Change -> applyChange(decoded)
                is ControlCommand.LedgerUpdate -> updateLedger(decoded.command)
                is ControlCommand.RegisterMember -> registerMember(decoded)
            }
        return controlCbor.encodeToByteArray(reply)
    }

    private fun registerMember(command: ControlCommand.RegisterMember): ControlReply {
        memberAddresses = memberAddresses + (command.node to command.address)
        onMembers(memberAddresses)
        return ControlReply.MemberRegistered
    }

    private fun updateLedger(command: LedgerCommand): ControlReply {
        val inForce = configuration
        return ControlReply.LedgerUpdated(ledger.apply(command, inForce::stateOf))
    }

    private fun applyChange(command: ControlCommand.Change): ControlReply {
        val reply = lock.withLock { firstReply(command) ?: evaluate(command) }
        if (reply is ControlReply.Changed && !reply.reply.repeated) onConfiguration(configuration)
        return reply
    }

    private fun firstReply(command: ControlCommand.Change): ControlReply? {
        val first = operations[command.request.operationId] ?: return null
        if (first !is ControlReply.Changed) return first
        return first.copy(reply = first.reply.copy(repeated = true))
    }

    private fun evaluate(command: ControlCommand.Change): ControlReply {
        val request = command.request
        val base = request.baseNumber
        val reply =
            if (base != null && base != configuration.number) {
                ControlReply.Refused(conflict(base))
            } else {
                configuration
                    .after(request.change, ::configurationAt)
                    .mapBoth({ accept(it, command) }, ControlReply::Refused)
            }
        operations[request.operationId] = reply
        while (operations.size > MAX_OPERATION_RECORDS) operations.remove(operations.keys.first())
        return reply
    }

    private fun conflict(base: Long): Failure {
        val lastOperator = history.lastOrNull()?.operator ?: "nobody"
        val detail = "expected base number ${configuration.number}, set by $lastOperator, got $base"
        return ErrorKind.VersionConflict.notRun(detail)
    }

    private fun configurationAt(number: Long): Configuration? = previousConfigurations.find { it.number == number }

    private fun accept(
        next: Configuration,
        command: ControlCommand.Change,
    ): ControlReply {
        previousConfigurations.addLast(configuration)
        while (previousConfigurations.size > MAX_PREVIOUS_CONFIGURATIONS) previousConfigurations.removeFirst()
        configuration = next
        history.addLast(
            HistoryEntry(next.number, command.request.operator, command.atMillis, command.request.change),
        )
        while (history.size > MAX_HISTORY_ENTRIES) history.removeFirst()
        return ControlReply.Changed(ChangeReply(next.number))
    }

    override fun snapshot(): ByteArray = lock.withLock {
        controlCbor.encodeToByteArray(
            ControlSnapshot(
                configuration = configuration,
                previousConfigurations = previousConfigurations.toList(),
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
            previousConfigurations.clear()
            previousConfigurations.addAll(restored.previousConfigurations)
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
