/*
 * Memory budget for the answers that a process buffers for its readers, limited per stream and in total.
 *
 * A stream at its own limit pauses. Above the soft limit of the process, slow streams pause and fast ones continue. At
 * the hard limit, the slow stream that holds the most is ended; when no stream is slow, the requesting stream pauses
 * and none is ended. A stream is slow when its oldest byte has waited for the reader longer than a set time. By that
 * definition a stream whose reader consumes small amounts is slow, and one that holds much for a moment is not.
 */
package io.carawaytrack.limits

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Identifies a stream within its process. */
@JvmInline
public value class StreamId(
    public val value: Long,
)

/**
 * Configures a memory budget.
 *
 * @property hardBytes maximum bytes that all streams may hold together
 * @property softBytes total of held bytes above which slow streams are granted no more
 * @property streamBytes maximum bytes that one stream may hold
 * @property slowAfterMillis time that a byte may wait for its reader before the stream counts as slow
 */
public data class MemorySettings(
    val hardBytes: Long,
    val softBytes: Long = (hardBytes * SOFT_LIMIT_RATIO).toLong(),
    val streamBytes: Long,
    val slowAfterMillis: Long = 1_000,
)

private const val SOFT_LIMIT_RATIO = 0.75

/** Describes what a stream that requested memory must do. */
public sealed interface MemoryDecision {
    /** The bytes are reserved. */
    public data object Granted : MemoryDecision

    /** Nothing is reserved; the stream stops reading from its source until [MemoryBudget.awaitCapacity] returns. */
    public data object Pause : MemoryDecision

    /**
     * Nothing is reserved; the caller ends [stream], closes it in the budget, and requests again. When [stream] is the
     * requesting one, it must end itself or has already been closed.
     */
    public data class End(
        val stream: StreamId,
    ) : MemoryDecision
}

/** Limits the memory that streams hold. */
public interface MemoryBudget {
    /** Bytes currently held by all streams. */
    public val usedBytes: Long

    /** Registers [stream] with no bytes held. */
    public fun open(stream: StreamId)

    /** Reserves [bytes] for [stream]. */
    public fun reserve(
        stream: StreamId,
        bytes: Long,
    ): MemoryDecision

    /** Releases [bytes] that the reader of [stream] has consumed. */
    public fun release(
        stream: StreamId,
        bytes: Long,
    )

    /** Removes [stream] and releases all bytes it holds. */
    public fun close(stream: StreamId)

    /** Suspends until [bytes] for [stream] would be granted, or the stream is closed. */
    public suspend fun awaitCapacity(
        stream: StreamId,
        bytes: Long,
    )
}

/** Creates a memory budget with nothing held. */
public fun MemoryBudget(
    settings: MemorySettings,
    nowMillis: () -> Long,
): MemoryBudget = ShardedMemoryBudget(settings, nowMillis)

/** Tracks the bytes held by one stream, under a lock of its own. */
private class StreamUsage(
    val stream: StreamId,
) {
    private class Part(
        val sinceMillis: Long,
        var bytes: Long,
    )

    private val parts = ArrayDeque<Part>()
    private var isClosed = false

    @Volatile
    var heldBytes = 0L
        private set

    /** Adds [bytes]; returns false and adds nothing when the stream has been closed. */
    @Synchronized
    fun add(
        bytes: Long,
        nowMillis: Long,
    ): Boolean {
        if (isClosed) return false
        heldBytes += bytes
        val last = parts.lastOrNull()
        if (last != null && nowMillis - last.sinceMillis < PART_MERGE_MILLIS) {
            last.bytes += bytes
        } else {
            parts.addLast(Part(nowMillis, bytes))
        }
        return true
    }

    /** Removes all bytes and returns their number. */
    @Synchronized
    fun close(): Long {
        isClosed = true
        return remove(heldBytes)
    }

    /** Removes up to [bytes] of the oldest bytes and returns the number removed. */
    @Synchronized
    fun remove(bytes: Long): Long {
        var remaining = minOf(bytes, heldBytes)
        val removed = remaining
        heldBytes -= removed
        while (remaining > 0) {
            val first = parts.first()
            val part = minOf(remaining, first.bytes)
            first.bytes -= part
            remaining -= part
            if (first.bytes == 0L) parts.removeFirst()
        }
        return removed
    }

    /** Time that the oldest byte has waited for its reader. */
    @Synchronized
    fun oldestAgeMillis(nowMillis: Long): Long = parts.firstOrNull()?.let { nowMillis - it.sinceMillis } ?: 0

    private companion object {
        const val PART_MERGE_MILLIS = 10
    }
}

