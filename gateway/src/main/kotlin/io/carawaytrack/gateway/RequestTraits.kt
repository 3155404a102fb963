/*
 * How the quarantine identifies requests. Two arrivals are the same request if their content is equal: the caller
 * (organisation), the method, the path with its query, and the body. Headers, such as the host, the session and the
 * parts of a prompt, and the framing of the body may differ between arrivals. The parts belong to the content only if
 * there is no body, since nothing else distinguishes two prompts then.
 */
package io.carawaytrack.gateway

import com.dynatrace.hash4j.hashing.Hashing
import io.carawaytrack.fleet.PromptParts
import io.carawaytrack.fleet.callerPart
import io.carawaytrack.fleet.contentPart
import io.carawaytrack.fleet.routePart
import io.netty.buffer.ByteBuf

/** Number of bytes that are copied at once from a body to its hash. */
private const val HASH_BUFFER_BYTES = 4_096

/**
 * @property origin entries for the request's route and caller
 * @property parts identifiers of its prompt's parts; empty for a request without a prompt
 */
internal class RequestTraits(
    val origin: List<String>,
    val parts: List<String>,
    content: () -> String,
) {
    /** Entry that is equal for the same request and no other one; its first use reads the body. */
    val content: String by lazy(LazyThreadSafetyMode.NONE, content)

    /** Route and caller, then the prompt's parts; a request without a prompt counts as one part, its content. */
    val prompt: PromptParts get() = origin + parts.ifEmpty { listOf(content) }
}

/** Returns the traits of [request]; their content must be used for the first time before the body is released. */
internal fun traitsOf(request: CallerRequest): RequestTraits {
    val organisation = request.organisation?.name?.value
    val route = request.route.name
    return RequestTraits(
        listOfNotNull(routePart(route), organisation?.let { callerPart(it, route) }),
        request.demand.parts.map { it.id },
    ) { contentOf(request, organisation) }
}

private fun contentOf(
    request: CallerRequest,
    organisation: String?,
): String {
    val hash = Hashing.komihash5_0().hashStream()
    hash.putString("$organisation ${request.head.method()} ${request.head.uri()}")
    if (!request.body.isReadable) request.demand.parts.forEach { hash.putString(it.id) }
    forEachPiece(request.body) { bytes, length -> hash.putBytes(bytes, 0, length) }
    return contentPart(hash.asLong.toULong().toString(radix = 36))
}

/** Calls [action] with the bytes of [body], and with how many of them count, without consuming the body. */
private fun forEachPiece(
    body: ByteBuf,
    action: (ByteArray, Int) -> Unit,
) {
    val buffer = ByteArray(minOf(HASH_BUFFER_BYTES, body.readableBytes()))
    for (index in body.readerIndex() until body.writerIndex() step HASH_BUFFER_BYTES) {
        val length = minOf(buffer.size, body.writerIndex() - index)
        body.getBytes(index, buffer, 0, length)
        action(buffer, length)
    }
}
