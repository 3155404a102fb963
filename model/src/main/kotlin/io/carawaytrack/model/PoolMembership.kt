/*
 * What a pool's name stands for once the pools that it includes are counted in.
 */
package io.carawaytrack.model

/** Returns the pool [name] and those it includes at any depth; ends also when they include each other. */
public fun Tables.reachableFrom(name: PoolName): List<Pool> {
    val reached = linkedMapOf<PoolName, Pool>()
    val open = ArrayDeque(listOf(name))
    while (open.isNotEmpty()) {
        val next = open.removeFirst()
        val pool = pools.firstOrNull { it.name == next }
        if (pool == null || next in reached) continue
        reached[next] = pool
        open += pool.includes
    }
    return reached.values.toList()
}

/** Lists the versions of [pool] and of the pools that it includes; the nearest description of a version counts. */
public fun Tables.membersOf(pool: PoolName): List<PoolMember> =
    reachableFrom(pool).flatMap(Pool::members).distinctBy(PoolMember::version)