private class ShardedMemoryBudget(
    private val settings: MemorySettings,
    private val nowMillis: () -> Long,
) : MemoryBudget {
    private val streams = ConcurrentHashMap<StreamId, StreamUsage>()
    private val used = AtomicLong()
    private val releases = MutableStateFlow(0L)

    override val usedBytes: Long get() = used.get()

    override fun open(stream: StreamId) {
        streams.putIfAbsent(stream, StreamUsage(stream))
    }

    override fun reserve(
        stream: StreamId,
        bytes: Long,
    ): MemoryDecision {
        val usage = streams[stream] ?: return MemoryDecision.End(stream)
        if (!fitsStreamLimit(usage, bytes)) return MemoryDecision.Pause
        if (!tryReserveUsed(bytes, limitFor(usage))) return decisionAtLimit(usage, bytes)
        if (usage.add(bytes, nowMillis())) return MemoryDecision.Granted
        releaseUsed(bytes)
        return MemoryDecision.End(stream)
    }

    /** Adds [bytes] to the total unless it would exceed [limitBytes]. */
    private fun tryReserveUsed(
        bytes: Long,
        limitBytes: Long,
    ): Boolean {
        while (true) {
            val usedBefore = used.get()
            if (usedBefore + bytes > limitBytes) return false
            if (used.compareAndSet(usedBefore, usedBefore + bytes)) return true
        }
    }

    override fun release(
        stream: StreamId,
        bytes: Long,
    ) {
        val removed = streams[stream]?.remove(bytes) ?: return
        releaseUsed(removed)
    }

    override fun close(stream: StreamId) {
        val usage = streams.remove(stream) ?: return
        releaseUsed(usage.close())
    }

    override suspend fun awaitCapacity(
        stream: StreamId,
        bytes: Long,
    ) {
        releases.first {
            val usage = streams[stream] ?: return@first true
            fitsStreamLimit(usage, bytes) && used.get() + bytes <= limitFor(usage)
        }
    }

    private fun releaseUsed(bytes: Long) {
        used.addAndGet(-bytes)
        releases.update { it + 1 }
    }

    /** Accepts a first part of any size, because one above the limit would otherwise block its stream forever. */
    private fun fitsStreamLimit(
        usage: StreamUsage,
        bytes: Long,
    ): Boolean = usage.heldBytes == 0L || usage.heldBytes + bytes <= settings.streamBytes

    private fun limitFor(usage: StreamUsage): Long = if (isSlow(usage)) settings.softBytes else settings.hardBytes

    private fun isSlow(usage: StreamUsage): Boolean = usage.oldestAgeMillis(nowMillis()) > settings.slowAfterMillis

    private fun decisionAtLimit(
        caller: StreamUsage,
        bytes: Long,
    ): MemoryDecision {
        if (used.get() + bytes <= settings.hardBytes) return MemoryDecision.Pause
        val victim = streams.values.filter(::isSlow).maxByOrNull { it.heldBytes } ?: return MemoryDecision.Pause
        return if (isSlow(caller) && victim !== caller) MemoryDecision.Pause else MemoryDecision.End(victim.stream)
    }
}
