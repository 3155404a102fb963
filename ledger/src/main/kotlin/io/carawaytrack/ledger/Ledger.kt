/*
 * The request ledger: which requests were begun, how they ended, which version each session runs on, and the bills. It
 * is a deterministic state machine, split into shards by organisation; a shard is changed under its own lock, so that
 * reads for operators do not stop the log.
 */
package io.carawaytrack.ledger

import io.carawaytrack.model.Bill
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.RequestId
import io.carawaytrack.model.SessionId
import io.carawaytrack.model.VersionState
import kotlinx.serialization.Serializable
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private const val SHARDS = 16

/** Holds the ledger's records. */
public interface Ledger {
    /** Applies [command]; [stateOf] tells the state of a version at this point of the log. */
    public fun apply(
        command: LedgerCommand,
        stateOf: (ModelVersion) -> VersionState,
    ): LedgerReply

    /** Returns the bills of [organisation], oldest first. */
    public fun bills(organisation: OrganisationName): List<Bill>

    /** Counts the records held. */
    public fun size(): LedgerSize

    /** Returns all records. */
    public fun snapshot(): LedgerSnapshot

    /** Replaces all records. */
    public fun restore(snapshot: LedgerSnapshot)
}

/** Counts what a ledger holds. */
public data class LedgerSize(
    val requests: Int,
    val sessions: Int,
    val bills: Int,
    val openRequests: Int = 0,
)

private operator fun LedgerSize.plus(other: LedgerSize) = LedgerSize(
    requests = requests + other.requests,
    sessions = sessions + other.sessions,
    bills = bills + other.bills,
    openRequests = openRequests + other.openRequests,
)

/**
 * Records one request.
 *
 * @property shared whether more than one entry has been allowed to run it, so that none can tell that nothing ran
 */
@Serializable
public data class RequestRecord(
    val request: RequestId,
    val key: String?,
    val digest: Long,
    val session: SessionId? = null,
    val version: ModelVersion,
    val repeatable: Boolean,
    val timeoutMillis: Long,
    val beganAtMillis: Long,
    val shared: Boolean = false,
    val finished: Boolean = false,
    val answer: StoredAnswer? = null,
)

/** Records the version of a session. */
@Serializable
public data class SessionPin(
    val session: SessionId,
    val version: ModelVersion,
    val atMillis: Long,
)

/** Records a bill and when it was made. */
@Serializable
public data class BillRecord(
    val bill: Bill,
    val atMillis: Long,
)

/** Holds the records of one organisation. */
@Serializable
public data class OrganisationRecords(
    val organisation: OrganisationName,
    val requests: List<RequestRecord>,
    val sessions: List<SessionPin>,
    val bills: List<BillRecord>,
)

/** Holds all records of a ledger. */
@Serializable
public data class LedgerSnapshot(
    val organisations: List<OrganisationRecords>,
)

/** Creates an empty ledger. */
public fun Ledger(): Ledger = ShardedLedger()

private class ShardedLedger : Ledger {
    private val shards = List(SHARDS) { LedgerShard() }

    override fun apply(
        command: LedgerCommand,
        stateOf: (ModelVersion) -> VersionState,
    ): LedgerReply = shardOf(command.organisation).apply(command, stateOf)

    override fun bills(organisation: OrganisationName): List<Bill> = shardOf(organisation).bills(organisation)

    override fun size(): LedgerSize = shards
        .map(LedgerShard::size)
        .fold(LedgerSize(0, 0, 0), LedgerSize::plus)

    override fun snapshot(): LedgerSnapshot = LedgerSnapshot(shards.flatMap(LedgerShard::records))

    override fun restore(snapshot: LedgerSnapshot) {
        shards.forEach(LedgerShard::clear)
        snapshot.organisations.forEach { shardOf(it.organisation).restore(it) }
    }

    private fun shardOf(organisation: OrganisationName) =
        shards[Math.floorMod(organisation.value.hashCode(), shards.size)]
}

private class LedgerShard {
    private val lock = ReentrantLock()
    private val organisations = HashMap<OrganisationName, OrganisationLedger>()

    fun apply(
        command: LedgerCommand,
        stateOf: (ModelVersion) -> VersionState,
    ): LedgerReply = lock.withLock { of(command.organisation).apply(command, stateOf) }

    fun bills(organisation: OrganisationName): List<Bill> =
        lock.withLock { organisations[organisation]?.bills().orEmpty() }

    fun size(): LedgerSize = lock.withLock {
        val held = organisations.values
        LedgerSize(
            held.sumOf(OrganisationLedger::requestCount),
            held.sumOf(OrganisationLedger::sessionCount),
            held.sumOf(OrganisationLedger::billCount),
            held.sumOf(OrganisationLedger::openCount),
        )
    }

    fun records(): List<OrganisationRecords> =
        lock.withLock { organisations.map { (name, ledger) -> ledger.records(name) } }

    fun clear(): Unit = lock.withLock { organisations.clear() }

    fun restore(records: OrganisationRecords): Unit = lock.withLock { of(records.organisation).restore(records) }

    private fun of(organisation: OrganisationName) = organisations.getOrPut(organisation, ::OrganisationLedger)
}
