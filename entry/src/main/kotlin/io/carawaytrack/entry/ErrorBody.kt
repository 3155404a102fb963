/*
 * JSON body of a refusal, in the error format of the chat completions API.
 */
package io.carawaytrack.entry

import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Body of every refusal. */
@Serializable
internal data class ErrorBody(
    val error: ErrorDetail,
)

@Serializable
internal data class ErrorDetail(
    val message: String,
    val type: String,
    val code: ErrorKind,
    val execution: Execution,
    @SerialName("request_id") val requestId: String,
)

private val json = Json { encodeDefaults = true }

/** Returns the JSON body that refuses the request [id]. */
internal fun errorBody(
    id: RequestId,
    failure: Failure,
): String {
    val detail = ErrorDetail(failure.detail, "carawaytrack_error", failure.kind, failure.execution, id.value)
    return json.encodeToString(ErrorBody(detail))
}
