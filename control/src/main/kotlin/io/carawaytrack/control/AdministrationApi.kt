/*
 * The administration API over HTTP. Every call needs an operator's token; every answer comes from the leading host
 * after a confirmed read, so that an operator never sees an older state than the last one acknowledged.
 */
package io.carawaytrack.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapBoth
import io.carawaytrack.consensus.GroupReplica
import io.carawaytrack.consensus.MemberChange
import io.carawaytrack.model.Bill
import io.carawaytrack.model.ChangeReply
import io.carawaytrack.model.ChangeRequest
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ConfigurationChange
import io.carawaytrack.model.ControlStatus
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.HistoryEntry
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.MemberAction
import io.carawaytrack.model.MemberReply
import io.carawaytrack.model.MemberRequest
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.StatusReport
import io.carawaytrack.model.notRun
import io.carawaytrack.tables.checkTables
import io.carawaytrack.telemetry.ControlMetrics
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import java.security.MessageDigest

private const val MAX_BODY_BYTES = 4L * 1024 * 1024

private val json = Json { encodeDefaults = true }

/** Answers operators from the replicated [state]. */
internal class AdministrationApi(
    private val replica: GroupReplica,
    private val state: ControlState,
    private val registry: HolderRegistry,
    private val operators: Map<String, String>,
    private val metrics: ControlMetrics,
    private val wallClockMillis: () -> Long,
) {
    fun start(address: HostPort): EmbeddedServer<*, *> =
        embeddedServer(CIO, port = address.port, host = address.host) { install() }.start()

    private fun Application.install() {
        routing {
            get("/v1/configuration") { call.read(Configuration.serializer()) { Ok(state.configuration) } }
            get("/v1/history") { call.read(ListSerializer(HistoryEntry.serializer())) { Ok(history(call)) } }
            get("/v1/status") { call.read(StatusReport.serializer()) { Ok(status()) } }
            get("/v1/bills") { call.read(ListSerializer(Bill.serializer())) { bills(call) } }
            post("/v1/members") { call.answer(MemberReply.serializer()) { members(call) } }
            post(
                "/v1/changes",
            ) { call.answer(ChangeReply.serializer()) { operator -> change(call, operator).also(::count) } }
        }
    }

    private fun history(call: ApplicationCall) =
        state.historyFrom(call.request.queryParameters["from"]?.toLongOrNull() ?: 0)

    private fun bills(call: ApplicationCall): Result<List<Bill>, Failure> {
        val name =
            call.request.queryParameters["organisation"]
                ?: return Err(ErrorKind.MalformedRequest.notRun("expected the parameter organisation, got none"))
        return Ok(state.ledger.bills(OrganisationName(name)))
    }

    private fun status(): StatusReport {
        val replicaStatus = replica.status()
        val configuration = state.configuration
        val self =
            ControlStatus(replicaStatus.node, replicaStatus.leading, replicaStatus.term, replicaStatus.appliedIndex)
        return StatusReport(
            configurationNumber = configuration.number,
            leader = replicaStatus.leader,
            control = listOf(self),
            holders = registry.statuses(),
            upstreams = registry.announcements(),
            zonesOut = configuration.zonesOut,
            upstreamsOut = configuration.upstreamsOut,
            versionStates = configuration.versionStates,
            rollouts = configuration.rollouts,
        )
    }

    private suspend fun change(
        call: ApplicationCall,
        operator: String,
    ): Result<ChangeReply, Failure> {
        val request = call.receive(ChangeRequest.serializer()).getOrElse { return Err(it) }
        checked(request.change).getOrElse { return Err(it) }
        val command = ControlCommand.Change(request.copy(operator = operator), wallClockMillis())
        return replica
            .propose(command.encode())
            .andThen { reply -> changed(decodeControlReply(reply)) }
    }

    private fun count(result: Result<ChangeReply, Failure>) {
        metrics.changeEnded(result.getError()?.kind)
    }

    private suspend fun members(call: ApplicationCall): Result<MemberReply, Failure> {
        val request = call.receive(MemberRequest.serializer()).getOrElse { return Err(it) }
        val change =
            when (request.action) {
                MemberAction.Add -> {
                    makeKnown(request).getOrElse { return Err(it) }
                    MemberChange.AddLearner(request.node)
                }
                MemberAction.Promote -> MemberChange.Promote(request.node)
                MemberAction.Remove -> MemberChange.Remove(request.node)
            }
        return replica.changeMembers(change).map { MemberReply(request.node, request.action) }
    }

    private suspend fun makeKnown(request: MemberRequest): Result<Unit, Failure> {
        val address =
            request.address ?: return Err(ErrorKind.MalformedRequest.notRun("expected the address of ${request.node}"))
        return replica.propose(ControlCommand.Member(request.node, address).encode()).map { }
    }

    private fun changed(reply: ControlReply): Result<ChangeReply, Failure> = when (reply) {
        is ControlReply.Changed -> Ok(reply.reply)
        is ControlReply.Refused -> Err(reply.failure)
        is ControlReply.Recorded, is ControlReply.MemberKnown ->
            Err(ErrorKind.Internal.notRun("expected the reply to a change"))
    }

    private fun checked(change: ConfigurationChange): Result<Unit, Failure> {
        if (change !is ConfigurationChange.ApplyTables) return Ok(Unit)
        val faults = checkTables(change.tables)
        if (faults.isEmpty()) return Ok(Unit)
        return Err(ErrorKind.InvalidTables.notRun(faults.joinToString("\n")))
    }

    private suspend fun <T> ApplicationCall.receive(serializer: KSerializer<T>): Result<T, Failure> {
        val body = receiveChannel().readRemaining(MAX_BODY_BYTES + 1).readByteArray()
        if (body.size > MAX_BODY_BYTES) {
            return Err(ErrorKind.BodyTooLarge.notRun("expected at most $MAX_BODY_BYTES bytes"))
        }
        return try {
            Ok(json.decodeFromString(serializer, body.decodeToString()))
        } catch (malformed: IllegalArgumentException) {
            Err(ErrorKind.MalformedRequest.notRun("expected a request as JSON: ${malformed.message}"))
        }
    }

    private suspend fun <T> ApplicationCall.read(
        serializer: KSerializer<T>,
        read: () -> Result<T, Failure>,
    ): Unit = answer(serializer) { replica.confirmLeadership().andThen { read() } }

    private suspend fun <T> ApplicationCall.answer(
        serializer: KSerializer<T>,
        work: suspend (operator: String) -> Result<T, Failure>,
    ) {
        val operator = operatorOf(request.headers[HttpHeaders.Authorization])
        val result = operator?.let { work(it) } ?: Err(ErrorKind.Unauthorized.notRun())
        val (status, body) =
            result.mapBoth(
                { HttpStatusCode.OK to json.encodeToString(serializer, it) },
                { HttpStatusCode.fromValue(it.kind.status) to json.encodeToString(Failure.serializer(), it) },
            )
        respondText(body, ContentType.Application.Json, status)
    }

    private fun operatorOf(authorization: String?): String? {
        val token = authorization?.removePrefix("Bearer ") ?: return null
        val digest = MessageDigest.getInstance("SHA-256").digest(token.encodeToByteArray())
        // All digests are compared, so that the time taken tells nothing about which one came close.
        return operators.entries
            .filter { (_, hex) -> MessageDigest.isEqual(digest, hex.hexToByteArrayOrEmpty()) }
            .map { it.key }
            .firstOrNull()
    }
}

private fun String.hexToByteArrayOrEmpty(): ByteArray = try {
    hexToByteArray()
} catch (_: IllegalArgumentException) {
    byteArrayOf()
}
