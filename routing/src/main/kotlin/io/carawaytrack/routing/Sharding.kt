/*
 * Helpers for state that is divided into shards with a lock each.
 */
package io.carawaytrack.routing

import com.dynatrace.hash4j.hashing.Hashing
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random

/** Returns the index of the shard, from 0 to [shards] - 1, that holds the state of [key]. */
internal fun shardIndex(
    key: String,
    shards: Int,
): Int = Math.floorMod(Hashing.wyhashFinal4().hashCharsToLong(key), shards)

/** Makes [random] safe to share between threads. */
internal class LockedRandom(
    private val random: Random,
) : Random() {
    private val lock = ReentrantLock()

    override fun nextBits(bitCount: Int): Int = lock.withLock { random.nextBits(bitCount) }
}
