/*
 * The records of one organisation and the rules for changing them. Callers must hold the lock of the shard.
 */
package io.carawaytrack.ledger

import io.carawaytrack.model.Bill
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.RequestId
import io.carawaytrack.model.SessionId
import io.carawaytrack.model.VersionState

internal class OrganisationLedger {
    private val requests = LinkedHashMap<RequestId, RequestRecord>()
    private val requestByKey = HashMap<String, RequestId>()
    private val sessions = LinkedHashMap<SessionId, SessionPin>()
    private val bills = LinkedHashMap<RequestId, BillRecord>()

    val requestCount: Int get() = requests.size
    val sessionCount: Int get() = sessions.size
    val billCount: Int get() = bills.size
    val openCount: Int get() = requests.values.count { !it.finished }

    fun bills(): List<Bill> = bills.values.map(BillRecord::bill)

    fun apply(
        command: LedgerCommand,
        stateOf: (ModelVersion) -> VersionState,
    ): LedgerReply = when (command) {
        is LedgerCommand.Begin -> begin(command, stateOf)
        is LedgerCommand.Finish -> finish(command)
        is LedgerCommand.Abandon -> abandon(command)
        is LedgerCommand.Expire -> expire(command.beforeMillis)
    }

    private fun begin(
        command: LedgerCommand.Begin,
        stateOf: (ModelVersion) -> VersionState,
    ): LedgerReply {
        val earlier = earlierRequest(command)
        if (earlier != null) return replyToRetry(command, earlier, stateOf)
        val pin = command.session?.let(sessions::get)
        val version = pin?.version ?: command.version
        if (!mayRun(stateOf(version), pinned = pin != null)) return LedgerReply.VersionUnavailable
        if (command.session != null && pin == null) {
            sessions[command.session] = SessionPin(command.session, version, command.atMillis)
        }
        record(command, version)
        return LedgerReply.Started(command.request, version, command.session != null)
    }

    // An entry that lost the reply to a Begin command retries it with the same request identifier, even without a key.
    private fun earlierRequest(command: LedgerCommand.Begin): RequestRecord? {
        val request = command.key?.let(requestByKey::get) ?: command.request
        return requests[request]
    }

    private fun replyToRetry(
        command: LedgerCommand.Begin,
        earlier: RequestRecord,
        stateOf: (ModelVersion) -> VersionState,
    ): LedgerReply {
        val answer = earlier.answer
        return when {
            !earlier.matches(command) -> LedgerReply.Conflicting
            answer != null -> LedgerReply.Replayed(earlier.request, answer)
            earlier.request == command.request && !earlier.finished -> startedReply(earlier, command)
            earlier.finished -> LedgerReply.OutcomeUnknown(earlier.request)
            earlier.repeatable && !mayRun(stateOf(earlier.version), command.session != null) ->
                LedgerReply.VersionUnavailable
            earlier.repeatable -> allowSharedRun(earlier, command)
            command.atMillis - earlier.beganAtMillis < earlier.timeoutMillis -> LedgerReply.InProgress(earlier.request)
            else -> LedgerReply.OutcomeUnknown(earlier.request)
        }
    }

    // Sessions may be pinned to different versions, so an idempotency key is not valid across sessions.
    private fun RequestRecord.matches(command: LedgerCommand.Begin) =
        digest == command.digest && session == command.session

    private fun allowSharedRun(
        earlier: RequestRecord,
        command: LedgerCommand.Begin,
    ): LedgerReply {
        requests[earlier.request] = earlier.copy(shared = true)
        return startedReply(earlier, command)
    }

    private fun startedReply(
        earlier: RequestRecord,
        command: LedgerCommand.Begin,
    ) = LedgerReply.Started(earlier.request, earlier.version, command.session != null)

    private fun mayRun(
        state: VersionState,
        pinned: Boolean,
    ) = state == VersionState.Serving || (pinned && state == VersionState.Draining)

    private fun record(
        command: LedgerCommand.Begin,
        version: ModelVersion,
    ) {
        requests[command.request] =
            RequestRecord(
                request = command.request,
                key = command.key,
                digest = command.digest,
                session = command.session,
                version = version,
                repeatable = command.repeatable,
                timeoutMillis = command.timeoutMillis,
                beganAtMillis = command.atMillis,
            )
        if (command.key != null) requestByKey[command.key] = command.request
    }

    private fun finish(command: LedgerCommand.Finish): LedgerReply {
        val record = requests[command.request]
        val first = (command.bill == null || command.request !in bills) && record?.finished != true
        if (record != null && !record.finished) {
            requests[command.request] = record.copy(finished = true, answer = command.answer)
        }
        if (command.bill != null) bills.putIfAbsent(command.request, BillRecord(command.bill, command.atMillis))
        return LedgerReply.Done(first)
    }

    private fun abandon(command: LedgerCommand.Abandon): LedgerReply {
        val record = requests[command.request]
        if (record == null || record.finished || record.shared) return LedgerReply.Done(first = false)
        deleteRequest(record)
        return LedgerReply.Done(first = true)
    }

    private fun deleteRequest(record: RequestRecord) {
        requests.remove(record.request)
        if (record.key != null) requestByKey.remove(record.key, record.request)
    }

    private fun expire(beforeMillis: Long): LedgerReply {
        requests.values.filter { it.beganAtMillis < beforeMillis }.forEach(::deleteRequest)
        sessions.values.removeIf { it.atMillis < beforeMillis }
        bills.values.removeIf { it.atMillis < beforeMillis }
        return LedgerReply.Done(first = true)
    }

    fun records(organisation: OrganisationName): OrganisationRecords =
        OrganisationRecords(organisation, requests.values.toList(), sessions.values.toList(), bills.values.toList())

    fun restore(records: OrganisationRecords) {
        records.requests.forEach { record ->
            requests[record.request] = record
            if (record.key != null) requestByKey[record.key] = record.request
        }
        records.sessions.associateByTo(sessions, SessionPin::session)
        records.bills.associateByTo(bills) { it.bill.request }
    }
}
