/*
 * What the two tables must fulfil, whether they come from files or over the administration API. Keys are named as in
 * the files, rows by their index from 0, so that a reader of the files can find the line.
 */
package io.carawaytrack.tables

import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.Organisation
import io.carawaytrack.model.Pool
import io.carawaytrack.model.PoolMember
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.Route
import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.Tables
import io.carawaytrack.model.VersionState

/** File name of faults in the organisations and routes when the tables come from no file. */
public const val ROUTES_TABLE: String = "routes"

/** File name of faults in the pools when the tables come from no file. */
public const val POOLS_TABLE: String = "pools"

/** Stands for every organisation in a route. */
private const val ALL_ORGANISATIONS = "*"

private const val HIGHEST_SHARE = 1_000
private const val HIGHEST_WEIGHT = 1_000
private const val HIGHEST_COST_PER_KILO_TOKEN = 1_000_000.0
private const val HIGHEST_TIMEOUT_MILLIS = 3_600_000L

private val shares = 1..HIGHEST_SHARE
private val weights = 1..HIGHEST_WEIGHT
private val costs = 0.0..HIGHEST_COST_PER_KILO_TOKEN
private val qualities = 0.0..1.0
private val timeoutsMillis = 1L..HIGHEST_TIMEOUT_MILLIS

private val methodNames = setOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
private val nameForm = Regex("[A-Za-z0-9][A-Za-z0-9._/-]{0,127}")
private val digestForm = Regex("[0-9a-f]{64}")

private const val NAME_EXPECTED =
    "a name of at most 128 letters, digits and ._/- that starts with a letter or digit"

/** Checks the tables by themselves; returns every fault, or nothing when they may come into force. */
public fun checkTables(tables: Tables): List<Fault> =
    checkOrganisations(tables.organisations) + checkRoutes(tables) + checkPools(tables)

/**
 * Checks that each route keeps, for each organisation it lists, an allowed version that is serving.
 *
 * @param stateOf state of a version in service, such as that of the configuration in force
 */
public fun checkVersionStates(
    tables: Tables,
    stateOf: (ModelVersion) -> VersionState,
): List<Fault> {
    val faults = FaultList(ROUTES_TABLE)
    tables.routes.forEachIndexed { index, route ->
        val serving = tables.membersOf(route.pool).filter { stateOf(it.version) == VersionState.Serving }
        faults.checkAllowances("route[$index]", route, tables.organisations, serving)
    }
    return faults.found
}

/** Returns the members of [pool] and of the pools it includes, each version once. */
public fun Tables.membersOf(pool: PoolName): List<PoolMember> =
    reachableFrom(pool).flatMap(Pool::members).distinctBy(PoolMember::version)

