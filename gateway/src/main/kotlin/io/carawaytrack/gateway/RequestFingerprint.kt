/*
 * What identifies a request to the quarantine. The same request comes again with the same caller, method, path and body
 * on any host, while its headers, their prompt parts among them, and the framing of its body may differ.
 */
package io.carawaytrack.gateway

import com.dynatrace.hash4j.hashing.Hashing
import io.carawaytrack.fleet.PromptParts
import io.carawaytrack.fleet.contentPart
import io.netty.buffer.ByteBuf

/** Number of bytes that are copied at once from a body to its hash. */
private const val HASH_BUFFER_BYTES = 4_096

/**
 * @property origin entries that tell the request's route and caller
 * @property parts identifiers of its prompt's parts; empty for a request without a prompt
 */
internal class RequestFingerprint(
    val origin: List<String>,
    val parts: List<String>,
    content: () -> String,
) {
    /** Entry that is the same whenever the request comes again; its first use reads the body. */
    val content: String by lazy(LazyThreadSafetyMode.NONE, content)

    /** Route and caller, then the prompt's parts; a request without a prompt counts as one part, its content. */
    val prompt: PromptParts get() = origin + parts.ifEmpty { listOf(content) }
}

/** Returns the entry of a request with [line], which tells all that identifies it but its [body]. */
internal fun contentOf(
    line: String,
    body: ByteBuf,
): String {
    val hash = Hashing.komihash5_0().hashStream()
    hash.putString(line)
    val buffer = ByteArray(minOf(HASH_BUFFER_BYTES, body.readableBytes()))
    var index = body.readerIndex()
    while (index < body.writerIndex()) {
        val length = minOf(buffer.size, body.writerIndex() - index)
        body.getBytes(index, buffer, 0, length)
        hash.putBytes(buffer, 0, length)
        index += length
    }
    return contentPart(hash.asLong.toULong().toString(radix = 36))
}
