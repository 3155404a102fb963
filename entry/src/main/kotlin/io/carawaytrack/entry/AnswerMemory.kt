/*
 * The bytes of answers that this entry holds because their callers have not taken them yet. When the budget asks for
 * it, the slowest reader's stream is ended here.
 */
package io.carawaytrack.entry

import io.carawaytrack.limits.MemoryBudget
import io.carawaytrack.limits.MemoryDecision
import io.carawaytrack.limits.StreamId
import io.carawaytrack.telemetry.MemoryMetrics
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

internal class AnswerMemory(
    private val budget: MemoryBudget,
    private val metrics: MemoryMetrics,
) {
    private val numbers = AtomicLong()
    private val ends = ConcurrentHashMap<StreamId, () -> Unit>()

    /** Makes a stream known; [end] is called when the budget asks for its end. */
    fun open(end: () -> Unit): StreamId {
        val stream = StreamId(numbers.incrementAndGet())
        budget.open(stream)
        ends[stream] = end
        return stream
    }

    /** Returns whether [bytes] are accounted for; when not, the stream gets no more until [awaitRoom] returns. */
    fun hold(
        stream: StreamId,
        bytes: Int,
    ): Boolean {
        while (true) {
            when (val decision = budget.reserve(stream, bytes.toLong())) {
                is MemoryDecision.Granted -> return true
                is MemoryDecision.Pause -> return paused()
                is MemoryDecision.End -> {
                    end(decision.stream)
                    if (decision.stream == stream) return false
                }
            }
        }
    }

    private fun paused(): Boolean {
        metrics.readerPaused()
        return false
    }

    private fun end(stream: StreamId) {
        val end = ends.remove(stream)
        budget.close(stream)
        if (end == null) return
        metrics.readerEnded()
        end()
    }

    fun release(
        stream: StreamId,
        bytes: Int,
    ): Unit = budget.release(stream, bytes.toLong())

    suspend fun awaitRoom(
        stream: StreamId,
        bytes: Int,
    ) {
        budget.awaitCapacity(stream, bytes.toLong())
        metrics.readerResumed()
    }

    fun close(stream: StreamId) {
        if (ends.remove(stream) != null) budget.close(stream)
    }
}
