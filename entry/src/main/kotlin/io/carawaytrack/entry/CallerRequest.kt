/*
 * A caller's request after it has been read and checked, before anything is decided.
 */
package io.carawaytrack.entry

import com.dynatrace.hash4j.hashing.Hashing
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.Organisation
import io.carawaytrack.model.RequestId
import io.carawaytrack.model.Route
import io.carawaytrack.model.SessionId
import io.carawaytrack.wire.Header

/**
 * Describes a request.
 *
 * @property chat the parsed body of a chat request, null for a plain service
 * @property deadlineMillis moment on the monotonic clock at which the caller's time is over
 */
internal class CallerRequest(
    val id: RequestId,
    val organisation: Organisation,
    val route: Route,
    val method: String,
    val path: String,
    val headers: List<Header>,
    val body: ByteArray,
    val chat: ChatBody?,
    val session: SessionId?,
    val idempotencyKey: String?,
    val traceparent: String?,
    val deadlineMillis: Long,
) {
    /** Whether the request may be sent to an upstream again after its outcome became unknown. */
    val repeatable: Boolean = chat != null || method in route.repeatableMethods

    /** Whether the caller wants the answer as it is made. */
    val streamed: Boolean = chat?.stream ?: false

    val estimatedTokens: Long = chat?.estimatedTokens ?: 0

    /** Tells one request from another, by organisation, method, path and body. */
    val fingerprint: Long =
        Hashing
            .xxh3_64()
            .hashStream()
            .putString(organisation.name.value)
            .putString(method)
            .putString(path)
            .putByteArray(body)
            .asLong

    fun bodyFor(version: ModelVersion): ByteArray = chat?.forVersion(version) ?: body

    /** Returns this request under the identity of its first sending. */
    fun withId(first: RequestId): CallerRequest = CallerRequest(
        id = first,
        organisation = organisation,
        route = route,
        method = method,
        path = path,
        headers = headers,
        body = body,
        chat = chat,
        session = session,
        idempotencyKey = idempotencyKey,
        traceparent = traceparent,
        deadlineMillis = deadlineMillis,
    )
}
