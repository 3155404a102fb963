/*
 * Client of the administration API. It tries the control hosts in turn until the leader answers or the timeout expires.
 * A retry of a change carries the same operation id, so that control applies the change once.
 */
package io.carawaytrack.ctl

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.mapError
import io.carawaytrack.model.Bill
import io.carawaytrack.model.ChangeReply
import io.carawaytrack.model.ChangeRequest
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.HistoryEntry
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.MemberReply
import io.carawaytrack.model.MemberRequest
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.StatusReport
import io.ktor.http.encodeURLParameter
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

/** Timeout of one control host, after which the next one is tried. */
internal const val ATTEMPT_TIMEOUT_MILLIS = 2_000L

/** Delay before all control hosts are tried again when none of them gave a final answer. */
private const val RETRY_DELAY_MILLIS = 200L

/** HTTP status codes of responses that carry the requested value. */
private val successStatuses = 200..299

/** Encodes and decodes messages of the administration API; ignores fields that a newer control host adds. */
internal val adminJson = Json { ignoreUnknownKeys = true }

/** Describes one HTTP request to a control host. */
internal data class AdminRequest(
    val address: HostPort,
    val method: String,
    val pathAndQuery: String,
    val token: String,
    val body: String? = null,
)

/** Describes the HTTP response of a control host. */
internal data class AdminResponse(
    val status: Int,
    val body: String,
)

/** Describes why a control host gave no HTTP response. */
internal data class NoResponse(
    val reason: String,
)

/** Sends one request to one control host. */
internal typealias AdminTransport = suspend (AdminRequest) -> Result<AdminResponse, NoResponse>

/**
 * Describes how a client reaches control.
 *
 * @property token bearer token of the operator
 * @property timeoutMillis timeout of one call, over all of its attempts
 */
internal class AdminSettings(
    val addresses: List<HostPort>,
    val token: String,
    val timeoutMillis: Long,
)

/** Calls the administration API. */
internal interface AdminClient {
    /** Fetches the configuration in force. */
    suspend fun configuration(): Result<Configuration, CtlError>

    /** Submits one change; retries it under the same operation id when an answer is lost. */
    suspend fun change(request: ChangeRequest): Result<ChangeReply, CtlError>

    /** Fetches the accepted changes from number [from] on. */
    suspend fun history(from: Long): Result<List<HistoryEntry>, CtlError>

    /** Fetches the status of the control hosts, the other processes and the upstreams. */
    suspend fun status(): Result<StatusReport, CtlError>

    /** Fetches the bills of [organisation]. */
    suspend fun bills(organisation: OrganisationName): Result<List<Bill>, CtlError>

    /** Submits one change of the control group; a retry is refused if the first attempt was carried out. */
    suspend fun member(request: MemberRequest): Result<MemberReply, CtlError>
}

/** Creates a client that sends its requests with [send]. */
internal fun AdminClient(
    settings: AdminSettings,
    send: AdminTransport,
): AdminClient = RetryingAdminClient(settings, send)

/** Describes the outcome of one attempt. */
private sealed interface Attempt<out T> {
    /** The answer ends the call. */
    data class Final<T>(
        val result: Result<T, CtlError>,
    ) : Attempt<T>

    /** Another host, or the same host later, may give a final answer. */
    data class Retry(
        val reason: String,
    ) : Attempt<Nothing>
}

