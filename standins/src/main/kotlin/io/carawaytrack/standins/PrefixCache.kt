/*
 * The prefix cache of an engine stand-in: blocks of prompt text under a chained hash, the least recently used of which
 * gives way. What it stores and removes is published as events, late and with gaps.
 */
package io.carawaytrack.standins

import kotlinx.serialization.Serializable
import kotlin.random.Random

/** Characters of prompt that one block of the prefix cache covers. */
public const val PREFIX_BLOCK_CHARS: Int = 64

/** Tells what happened to a block. */
@Serializable
public enum class CacheEventKind { Stored, Removed, Cleared }

/**
 * Reports one change of the prefix cache.
 *
 * @property sequence rises by one with each change, so that a gap shows
 * @property block hash of the prefix that ends with this block; 0 when all were cleared
 */
@Serializable
public data class CacheEvent(
    val sequence: Long,
    val atMillis: Long,
    val kind: CacheEventKind,
    val block: Long,
)

/** Returns the hash of every whole block of [prompt], each covering all text before its end. */
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

    /** Returns how many tokens of [prompt] were cached, and caches all of it. */
    fun take(prompt: String): Long = synchronized(lock) {
        val wanted = prefixBlocks(prompt)
        val cached = wanted.takeWhile { blocks.containsKey(it) }.size
        wanted.forEach(::store)
        tokensOf(prompt.take(cached * PREFIX_BLOCK_CHARS))
    }

    /** Forgets everything, as a restart does. */
    fun clear(): Unit = synchronized(lock) {
        blocks.clear()
        publish(CacheEventKind.Cleared, 0)
    }

    /** Returns the events after [sequence] that are old enough to be shown. */
    fun eventsAfter(sequence: Long): List<CacheEvent> = synchronized(lock) {
        val newestMillis = nowMillis() - settings.eventLagMillis
        events.filter { it.sequence > sequence && it.atMillis <= newestMillis }
    }

    private fun store(block: Long) {
        if (blocks.get(block) != null || settings.cacheBlocks == 0) return
        if (blocks.size >= settings.cacheBlocks) {
            val oldest = blocks.keys.first()
            blocks.remove(oldest)
            publish(CacheEventKind.Removed, oldest)
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
