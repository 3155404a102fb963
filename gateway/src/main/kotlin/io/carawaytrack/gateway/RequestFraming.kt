/*
 * Where a caller's request ends: requests whose end two parsers may see in different places are rejected.
 */
package io.carawaytrack.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Returns whether two parsers might disagree on the end of the body or on the host (request smuggling). */
internal fun isAmbiguous(headers: HttpHeaders): Boolean {
    val codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
    val unknownCoding = codings.isNotEmpty() && !codings.single().equals("chunked", ignoreCase = true)
    val lengthAndCoding = codings.isNotEmpty() && headers.contains(HttpHeaderNames.CONTENT_LENGTH)
    return codings.size > 1 || unknownCoding || lengthAndCoding || headers.getAll(HttpHeaderNames.HOST).size > 1
}
