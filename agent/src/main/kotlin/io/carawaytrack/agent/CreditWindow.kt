/*
 * Flow control of one answer: bounds the bytes in transit to the entry. Without credit the agent stops reading from the
 * upstream, so that a slow caller slows down only its own stream.
 */
package io.carawaytrack.agent

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

internal class CreditWindow(
    initialBytes: Long,
) {
    private val available = MutableStateFlow(initialBytes)

    fun add(bytes: Long): Unit = available.update { it + bytes }

    /** Waits for any credit, then consumes [bytes]; the balance may become negative by less than one chunk. */
    suspend fun consume(bytes: Long) {
        available.first { it > 0 }
        available.update { it - bytes }
    }
}
