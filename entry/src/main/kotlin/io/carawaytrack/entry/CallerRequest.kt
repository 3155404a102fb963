/*
 * A caller's request after validation and before planning.
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
 * Describes a validated request.
 *
 * @property chat parsed body of a chat request; null for a plain service
 * @property deadlineAtMillis deadline on the monotonic clock
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
    val deadlineAtMillis: Long,
) {
    /** Whether the request is idempotent: it may be sent again after an attempt with unknown outcome. */
    val repeatable: Boolean = chat != null || method in route.repeatableMethods

    /** Whether the caller asked for a streamed answer. */
    val streamed: Boolean = chat?.stream ?: false

    val estimatedTokens: Long = chat?.estimatedTokens ?: 0

    /** Hash of organisation, method, path and body; identifies retries of the same request by its caller. */
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

    /** Returns a copy with the id under which the request was first sent. */
    fun withId(originalId: RequestId): CallerRequest = CallerRequest(
        id = originalId,
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
        deadlineAtMillis = deadlineAtMillis,
    )
}
