/*
 * The request ledger records which requests were started, their outcomes, the model version that each session is pinned
 * to, and the bills. It is a deterministic state machine, partitioned into shards by organisation. Each shard has its
 * own lock, so that reads by operators do not block the application of log entries.
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

private const val SHARD_COUNT = 16

/** Stores the records of requests, sessions and bills. */
public interface Ledger {
    /** Applies [command]; [stateOf] returns the state of a version at this position of the log. */
    public fun apply(
        command: LedgerCommand,
        stateOf: (ModelVersion) -> VersionState,
    ): LedgerReply

    /** Returns the bills of [organisation], oldest first. */
    public fun bills(organisation: OrganisationName): List<Bill>

    /** Returns the number of records. */
    public fun size(): LedgerSize

    /** Returns all records. */
    public fun snapshot(): LedgerSnapshot

    /** Replaces all records. */
    public fun restore(snapshot: LedgerSnapshot)
}

/** Numbers of records in a ledger. */
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
 * The record of one request.
 *
 * @property shared whether more than one entry has been allowed to run it, so that no single entry can be certain that
 * it was not executed
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

/** The version that a session is pinned to. */
@Serializable
public data class SessionPin(
    val session: SessionId,
    val version: ModelVersion,
    val atMillis: Long,
)

/** A bill and the time at which it was recorded. */
@Serializable
public data class BillRecord(
    val bill: Bill,
    val atMillis: Long,
)

/** The records of one organisation. */
@Serializable
public data class OrganisationRecords(
    val organisation: OrganisationName,
    val requests: List<RequestRecord>,
    val sessions: List<SessionPin>,
    val bills: List<BillRecord>,
)

/** All records of a ledger. */
@Serializable
public data class LedgerSnapshot(
    val organisations: List<OrganisationRecords>,
)

/** Creates an empty ledger. */
public fun Ledger(): Ledger = ShardedLedger()

private class ShardedLedger : Ledger {
    private val shards = List(SHARD_COUNT) { LedgerShard() }

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
    ): LedgerReply = lock.withLock { ledgerOf(command.organisation).apply(command, stateOf) }

    fun bills(organisation: OrganisationName): List<Bill> =
        lock.withLock { organisations[organisation]?.bills().orEmpty() }

    fun size(): LedgerSize = lock.withLock {
        val ledgers = organisations.values
        LedgerSize(
            ledgers.sumOf(OrganisationLedger::requestCount),
            ledgers.sumOf(OrganisationLedger::sessionCount),
            ledgers.sumOf(OrganisationLedger::billCount),
            ledgers.sumOf(OrganisationLedger::openCount),
        )
    }

    fun records(): List<OrganisationRecords> =
        lock.withLock { organisations.map { (name, ledger) -> ledger.records(name) } }

    fun clear(): Unit = lock.withLock { organisations.clear() }

    fun restore(records: OrganisationRecords): Unit = lock.withLock { ledgerOf(records.organisation).restore(records) }

    private fun ledgerOf(organisation: OrganisationName) = organisations.getOrPut(organisation, ::OrganisationLedger)
}
