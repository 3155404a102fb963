/*
 * Resolves pools together with the pools that they include.
 */
package io.carawaytrack.model

/** Returns the pool [name] and the pools that it includes directly or indirectly; cyclic includes are allowed. */
public fun Tables.reachableFrom(name: PoolName): List<Pool> {
    val reachable = linkedMapOf<PoolName, Pool>()
    val pending = ArrayDeque(listOf(name))
    while (pending.isNotEmpty()) {
        val next = pending.removeFirst()
        val pool = pools.firstOrNull { it.name == next }
        if (pool == null || next in reachable) continue
        reachable[next] = pool
        pending += pool.includes
    }
    return reachable.values.toList()
}

/**
 * Returns the members of [pool] and of the pools that it includes. If a version occurs several times, the member with
 * the shortest path of includes is used.
 */
public fun Tables.membersOf(pool: PoolName): List<PoolMember> =
    reachableFrom(pool).flatMap(Pool::members).distinctBy(PoolMember::version)
