/*
 * Validates pools, including the pools that they include.
 */
package io.carawaytrack.tables

import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.Pool
import io.carawaytrack.model.PoolMember
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.Tables
import io.carawaytrack.model.reachableFrom

private const val MAX_WEIGHT = 1_000
private const val MAX_COST_PER_KILO_TOKEN = 1_000_000.0

private val weightRange = 1..MAX_WEIGHT
private val costRange = 0.0..MAX_COST_PER_KILO_TOKEN

/** Returns all faults of the pools of [tables]. */
internal fun checkPools(tables: Tables): List<Fault> {
    val faults = FaultList(POOLS_TABLE)
    faults.checkDistinct(tables.pools.map(Pool::name)) { "pool[$it].name" }
    tables.pools.forEachIndexed { index, pool -> faults.checkPool("pool[$index]", pool, tables) }
    return faults.found
}

private fun FaultList.checkPool(
    row: String,
    pool: Pool,
    tables: Tables,
) {
    checkName("$row.name", pool.name.value)
    pool.members.forEachIndexed { n, member -> checkMember("$row.member[$n]", member, pool.kind) }
    checkDistinct(pool.members.map(PoolMember::version)) { "$row.member[$it]" }
    checkDistinct(pool.includes) { "$row.includes[$it]" }
    pool.includes.forEachIndexed { n, included -> checkInclude("$row.includes[$n]", pool, included, tables) }
    val reachable = tables.reachableFrom(pool.name)
    if (reachable.all { it.members.isEmpty() }) add("$row.member", null, "at least one [[pool.member]] or include")
    if (pool.includes.isNotEmpty()) checkConsistentMembers(row, reachable)
}

private fun FaultList.checkMember(
    row: String,
    member: PoolMember,
    kind: ServiceKind,
) {
    val isService = member.version.version == ModelVersion.SERVICE_VERSION
    val nameKey = if (isService) "$row.service" else "$row.model"
    checkName(nameKey, member.version.model)
    if (!isService) checkName("$row.version", member.version.version)
    if (isService != (kind == ServiceKind.Service)) add(nameKey, member.version, "a member of kind ${kind.keyword()}")
    checkRange("$row.cost_per_kilotoken", member.costPerKiloToken, costRange)
    checkRange("$row.expected_quality", member.expectedQuality, qualityRange)
    checkRange("$row.weight", member.weight, weightRange)
    member.upstreams.forEachIndexed { n, upstream -> checkName("$row.upstreams[$n]", upstream.value) }
}

private fun FaultList.checkInclude(
    key: String,
    pool: Pool,
    included: PoolName,
    tables: Tables,
) {
    val target = tables.pools.firstOrNull { it.name == included }
    when {
        target == null -> add(key, included, "the name of a pool")
        target.kind != pool.kind -> add(key, included, "a pool of kind ${pool.kind.keyword()}")
        tables.reachableFrom(included).any { it.name == pool.name } ->
            add(key, included, "a pool that does not include ${pool.name}")
    }
}

/** Adds a fault for each version that the [reachable] pools describe differently. */
private fun FaultList.checkConsistentMembers(
    row: String,
    reachable: List<Pool>,
) {
    reachable
        .flatMap(Pool::members)
        .distinct()
        .groupBy(PoolMember::version)
        .filterValues { it.size > 1 }
        .keys
        .forEach { add("$row.includes", it, "the same cost, quality, weight and upstreams in all rows of a version") }
}
