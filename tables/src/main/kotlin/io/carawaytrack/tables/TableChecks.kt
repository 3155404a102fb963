/*
 * Validates the two tables, whether they come from files or from the administration API. Faults name keys as in the
 * files and rows by their index from 0, so that the line can be found.
 */
package io.carawaytrack.tables

import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.Tables
import io.carawaytrack.model.VersionState
import io.carawaytrack.model.membersOf

/** File name in faults of organisations and routes if the tables were not read from files. */
public const val ROUTES_TABLE: String = "routes"

/** File name in faults of pools if the tables were not read from files. */
public const val POOLS_TABLE: String = "pools"

internal val qualityRange = 0.0..1.0

internal val namePattern = Regex("[A-Za-z0-9][A-Za-z0-9._/-]{0,127}")

private const val NAME_FORMAT =
    "a name of at most 128 letters, digits and ._/- that starts with a letter or digit"

/** Returns all faults of [tables], checked without the state in service; an empty list if they may come into force. */
public fun checkTables(tables: Tables): List<Fault> =
    checkOrganisations(tables.organisations) + checkRoutes(tables) + checkPools(tables)

/**
 * Returns a fault for each organisation of a route that has no allowed version with the state `Serving`.
 *
 * @param stateOf returns the state of a version, such as that in the configuration in force
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

/** Collects the faults of one table. */
internal class FaultList(
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
        if (!namePattern.matches(name)) add(key, name, NAME_FORMAT)
    }

    fun <T : Comparable<T>> checkRange(
        key: String,
        value: T,
        allowed: ClosedRange<T>,
    ) {
        if (value !in allowed) add(key, value, "a number from ${allowed.start} to ${allowed.endInclusive}")
    }

    /** Adds a fault for each of [values] that equals an earlier one; [keyOf] returns the key of an index. */
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

/** Returns the kind as it is written in the tables. */
internal fun ServiceKind.keyword(): String = name.lowercase()