private class RetryingAdminClient(
    private val settings: AdminSettings,
    private val send: AdminTransport,
) : AdminClient {
    /** Control host that gave the last final answer; it is tried first. */
    private var lastAnsweringHost = settings.addresses.firstOrNull()

    /** Timeout of one attempt, short enough that each host is tried at least once. */
    private val attemptTimeoutMillis = minOf(ATTEMPT_TIMEOUT_MILLIS, settings.timeoutMillis / settings.addresses.size)

    override suspend fun configuration() = get("/v1/configuration", Configuration.serializer())

    override suspend fun change(request: ChangeRequest): Result<ChangeReply, CtlError> {
        val body = adminJson.encodeToString(ChangeRequest.serializer(), request)
        return call("POST", "/v1/changes", body, ChangeReply.serializer()).mapError { error ->
            if (error is CtlError.Unreachable) error.withRetryHint(request.operationId) else error
        }
    }

    override suspend fun history(from: Long) = get("/v1/history?from=$from", ListSerializer(HistoryEntry.serializer()))

    override suspend fun status() = get("/v1/status", StatusReport.serializer())

    override suspend fun bills(organisation: OrganisationName) =
        get("/v1/bills?organisation=${organisation.value.encodeURLParameter()}", ListSerializer(Bill.serializer()))

    override suspend fun member(request: MemberRequest): Result<MemberReply, CtlError> {
        val body = adminJson.encodeToString(MemberRequest.serializer(), request)
        return call("POST", "/v1/members", body, MemberReply.serializer())
    }

    private fun CtlError.Unreachable.withRetryHint(operationId: String) = CtlError.Unreachable(
        "$message; the change may have been accepted: send it again with --operation-id $operationId",
    )

    private suspend fun <T> get(
        pathAndQuery: String,
        deserializer: DeserializationStrategy<T>,
    ): Result<T, CtlError> = call("GET", pathAndQuery, null, deserializer)

    private suspend fun <T> call(
        method: String,
        pathAndQuery: String,
        body: String?,
        deserializer: DeserializationStrategy<T>,
    ): Result<T, CtlError> {
        val reasons = linkedMapOf<HostPort, String>()
        val result =
            withTimeoutOrNull(settings.timeoutMillis) {
                tryInTurn(reasons) { address ->
                    attempt(AdminRequest(address, method, pathAndQuery, settings.token, body), deserializer)
                }
            }
        return result ?: Err(unreachable(reasons))
    }

    private fun unreachable(reasons: Map<HostPort, String>): CtlError.Unreachable {
        val details = settings.addresses.joinToString("; ") { "$it: ${reasons[it] ?: "not asked"}" }
        return CtlError.Unreachable("no leading control host answered within ${settings.timeoutMillis} ms ($details)")
    }

    /** Tries the hosts in turn until one gives a final answer; records in [reasons] why the others gave none. */
    private suspend fun <T> tryInTurn(
        reasons: MutableMap<HostPort, String>,
        attempt: suspend (HostPort) -> Attempt<T>,
    ): Result<T, CtlError> {
        while (true) {
            for (address in settings.addresses.sortedByDescending { it == lastAnsweringHost }) {
                when (val outcome = attempt(address)) {
                    is Attempt.Final -> return outcome.result.also { lastAnsweringHost = address }
                    is Attempt.Retry -> reasons[address] = outcome.reason
                }
            }
            delay(RETRY_DELAY_MILLIS)
        }
    }

    private suspend fun <T> attempt(
        request: AdminRequest,
        deserializer: DeserializationStrategy<T>,
    ): Attempt<T> {
        val response =
            withTimeoutOrNull(attemptTimeoutMillis) { send(request) }
                ?: return Attempt.Retry("no answer within $attemptTimeoutMillis ms")
        return response.fold(
            success = { if (it.status in successStatuses) successOutcome(it, deserializer) else failureOutcome(it) },
            failure = { Attempt.Retry(it.reason) },
        )
    }

    private fun <T> successOutcome(
        response: AdminResponse,
        deserializer: DeserializationStrategy<T>,
    ): Attempt<T> {
        val value =
            decode(response.body, deserializer)
                ?: return Attempt.Retry("answered ${response.status} with a body that cannot be decoded")
        return Attempt.Final(Ok(value))
    }

    /** Treats a refusal as final only if it is certain that nothing was changed. */
    private fun failureOutcome(response: AdminResponse): Attempt<Nothing> {
        val failure =
            decode(response.body, Failure.serializer())
                ?: return Attempt.Retry("answered ${response.status} without a failure that can be decoded")
        val isFinal = !failure.kind.retryable && failure.execution == Execution.NotRun
        return if (isFinal) {
            Attempt.Final(Err(CtlError.Refused(failure)))
        } else {
            Attempt.Retry("${failure.kind}: ${failure.detail}")
        }
    }

    private fun <T> decode(
        body: String,
        deserializer: DeserializationStrategy<T>,
    ): T? = try {
        adminJson.decodeFromString(deserializer, body)
    } catch (_: SerializationException) {
        null
    }
}
