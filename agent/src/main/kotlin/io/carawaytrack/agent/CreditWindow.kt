/*
 * Bounds how much of an answer may be under way to an entry. When the credit is used up, the agent stops reading from
 * the upstream, so that a slow caller slows down its own stream and no other.
 */
package io.carawaytrack.agent

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

internal class CreditGate(
    initialBytes: Long,
) {
    private val available = MutableStateFlow(initialBytes)

    fun add(bytes: Long): Unit = available.update { it + bytes }

    /** Waits for any credit, then takes [bytes]; the last chunk may overdraw by less than one chunk. */
    suspend fun take(bytes: Long) {
        available.first { it > 0 }
        available.update { it - bytes }
    }
}
