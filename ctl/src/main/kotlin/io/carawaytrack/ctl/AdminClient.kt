/*
 * The client of the administration API. It asks one control host after the other until the leader answers or the time
 * is up; a resend of a change carries the same operation id, so that control applies it once.
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

/** Longest wait for one control host before the next one is asked, in milliseconds. */
internal const val TRY_TIMEOUT_MILLIS = 2_000L

/** Pause after all control hosts have been asked in vain, in milliseconds. */
private const val ROUND_PAUSE_MILLIS = 200L

/** Statuses that carry the answer that was asked for. */
private val successStatuses = 200..299

/** Reads and writes the messages of the administration API; fields of a newer control host are passed over. */
internal val adminJson = Json { ignoreUnknownKeys = true }

/** Describes one HTTP request to a control host. */
internal data class AdminRequest(
    val address: HostPort,
    val method: String,
    val pathAndQuery: String,
    val token: String,
    val body: String? = null,
)

/** Describes the HTTP answer of a control host. */
internal data class AdminResponse(
    val status: Int,
    val body: String,
)

/** Says why a control host gave no HTTP answer. */
internal data class NoAnswer(
    val reason: String,
)

/** Sends one request to one control host. */
internal typealias AdminTransport = suspend (AdminRequest) -> Result<AdminResponse, NoAnswer>

/**
 * Tells a client whom to ask.
 *
 * @property token bearer token of the operator
 * @property timeoutMillis bound on one call over all tries
 */
internal class AdminSettings(
    val addresses: List<HostPort>,
    val token: String,
    val timeoutMillis: Long,
)

/** Asks the control hosts. */
internal interface AdminClient {
    /** Fetches everything that is in force. */
    suspend fun configuration(): Result<Configuration, CtlError>

    /** Asks for one change; sends it again under the same operation id when an answer is lost. */
    suspend fun change(request: ChangeRequest): Result<ChangeReply, CtlError>

    /** Fetches the accepted changes from number [from] on. */
    suspend fun history(from: Long): Result<List<HistoryEntry>, CtlError>

    /** Fetches what is in force where. */
    suspend fun status(): Result<StatusReport, CtlError>

    /** Fetches the bills of [organisation]. */
    suspend fun bills(organisation: OrganisationName): Result<List<Bill>, CtlError>

    /** Asks for one change of the control group; sent again, it is refused when the first one was carried out. */
    suspend fun member(request: MemberRequest): Result<MemberReply, CtlError>
}

/** Creates a client that sends by [send]. */
internal fun AdminClient(
    settings: AdminSettings,
    send: AdminTransport,
): AdminClient = RetryingAdminClient(settings, send)

/** Holds what one try brought. */
private sealed interface Try<out T> {
    /** The leader has spoken. */
    data class Final<T>(
        val result: Result<T, CtlError>,
    ) : Try<T>

    /** Another host, or the same one later, may answer. */
    data class AskAgain(
        val reason: String,
    ) : Try<Nothing>
}

private class RetryingAdminClient(
    private val settings: AdminSettings,
    private val send: AdminTransport,
) : AdminClient {
    /** Control host that answered last and is asked first. */
    private var lastAnswering = settings.addresses.firstOrNull()

    /** Bound on one try, short enough that each host is asked at least once. */
    private val tryTimeoutMillis = minOf(TRY_TIMEOUT_MILLIS, settings.timeoutMillis / settings.addresses.size)

    override suspend fun configuration() = get("/v1/configuration", Configuration.serializer())

    override suspend fun change(request: ChangeRequest): Result<ChangeReply, CtlError> {
        val body = adminJson.encodeToString(ChangeRequest.serializer(), request)
        return call("POST", "/v1/changes", body, ChangeReply.serializer()).mapError { error ->
            if (error is CtlError.Unreachable) error.withResendHint(request.operationId) else error
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

    private fun CtlError.Unreachable.withResendHint(operationId: String) = CtlError.Unreachable(
        "$message; the change may have been accepted: send it again with --operation-id $operationId",
    )

    private suspend fun <T> get(
        pathAndQuery: String,
        answer: DeserializationStrategy<T>,
    ): Result<T, CtlError> = call("GET", pathAndQuery, null, answer)

    private suspend fun <T> call(
        method: String,
        pathAndQuery: String,
        body: String?,
        answer: DeserializationStrategy<T>,
    ): Result<T, CtlError> {
        val reasons = linkedMapOf<HostPort, String>()
        val result =
            withTimeoutOrNull(settings.timeoutMillis) {
                askInTurn(reasons) { address ->
                    tryOnce(AdminRequest(address, method, pathAndQuery, settings.token, body), answer)
                }
            }
        return result ?: Err(unreachable(reasons))
    }

    private fun unreachable(reasons: Map<HostPort, String>): CtlError.Unreachable {
        val told = settings.addresses.joinToString("; ") { "$it: ${reasons[it] ?: "not asked"}" }
        return CtlError.Unreachable("no leading control host answered within ${settings.timeoutMillis} ms ($told)")
    }

    /** Asks the hosts in turn until one gives a final answer; keeps why the others did not in [reasons]. */
    private suspend fun <T> askInTurn(
        reasons: MutableMap<HostPort, String>,
        ask: suspend (HostPort) -> Try<T>,
    ): Result<T, CtlError> {
        while (true) {
            for (address in settings.addresses.sortedByDescending { it == lastAnswering }) {
                when (val outcome = ask(address)) {
                    is Try.Final -> return outcome.result.also { lastAnswering = address }
                    is Try.AskAgain -> reasons[address] = outcome.reason
                }
            }
            delay(ROUND_PAUSE_MILLIS)
        }
    }

    private suspend fun <T> tryOnce(
        request: AdminRequest,
        answer: DeserializationStrategy<T>,
    ): Try<T> {
        val sent =
            withTimeoutOrNull(tryTimeoutMillis) { send(request) }
                ?: return Try.AskAgain("no answer within $tryTimeoutMillis ms")
        return sent.fold(
            success = { if (it.status in successStatuses) accepted(it, answer) else refused(it) },
            failure = { Try.AskAgain(it.reason) },
        )
    }

    private fun <T> accepted(
        response: AdminResponse,
        answer: DeserializationStrategy<T>,
    ): Try<T> {
        val value =
            decode(response.body, answer) ?: return Try.AskAgain("answered ${response.status} with a body that is none")
        return Try.Final(Ok(value))
    }

    /** Takes a refusal as the last word only where it is certain that nothing was changed. */
    private fun refused(response: AdminResponse): Try<Nothing> {
        val failure =
            decode(response.body, Failure.serializer())
                ?: return Try.AskAgain("answered ${response.status} without a failure that can be read")
        val isFinal = !failure.kind.retryable && failure.execution == Execution.NotRun
        return if (isFinal) {
            Try.Final(Err(CtlError.Refused(failure)))
        } else {
            Try.AskAgain("${failure.kind}: ${failure.detail}")
        }
    }

    private fun <T> decode(
        body: String,
        answer: DeserializationStrategy<T>,
    ): T? = try {
        adminJson.decodeFromString(answer, body)
    } catch (_: SerializationException) {
        null
    }
}