/** Returns [name]'s pool and those it includes at any depth; ends also when they include each other. */
private fun Tables.reachableFrom(name: PoolName): List<Pool> {
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

/** Collects the faults of one table. */
private class FaultList(
    private val table: String,
) {
    val found = mutableListOf<Fault>()

    fun add(
        key: String,
        value: Any?,
        expected: String,
    ) {
        found += Fault(table, 0, key, value?.toString(), expected)
    }

    fun checkName(
        key: String,
        name: String,
    ) {
        if (!nameForm.matches(name)) add(key, name, NAME_EXPECTED)
    }

    fun <T : Comparable<T>> checkRange(
        key: String,
        value: T,
        allowed: ClosedRange<T>,
    ) {
        if (value !in allowed) add(key, value, "a number from ${allowed.start} to ${allowed.endInclusive}")
    }

    /** Reports each of [values] that stands before it in the list already; [keyOf] names the key of an index. */
    fun checkDistinct(
        values: List<Any>,
        keyOf: (Int) -> String,
    ) {
        val seen = mutableSetOf<Any>()
        values.forEachIndexed { index, value ->
            if (!seen.add(value)) add(keyOf(index), value, "a value that no earlier row has")
        }
    }

    fun checkNotEmpty(
        key: String,
        values: List<Any>,
    ) {
        if (values.isEmpty()) add(key, "[]", "at least one element")
    }
}

private fun checkOrganisations(organisations: List<Organisation>): List<Fault> {
    val faults = FaultList(ROUTES_TABLE)
    faults.checkDistinct(organisations.map(Organisation::name)) { "organisation[$it].name" }
    organisations.forEachIndexed {
        index,
        organisation,
        ->
        faults.checkOrganisation("organisation[$index]", organisation)
    }
    faults.checkDigestOwners(organisations)
    return faults.found
}

private fun FaultList.checkOrganisation(
    row: String,
    organisation: Organisation,
) {
    checkName("$row.name", organisation.name.value)
    checkRange("$row.share", organisation.share, shares)
    checkNotEmpty("$row.key_sha256", organisation.keySha256)
    checkNotEmpty("$row.allows", organisation.allows)
    organisation.keySha256.forEachIndexed { n, digest ->
        if (!digestForm.matches(digest)) add("$row.key_sha256[$n]", digest, "64 lower-case hexadecimal digits")
    }
    organisation.allows.forEachIndexed { n, pattern ->
        if (!isPattern(pattern)) add("$row.allows[$n]", pattern, "a pattern model@version, with * for any part")
    }
}

private fun isPattern(pattern: String): Boolean {
    val parts = ModelVersion.parse(pattern) ?: return false
    return listOf(parts.model, parts.version).all { it == "*" || nameForm.matches(it) }
}

private fun FaultList.checkDigestOwners(organisations: List<Organisation>) {
    val owners = mutableMapOf<String, Organisation>()
    organisations.forEachIndexed { index, organisation ->
        organisation.keySha256.forEachIndexed { n, digest ->
            val owner = owners.putIfAbsent(digest, organisation)
            if (owner != null) {
                add("organisation[$index].key_sha256[$n]", digest, "a digest that ${owner.name} does not have already")
            }
        }
    }
}

private fun checkPools(tables: Tables): List<Fault> {
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
    if (pool.includes.isNotEmpty()) checkOneRowEach(row, reachable)
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
    if (isService != (kind == ServiceKind.Service)) add(nameKey, member.version, "a member of kind ${kind.word()}")
    checkRange("$row.cost_per_kilotoken", member.costPerKiloToken, costs)
    checkRange("$row.expected_quality", member.expectedQuality, qualities)
    checkRange("$row.weight", member.weight, weights)
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
        target.kind != pool.kind -> add(key, included, "a pool of kind ${pool.kind.word()}")
        tables.reachableFrom(included).any { it.name == pool.name } ->
            add(key, included, "a pool that does not include ${pool.name} in turn")
    }
}

/** Reports a version that included pools describe in different ways. */
private fun FaultList.checkOneRowEach(
    row: String,
    reachable: List<Pool>,
) {
    reachable
        .flatMap(Pool::members)
        .distinct()
        .groupBy(PoolMember::version)
        .filterValues { it.size > 1 }
        .keys
        .forEach { add("$row.includes", it, "the same cost, quality, weight and upstreams wherever a version stands") }
}

private fun checkRoutes(tables: Tables): List<Fault> {
    val faults = FaultList(ROUTES_TABLE)
    faults.checkDistinct(tables.routes.map(Route::name)) { "route[$it].name" }
    tables.routes.forEachIndexed { index, route ->
        val row = "route[$index]"
        faults.checkRoute(row, route)
        faults.checkJoin(row, route, tables)
        faults.checkUnambiguous(row, route, tables.routes.take(index))
    }
    return faults.found
}

private fun FaultList.checkRoute(
    row: String,
    route: Route,
) {
    checkName("$row.name", route.name)
    checkMethods(row, route)
    if (!route.pathPrefix.startsWith("/")) add("$row.path_prefix", route.pathPrefix, "a path that starts with /")
    checkModel("$row.model", route)
    checkNotEmpty("$row.organisations", route.organisations)
    checkDistinct(route.organisations) { "$row.organisations[$it]" }
    checkRange("$row.quality_target", route.qualityTarget, qualities)
    checkRange("$row.timeout_millis", route.timeoutMillis, timeoutsMillis)
}

private fun FaultList.checkMethods(
    row: String,
    route: Route,
) {
    checkNotEmpty("$row.methods", route.methods)
    route.methods.forEachIndexed { n, method ->
        if (method !in methodNames) add("$row.methods[$n]", method, "one of ${methodNames.joinToString()}")
    }
    route.repeatableMethods.forEachIndexed { n, method ->
        if (method !in route.methods) add("$row.repeatable_methods[$n]", method, "a method of the route")
    }
}

