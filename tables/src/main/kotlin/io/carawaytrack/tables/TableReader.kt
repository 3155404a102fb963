/*
 * Reads the two tables from the operator's files. The reader checks only types. TableChecks.kt validates the values;
 * the reader adds the file and line to the faults found there.
 */
package io.carawaytrack.tables

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.Organisation
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.Pool
import io.carawaytrack.model.PoolMember
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.Priority
import io.carawaytrack.model.Route
import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.Tables
import io.carawaytrack.model.UpstreamId
import java.nio.file.Path

// Rows that supply the defaults of optional keys.
private val defaultOrganisation = Organisation(OrganisationName(""), emptyList(), emptyList())
private val defaultRoute = Route("", ServiceKind.Model, emptyList(), "", null, emptyList(), PoolName(""))
private val defaultMember = PoolMember(ModelVersion("", ""))

private const val KIND_KEY = "kind"

private val kinds = ServiceKind.entries.associateBy { it.name.lowercase() }
private val priorities = Priority.entries.associateBy { it.name.lowercase() }

/** Holds the rows of the routes file. */
private data class RoutesFile(
    val organisations: List<Organisation>,
    val routes: List<Route>,
)

/** Reads and validates both tables; returns either the tables or all faults, sorted by file and line. */
public fun readTables(
    routesFile: Path,
    poolsFile: Path,
): Result<Tables, List<Fault>> {
    val routes = readToml(routesFile) { routesFile() }
    val pools = readToml(poolsFile) { rows("pool") { pool() } }
    val readFaults = (routes.faults + pools.faults).sortedByLine()
    val routesValue = routes.completeValue()
    val poolsValue = pools.completeValue()
    // References to and from a row without a valid kind cannot be checked.
    val kindsKnown = readFaults.none { it.key.endsWith(".$KIND_KEY") }
    if (routesValue == null || poolsValue == null || !kindsKnown) return Err(readFaults)

    val tables = Tables(routesValue.organisations, routesValue.routes, poolsValue)
    val locations =
        mapOf(
            ROUTES_TABLE to TableLocations(routesFile, routes),
            POOLS_TABLE to TableLocations(poolsFile, pools),
        )
    val checkFaults = checkTables(tables).mapNotNull { locations.getValue(it.file).locate(it) }
    val faults = readFaults + checkFaults
    return if (faults.isEmpty()) Ok(tables) else Err(faults.sortedByLine())
}

private fun List<Fault>.sortedByLine(): List<Fault> = sortedWith(compareBy(Fault::file, Fault::line))

/** Adds the file and line to the faults of a table's checks. */
private class TableLocations(
    private val file: Path,
    private val result: ReadResult<*>,
) {
    /** Returns [fault] with its file and line, or null if the reader has already reported the same key. */
    fun locate(fault: Fault): Fault? {
        val alreadyReported = result.faults.any { it.key == fault.key || it.key.startsWith("${fault.key}[") }
        if (alreadyReported) return null
        return fault.copy(file = file.toString(), line = lineOf(fault.key))
    }

    /** Returns the line of [key], or of its row if the key is missing. */
    private fun lineOf(key: String): Int = result.lines[key] ?: result.lines[key.substringBeforeLast('.')] ?: 0
}

private fun TomlReader.routesFile() = RoutesFile(
    organisations = rows("organisation") { organisation() },
    routes = rows("route") { route() },
)

/** Reads the rows of [key]; reports a fault if there are none, because that is more likely a mistake than intended. */
private fun <T : Any> TomlReader.rows(
    key: String,
    read: TomlReader.() -> T,
): List<T> {
    if (!has(key)) report(key, "at least one [[$key]]")
    return tables(key, read)
}

private fun TomlReader.organisation() = Organisation(
    name = OrganisationName(text("name")),
    keySha256 = textList("key_sha256"),
    allows = textList("allows"),
    share = int("share", Int.MIN_VALUE..Int.MAX_VALUE, defaultOrganisation.share),
)

private fun TomlReader.route() = Route(
    name = text("name"),
    kind = kind(),
    methods = textList("methods"),
    pathPrefix = text("path_prefix"),
    model = optionalText("model"),
    organisations = textList("organisations"),
    pool = PoolName(text("pool")),
    qualityTarget = decimal("quality_target", defaultRoute.qualityTarget),
    repeatableMethods = textList("repeatable_methods", defaultRoute.repeatableMethods),
    priority = priority(),
    timeoutMillis = long("timeout_millis", Long.MIN_VALUE..Long.MAX_VALUE, defaultRoute.timeoutMillis),
)

private fun TomlReader.pool() = Pool(
    name = PoolName(text("name")),
    kind = kind(),
    members = tables("member") { member() },
    includes = textList("includes", emptyList()).map(::PoolName),
)

private fun TomlReader.member() = PoolMember(
    version = version(),
    costPerKiloToken = decimal("cost_per_kilotoken", defaultMember.costPerKiloToken),
    expectedQuality = decimal("expected_quality", defaultMember.expectedQuality),
    weight = int("weight", Int.MIN_VALUE..Int.MAX_VALUE, defaultMember.weight),
    upstreams = textList("upstreams", emptyList()).map(::UpstreamId),
)

/** Reads a plain service from `service`, or the version of a model from `model` and `version`. */
private fun TomlReader.version(): ModelVersion = if (has("service")) {
    ModelVersion(text("service"), ModelVersion.SERVICE_VERSION)
} else {
    ModelVersion(text("model"), text("version"))
}

private fun TomlReader.kind(): ServiceKind = kinds.getValue(choice(KIND_KEY, kinds.keys))

private fun TomlReader.priority(): Priority =
    priorities.getValue(choice("priority", priorities.keys, defaultRoute.priority.name.lowercase()))
