/*
 * Limits the memory used for answer chunks that callers have not received yet. Terminates the stream that the memory
 * budget selects when the limit is reached.
 */
package io.carawaytrack.entry

import io.carawaytrack.limits.MemoryBudget
import io.carawaytrack.limits.MemoryDecision
import io.carawaytrack.limits.StreamId
import io.carawaytrack.telemetry.MemoryMetrics
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

internal class AnswerMemoryLimiter(
    private val budget: MemoryBudget,
    private val metrics: MemoryMetrics,
) {
    private val streamNumbers = AtomicLong()
    private val terminators = ConcurrentHashMap<StreamId, () -> Unit>()

    /** Registers a stream; [terminate] is called when the budget requires the stream to end. */
    fun open(terminate: () -> Unit): StreamId {
        val stream = StreamId(streamNumbers.incrementAndGet())
        budget.open(stream)
        terminators[stream] = terminate
        return stream
    }

    /** Returns whether [bytes] were reserved; if not, the stream must not send more until [awaitCapacity] returns. */
    fun reserve(
        stream: StreamId,
        bytes: Int,
    ): Boolean {
        while (true) {
            when (val decision = budget.reserve(stream, bytes.toLong())) {
                is MemoryDecision.Granted -> return true
                is MemoryDecision.Pause -> return recordPause()
                is MemoryDecision.End -> {
                    terminate(decision.stream)
                    if (decision.stream == stream) return false
                }
            }
        }
    }

    private fun recordPause(): Boolean {
        metrics.readerPaused()
        return false
    }

    private fun terminate(stream: StreamId) {
        val terminator = terminators.remove(stream)
        budget.close(stream)
        if (terminator == null) return
        metrics.readerEnded()
        terminator()
    }

    fun release(
        stream: StreamId,
        bytes: Int,
    ): Unit = budget.release(stream, bytes.toLong())

    suspend fun awaitCapacity(
        stream: StreamId,
        bytes: Int,
    ) {
        budget.awaitCapacity(stream, bytes.toLong())
        metrics.readerResumed()
    }

    fun close(stream: StreamId) {
        if (terminators.remove(stream) != null) budget.close(stream)
    }
}
