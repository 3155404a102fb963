/*
 * Validates routes, including their references to organisations and pools.
 */
package io.carawaytrack.tables

import io.carawaytrack.model.Organisation
import io.carawaytrack.model.PoolMember
import io.carawaytrack.model.Route
import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.Tables
import io.carawaytrack.model.membersOf

/** Matches all organisations in a route. */
private const val ALL_ORGANISATIONS = "*"

private const val MAX_TIMEOUT_MILLIS = 3_600_000L

private val timeoutRangeMillis = 1L..MAX_TIMEOUT_MILLIS
private val supportedMethods = setOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

/** Returns all faults of the routes of [tables]. */
internal fun checkRoutes(tables: Tables): List<Fault> {
    val faults = FaultList(ROUTES_TABLE)
    faults.checkDistinct(tables.routes.map(Route::name)) { "route[$it].name" }
    tables.routes.forEachIndexed { index, route ->
        val row = "route[$index]"
        faults.checkRoute(row, route)
        faults.checkReferences(row, route, tables)
        faults.checkOverlap(row, route, tables.routes.take(index))
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
    checkRange("$row.quality_target", route.qualityTarget, qualityRange)
    checkRange("$row.timeout_millis", route.timeoutMillis, timeoutRangeMillis)
}

private fun FaultList.checkMethods(
    row: String,
    route: Route,
) {
    checkNotEmpty("$row.methods", route.methods)
    route.methods.forEachIndexed { n, method ->
        if (method !in supportedMethods) add("$row.methods[$n]", method, "one of ${supportedMethods.joinToString()}")
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
                "no model, because the route is of kind service",
            )
        route.kind == ServiceKind.Model && model == null -> add(key, null, "the model that callers name")
        model != null -> checkName(key, model)
    }
}

private fun FaultList.checkReferences(
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
        add("$row.pool", route.pool, "a pool of kind ${route.kind.keyword()}")
        return
    }
    val members = tables.membersOf(route.pool)
    if (members.isEmpty()) return
    checkAllowances(row, route, tables.organisations, members)
    checkQualityTarget(row, route, tables.organisations, members)
}

/** Adds a fault for each listed organisation that allows none of [candidates], and for `*` if no organisation does. */
internal fun FaultList.checkAllowances(
    row: String,
    route: Route,
    organisations: List<Organisation>,
    candidates: List<PoolMember>,
) {
    val versions = candidates.map { it.version.toString() }.ifEmpty { listOf("(no version is serving)") }
    val expected = "an organisation that allows one of: ${versions.joinToString()}"
    forEachOrganisationName(row, route, organisations) { key, name, matching ->
        if (matching.none { it.allowsAny(candidates) }) add(key, name, expected)
    }
}

/** Adds a fault if no member reaches the quality target, or none that a listed organisation allows. */
private fun FaultList.checkQualityTarget(
    row: String,
    route: Route,
    organisations: List<Organisation>,
    members: List<PoolMember>,
) {
    val target = route.qualityTarget
    if (target !in qualityRange || target == 0.0) return
    if (route.kind == ServiceKind.Service) {
        add("$row.quality_target", target, "0, because answers of plain services are not rated")
        return
    }
    val sufficient = members.filter { it.expectedQuality >= target }
    if (sufficient.isEmpty()) {
        val best = members.maxOf(PoolMember::expectedQuality)
        add("$row.quality_target", target, "at most $best, the best expected quality in pool ${route.pool}")
        return
    }
    val expected = "an organisation that allows a version of expected quality $target or more"
    forEachOrganisationName(row, route, organisations) { key, name, matching ->
        val mayRun = matching.any { it.allowsAny(members) }
        if (mayRun && matching.none { it.allowsAny(sufficient) }) add(key, name, expected)
    }
}

/** Calls [check] for each name that [route] lists, with the known organisations that it matches. */
private fun forEachOrganisationName(
    row: String,
    route: Route,
    organisations: List<Organisation>,
    check: (key: String, name: String, matching: List<Organisation>) -> Unit,
) {
    route.organisations.forEachIndexed { n, name ->
        val matching = organisations.filter { name == ALL_ORGANISATIONS || name == it.name.value }
        if (matching.isNotEmpty() || name == ALL_ORGANISATIONS) check("$row.organisations[$n]", name, matching)
    }
}

private fun Organisation.allowsAny(members: List<PoolMember>): Boolean = members.any { allows(it.version) }

/** Adds a fault if [route] matches requests that a route of [earlier] also matches. */
private fun FaultList.checkOverlap(
    row: String,
    route: Route,
    earlier: List<Route>,
) {
    val overlapping = earlier.firstOrNull { it.overlaps(route) } ?: return
    add(
        "$row.path_prefix",
        route.pathPrefix,
        "a method, path, model or organisation that route ${overlapping.name} does not match",
    )
}

private fun Route.overlaps(other: Route): Boolean =
    pathPrefix == other.pathPrefix && model == other.model && sharesMethod(other) && sharesOrganisation(other)

private fun Route.sharesMethod(other: Route): Boolean = methods.any(other.methods::contains)

private fun Route.sharesOrganisation(other: Route): Boolean {
    val all = ALL_ORGANISATIONS in organisations || ALL_ORGANISATIONS in other.organisations
    return all || organisations.any(other.organisations::contains)
}
