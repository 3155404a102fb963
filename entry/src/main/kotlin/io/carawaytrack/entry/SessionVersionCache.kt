/*
 * Caches the model versions of recent sessions. The ledger never changes the version of a session, so only the first
 * request of a session at this entry consults the ledger. Evicts the least recently used sessions.
 */
package io.carawaytrack.entry

import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.SessionId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private const val SHARD_COUNT = 16
private const val SESSIONS_PER_SHARD = 4_096

private data class SessionKey(
    val organisation: OrganisationName,
    val session: SessionId,
)

internal class SessionVersionCache {
    private val shards = List(SHARD_COUNT) { CacheShard() }

    fun find(request: CallerRequest): ModelVersion? {
        val key = request.sessionKey() ?: return null
        return shardOf(key).find(key)
    }

    fun put(
        request: CallerRequest,
        version: ModelVersion,
    ) {
        val key = request.sessionKey() ?: return
        shardOf(key).put(key, version)
    }

    private fun shardOf(key: SessionKey) = shards[Math.floorMod(key.hashCode(), SHARD_COUNT)]

    private fun CallerRequest.sessionKey() = session?.let { SessionKey(organisation.name, it) }
}

private class CacheShard {
    private val lock = ReentrantLock()
    private val versions =
        object : LinkedHashMap<SessionKey, ModelVersion>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<SessionKey, ModelVersion>) = size > SESSIONS_PER_SHARD
        }

    fun find(key: SessionKey): ModelVersion? = lock.withLock { versions[key] }

    fun put(
        key: SessionKey,
        version: ModelVersion,
    ): Unit = lock.withLock { versions[key] = version }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
