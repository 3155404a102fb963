/*
 * Helpers for state that is spread over shards, each under its own lock.
 */
package io.carawaytrack.routing

import com.dynatrace.hash4j.hashing.Hashing
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random

/** Returns the shard, below [shards], that holds the state of [key]. */
internal fun shardIndex(
    key: String,
    shards: Int,
): Int = Math.floorMod(Hashing.wyhashFinal4().hashCharsToLong(key), shards)

/** Lets threads share [random], whose own state has no lock. */
internal class LockedRandom(
    private val random: Random,
) : Random() {
    private val lock = ReentrantLock()

    override fun nextBits(bitCount: Int): Int = lock.withLock { random.nextBits(bitCount) }
}
