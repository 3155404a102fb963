/*
 * The bytes of answers that a process holds for its readers, bounded for each stream and for all together.
 *
 * The rule when memory runs out: a stream at its own bound pauses. Above the soft bound of the process a slow stream
 * pauses and a fast one goes on. At the hard bound the slow stream that holds the most is ended; where no stream is
 * slow, the asking one pauses and none is ended. A stream is slow when its oldest byte has waited for its reader longer
 * than a set time, so a reader that trickles is slow and one that holds much for a moment is not.
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
 * Sets up a memory budget.
 *
 * @property hardBytes most that all streams may hold
 * @property softBytes held bytes above which slow streams get no more
 * @property streamBytes most that one stream may hold
 * @property slowAfterMillis time that a byte may wait for its reader before the stream counts as slow
 */
public data class MemorySettings(
    val hardBytes: Long,
    val softBytes: Long = (hardBytes * SOFT_SHARE).toLong(),
    val streamBytes: Long,
    val slowAfterMillis: Long = 1_000,
)

private const val SOFT_SHARE = 0.75

/** Tells what a stream that asked for memory has to do. */
public sealed interface MemoryDecision {
    /** The bytes are reserved. */
    public data object Granted : MemoryDecision

    /** Nothing is reserved; the stream stops reading from its source until [MemoryBudget.awaitCapacity] returns. */
    public data object Pause : MemoryDecision

    /**
     * Nothing is reserved; the caller ends [stream], closes it here, and asks again. Where [stream] is the asking one,
     * it is to be ended itself, or has been closed already.
     */
    public data class End(
        val stream: StreamId,
    ) : MemoryDecision
}

/** Bounds the memory that streams hold. */
public interface MemoryBudget {
    /** Bytes held now. */
    public val usedBytes: Long

    /** Makes [stream] known, with nothing held. */
    public fun open(stream: StreamId)

    /** Reserves [bytes] for [stream]. */
    public fun reserve(
        stream: StreamId,
        bytes: Long,
    ): MemoryDecision

    /** Gives back [bytes] that the reader of [stream] has taken. */
    public fun release(
        stream: StreamId,
        bytes: Long,
    )

    /** Forgets [stream] and gives back all it holds. */
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

/** Counts what one stream holds, under its own lock. */
private class StreamHolding(
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

    /** Returns false, and adds nothing, when the stream has been closed. */
    @Synchronized
    fun add(
        bytes: Long,
        nowMillis: Long,
    ): Boolean {
        if (isClosed) return false
        heldBytes += bytes
        val last = parts.lastOrNull()
        if (last != null && nowMillis - last.sinceMillis < PART_MILLIS) {
            last.bytes += bytes
        } else {
            parts.addLast(Part(nowMillis, bytes))
        }
        return true
    }

    /** Takes off all bytes and returns how many there were. */
    @Synchronized
    fun close(): Long {
        isClosed = true
        return take(heldBytes)
    }

    /** Takes off the oldest bytes and returns how many there were. */
    @Synchronized
    fun take(bytes: Long): Long {
        var left = minOf(bytes, heldBytes)
        val taken = left
        heldBytes -= taken
        while (left > 0) {
            val first = parts.first()
            val part = minOf(left, first.bytes)
            first.bytes -= part
            left -= part
            if (first.bytes == 0L) parts.removeFirst()
        }
        return taken
    }

    /** Time that the oldest byte has waited. */
    @Synchronized
    fun waitedMillis(nowMillis: Long): Long = parts.firstOrNull()?.let { nowMillis - it.sinceMillis } ?: 0

    private companion object {
        const val PART_MILLIS = 10
    }
}

private class ShardedMemoryBudget(
    private val settings: MemorySettings,
    private val nowMillis: () -> Long,
) : MemoryBudget {
    private val streams = ConcurrentHashMap<StreamId, StreamHolding>()
    private val used = AtomicLong()
    private val releases = MutableStateFlow(0L)

    override val usedBytes: Long get() = used.get()

    override fun open(stream: StreamId) {
        streams.putIfAbsent(stream, StreamHolding(stream))
    }

    override fun reserve(
        stream: StreamId,
        bytes: Long,
    ): MemoryDecision {
        val holding = streams[stream] ?: return MemoryDecision.End(stream)
        if (!fitsStream(holding, bytes)) return MemoryDecision.Pause
        if (!take(bytes, boundFor(holding))) return decisionWhenFull(holding, bytes)
        if (holding.add(bytes, nowMillis())) return MemoryDecision.Granted
        giveBack(bytes)
        return MemoryDecision.End(stream)
    }

    /** Counts [bytes] as used unless that would pass [boundBytes]. */
    private fun take(
        bytes: Long,
        boundBytes: Long,
    ): Boolean {
        while (true) {
            val usedBefore = used.get()
            if (usedBefore + bytes > boundBytes) return false
            if (used.compareAndSet(usedBefore, usedBefore + bytes)) return true
        }
    }

    override fun release(
        stream: StreamId,
        bytes: Long,
    ) {
        val taken = streams[stream]?.take(bytes) ?: return
        giveBack(taken)
    }

    override fun close(stream: StreamId) {
        val holding = streams.remove(stream) ?: return
        giveBack(holding.close())
    }

    override suspend fun awaitCapacity(
        stream: StreamId,
        bytes: Long,
    ) {
        releases.first {
            val holding = streams[stream] ?: return@first true
            fitsStream(holding, bytes) && used.get() + bytes <= boundFor(holding)
        }
    }

    private fun giveBack(bytes: Long) {
        used.addAndGet(-bytes)
        releases.update { it + 1 }
    }

    /** Takes a first part of any size, so that one above the bound does not stop a stream for ever. */
    private fun fitsStream(
        holding: StreamHolding,
        bytes: Long,
    ): Boolean = holding.heldBytes == 0L || holding.heldBytes + bytes <= settings.streamBytes

    private fun boundFor(holding: StreamHolding): Long = if (isSlow(holding)) settings.softBytes else settings.hardBytes

    private fun isSlow(holding: StreamHolding): Boolean = holding.waitedMillis(nowMillis()) > settings.slowAfterMillis

    private fun decisionWhenFull(
        asking: StreamHolding,
        bytes: Long,
    ): MemoryDecision {
        if (used.get() + bytes <= settings.hardBytes) return MemoryDecision.Pause
        val slowest = streams.values.filter(::isSlow).maxByOrNull { it.heldBytes } ?: return MemoryDecision.Pause
        return if (isSlow(asking) && slowest !== asking) MemoryDecision.Pause else MemoryDecision.End(slowest.stream)
    }
}