private fun FaultList.checkModel(
    key: String,
    route: Route,
) {
    val model = route.model
    when {
        route.kind == ServiceKind.Service && model != null ->
            add(
                key,
                model,
                "no model, as the route is of kind service",
            )
        route.kind == ServiceKind.Model && model == null -> add(key, null, "the model that callers name")
        model != null -> checkName(key, model)
    }
}

private fun FaultList.checkJoin(
    row: String,
    route: Route,
    tables: Tables,
) {
    val names = tables.organisations.map { it.name.value }
    route.organisations.forEachIndexed { n, name ->
        val isAll = name == ALL_ORGANISATIONS && route.organisations.size == 1
        if (!isAll &&
            name !in names
        ) {
            add("$row.organisations[$n]", name, "the name of an organisation, or * alone for all")
        }
    }
    val pool = tables.pools.firstOrNull { it.name == route.pool }
    if (pool == null) {
        add("$row.pool", route.pool, "the name of a pool")
        return
    }
    if (pool.kind != route.kind) {
        add("$row.pool", route.pool, "a pool of kind ${route.kind.word()}")
        return
    }
    val members = tables.membersOf(route.pool)
    if (members.isEmpty()) return
    checkAllowances(row, route, tables.organisations, members)
    checkTarget(row, route, tables.organisations, members)
}

/** Reports each listed organisation that allows none of [usable], and `*` when no organisation does. */
private fun FaultList.checkAllowances(
    row: String,
    route: Route,
    organisations: List<Organisation>,
    usable: List<PoolMember>,
) {
    val versions = usable.map { it.version.toString() }.ifEmpty { listOf("(no version is serving)") }
    val expected = "an organisation that allows one of: ${versions.joinToString()}"
    forEachListed(row, route, organisations) { key, name, listed ->
        if (listed.none { it.allowsAny(usable) }) add(key, name, expected)
    }
}

/** Reports a target that no member meets, or that none meets which a listed organisation allows. */
private fun FaultList.checkTarget(
    row: String,
    route: Route,
    organisations: List<Organisation>,
    members: List<PoolMember>,
) {
    val target = route.qualityTarget
    if (target !in qualities || target == 0.0) return
    if (route.kind == ServiceKind.Service) {
        add("$row.quality_target", target, "0, because answers of plain services are not rated")
        return
    }
    val able = members.filter { it.expectedQuality >= target }
    if (able.isEmpty()) {
        val best = members.maxOf(PoolMember::expectedQuality)
        add("$row.quality_target", target, "at most $best, the best expected quality in pool ${route.pool}")
        return
    }
    val expected = "an organisation that allows a version of expected quality $target or more"
    forEachListed(row, route, organisations) { key, name, listed ->
        val mayRun = listed.any { it.allowsAny(members) }
        if (mayRun && listed.none { it.allowsAny(able) }) add(key, name, expected)
    }
}

/** Calls [check] for each name that [route] lists with the known organisations it stands for. */
private fun forEachListed(
    row: String,
    route: Route,
    organisations: List<Organisation>,
    check: (key: String, name: String, listed: List<Organisation>) -> Unit,
) {
    route.organisations.forEachIndexed { n, name ->
        val listed = organisations.filter { name == ALL_ORGANISATIONS || name == it.name.value }
        if (listed.isNotEmpty() || name == ALL_ORGANISATIONS) check("$row.organisations[$n]", name, listed)
    }
}

private fun Organisation.allowsAny(members: List<PoolMember>): Boolean = members.any { allows(it.version) }

/** Reports a route that takes requests which one of [earlier] takes already. */
private fun FaultList.checkUnambiguous(
    row: String,
    route: Route,
    earlier: List<Route>,
) {
    val rival = earlier.firstOrNull { it.takesSameAs(route) } ?: return
    add(
        "$row.path_prefix",
        route.pathPrefix,
        "a method, path, model or organisation that route ${rival.name} does not take",
    )
}

private fun Route.takesSameAs(other: Route): Boolean =
    pathPrefix == other.pathPrefix && model == other.model && sharesMethod(other) && sharesOrganisation(other)

private fun Route.sharesMethod(other: Route): Boolean = methods.any(other.methods::contains)

private fun Route.sharesOrganisation(other: Route): Boolean {
    val all = ALL_ORGANISATIONS in organisations || ALL_ORGANISATIONS in other.organisations
    return all || organisations.any(other.organisations::contains)
}

private fun ServiceKind.word(): String = name.lowercase()
