/*
 * The prefix cache of an engine stand-in: blocks of prompt text, identified by a chained hash, with eviction of the
 * least recently used block. Changes are published as events, with the configured lag and loss.
 */
package io.carawaytrack.standins

import kotlinx.serialization.Serializable
import kotlin.random.Random

/** Length of a block of the prefix cache, in characters of prompt. */
public const val PREFIX_BLOCK_CHARS: Int = 64

/** Type of change to the prefix cache. */
@Serializable
public enum class CacheEventKind { Stored, Removed, Cleared }

/**
 * A change of the prefix cache.
 *
 * @property sequence incremented with each change, so that lost events can be detected
 * @property block hash of the prefix that ends with this block; 0 for [CacheEventKind.Cleared]
 */
@Serializable
public data class CacheEvent(
    val sequence: Long,
    val atMillis: Long,
    val kind: CacheEventKind,
    val block: Long,
)

/** Returns a hash for each complete block of [prompt], which covers the prompt up to the end of the block. */
public fun prefixBlocks(prompt: String): List<Long> = prompt
    .chunked(PREFIX_BLOCK_CHARS)
    .filter { it.length == PREFIX_BLOCK_CHARS }
    .runningFold(0L) { hash, block -> seedOf(hash, block) }
    .drop(1)

internal class PrefixCache(
    private val settings: EngineSettings,
    private val nowMillis: () -> Long,
) {
    private val lock = Any()
    private val blocks = LinkedHashMap<Long, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private val events = ArrayDeque<CacheEvent>()
    private val random = Random(settings.seed)
    private var sequence = 0L

    /** Share of the capacity in use, 0 to 1. */
    val used: Double get() = synchronized(lock) { blocks.size.toDouble() / maxOf(1, settings.cacheBlocks) }

    /** Returns the number of tokens of [prompt] that were cached, and stores all of its complete blocks. */
    fun lookUpAndStore(prompt: String): Long = synchronized(lock) {
        val promptBlocks = prefixBlocks(prompt)
        val cached = promptBlocks.takeWhile { blocks.containsKey(it) }.size
        promptBlocks.forEach(::store)
        tokensOf(prompt.take(cached * PREFIX_BLOCK_CHARS))
    }

    /** Removes all blocks, as on a restart. */
    fun clear(): Unit = synchronized(lock) {
        blocks.clear()
        publish(CacheEventKind.Cleared, 0)
    }

    /** Returns the events after [sequence] that are older than the event lag. */
    fun eventsAfter(sequence: Long): List<CacheEvent> = synchronized(lock) {
        val latestMillis = nowMillis() - settings.eventLagMillis
        events.filter { it.sequence > sequence && it.atMillis <= latestMillis }
    }

    private fun store(block: Long) {
        if (blocks.get(block) != null || settings.cacheBlocks == 0) return
        if (blocks.size >= settings.cacheBlocks) {
            val leastRecentlyUsed = blocks.keys.first()
            blocks.remove(leastRecentlyUsed)
            publish(CacheEventKind.Removed, leastRecentlyUsed)
        }
        blocks[block] = Unit
        publish(CacheEventKind.Stored, block)
    }

    private fun publish(
        kind: CacheEventKind,
        block: Long,
    ) {
        sequence += 1
        if (random.nextDouble() < settings.eventLossRatio) return
        events.addLast(CacheEvent(sequence, nowMillis(), kind, block))
        if (events.size > MAX_EVENTS) events.removeFirst()
    }

    private companion object {
        const val MAX_EVENTS = 4_096
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
