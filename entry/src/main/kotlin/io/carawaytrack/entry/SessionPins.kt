/*
 * Remembers the versions of recent sessions, which the ledger has fixed for good, so that only the first request of a
 * session that an entry sees asks the ledger. The oldest are forgotten first.
 */
package io.carawaytrack.entry

import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.SessionId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private const val SHARDS = 16
private const val PINS_PER_SHARD = 4_096

private data class SessionKey(
    val organisation: OrganisationName,
    val session: SessionId,
)

internal class SessionPins {
    private val shards = List(SHARDS) { PinShard() }

    fun of(request: CallerRequest): ModelVersion? {
        val key = request.sessionKey() ?: return null
        return shardOf(key).of(key)
    }

    fun keep(
        request: CallerRequest,
        version: ModelVersion,
    ) {
        val key = request.sessionKey() ?: return
        shardOf(key).keep(key, version)
    }

    private fun shardOf(key: SessionKey) = shards[Math.floorMod(key.hashCode(), SHARDS)]

    private fun CallerRequest.sessionKey() = session?.let { SessionKey(organisation.name, it) }
}

private class PinShard {
    private val lock = ReentrantLock()
    private val pins =
        object : LinkedHashMap<SessionKey, ModelVersion>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<SessionKey, ModelVersion>) = size > PINS_PER_SHARD
        }

    fun of(key: SessionKey): ModelVersion? = lock.withLock { pins[key] }

    fun keep(
        key: SessionKey,
        version: ModelVersion,
    ): Unit = lock.withLock { pins[key] = version }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
