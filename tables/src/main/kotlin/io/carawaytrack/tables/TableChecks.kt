/*
 * What the two tables must fulfil, whether they come from files or over the administration API. Keys are named as in
 * the files, rows by their index from 0, so that a reader of the files can find the line.
 */
package io.carawaytrack.tables

import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.Tables
import io.carawaytrack.model.VersionState
import io.carawaytrack.model.membersOf

/** File name of faults in the organisations and routes when the tables come from no file. */
public const val ROUTES_TABLE: String = "routes"

/** File name of faults in the pools when the tables come from no file. */
public const val POOLS_TABLE: String = "pools"

internal val qualities = 0.0..1.0

internal val nameForm = Regex("[A-Za-z0-9][A-Za-z0-9._/-]{0,127}")

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

/** Renders a kind as the tables write it. */
internal fun ServiceKind.word(): String = name.lowercase()
