/*
 * Which heads of answers are valid, beyond what the HTTP client checks: the syntax of the status line, the names of the
 * fields, and that the body is whole.
 */
package io.carawaytrack.agent

import io.carawaytrack.wire.Header

private const val MIN_STATUS = 100
private const val MAX_STATUS = 599
private const val DELETE = '\u007f'

/** Returns why a head with [status] and [headers] is invalid, or null if it is valid. */
internal fun invalidHeadReason(
    status: Int,
    headers: List<Header>,
): String? {
    val lengths = headers.filter { it.name.equals("content-length", ignoreCase = true) }
    val encoded = headers.any { it.name.equals("transfer-encoding", ignoreCase = true) }
    val unprintable = headers.find { header -> header.value.any { (it < ' ' && it != '\t') || it == DELETE } }
    return when {
        status !in MIN_STATUS..MAX_STATUS -> "status $status"
        unprintable != null -> "control character in the value of ${unprintable.name}"
        lengths.size > 1 -> "several lengths"
        lengths.isNotEmpty() && encoded -> "a length and a transfer coding"
        else -> null
    }
}
