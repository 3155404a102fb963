/*
 * The two tables as operators write them. Reading settles the types only; whether the values make sense is left to the
 * checks of TableChecks.kt, whose faults get here the file and line that they concern.
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

/** Gives the defaults of the keys that a row may leave out. */
private val plainOrganisation = Organisation(OrganisationName(""), emptyList(), emptyList())
private val plainRoute = Route("", ServiceKind.Model, emptyList(), "", null, emptyList(), PoolName(""))
private val plainMember = PoolMember(ModelVersion("", ""))

private const val KIND_KEY = "kind"

private val kinds = ServiceKind.entries.associateBy { it.name.lowercase() }
private val priorities = Priority.entries.associateBy { it.name.lowercase() }

/** Holds what the routes file says. */
private data class RoutesFile(
    val organisations: List<Organisation>,
    val routes: List<Route>,
)

/** Reads and checks both tables; returns either the tables or every fault, by file and line. */
public fun readTables(
    routesFile: Path,
    poolsFile: Path,
): Result<Tables, List<Fault>> {
    val routes = readToml(routesFile) { routesFile() }
    val pools = readToml(poolsFile) { rows("pool") { pool() } }
    val readFaults = (routes.faults + pools.faults).inOrder()
    val routesRead = routes.completeValue()
    val poolsRead = pools.completeValue()
    // Without its kind a row cannot be held against the rows it is joined to.
    val kindsKnown = readFaults.none { it.key.endsWith(".$KIND_KEY") }
    if (routesRead == null || poolsRead == null || !kindsKnown) return Err(readFaults)

    val tables = Tables(routesRead.organisations, routesRead.routes, poolsRead)
    val places = mapOf(ROUTES_TABLE to TablePlaces(routesFile, routes), POOLS_TABLE to TablePlaces(poolsFile, pools))
    val checkFaults = checkTables(tables).mapNotNull { places.getValue(it.file).place(it) }
    val faults = readFaults + checkFaults
    return if (faults.isEmpty()) Ok(tables) else Err(faults.inOrder())
}

private fun List<Fault>.inOrder(): List<Fault> = sortedWith(compareBy(Fault::file, Fault::line))

/** Gives the faults of the checks their place in a table's file. */
private class TablePlaces(
    private val file: Path,
    private val reading: Reading<*>,
) {
    /** Returns [fault] with its file and line, or null when the same key was already found faulty while reading. */
    fun place(fault: Fault): Fault? {
        val known = reading.faults.any { it.key == fault.key || it.key.startsWith("${fault.key}[") }
        if (known) return null
        return fault.copy(file = file.toString(), line = lineOf(fault.key))
    }

    /** Returns the line of [key], or of the row that lacks it. */
    private fun lineOf(key: String): Int = reading.lines[key] ?: reading.lines[key.substringBeforeLast('.')] ?: 0
}

private fun TomlReader.routesFile() = RoutesFile(
    organisations = rows("organisation") { organisation() },
    routes = rows("route") { route() },
)

/** Reads at least one row, because a file without any is more likely a slip than a wish. */
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
    share = int("share", Int.MIN_VALUE..Int.MAX_VALUE, plainOrganisation.share),
)

private fun TomlReader.route() = Route(
    name = text("name"),
    kind = kind(),
    methods = textList("methods"),
    pathPrefix = text("path_prefix"),
    model = optionalText("model"),
    organisations = textList("organisations"),
    pool = PoolName(text("pool")),
    qualityTarget = decimal("quality_target", plainRoute.qualityTarget),
    repeatableMethods = textList("repeatable_methods", plainRoute.repeatableMethods),
    priority = priority(),
    timeoutMillis = long("timeout_millis", Long.MIN_VALUE..Long.MAX_VALUE, plainRoute.timeoutMillis),
)

private fun TomlReader.pool() = Pool(
    name = PoolName(text("name")),
    kind = kind(),
    members = tables("member") { member() },
    includes = textList("includes", emptyList()).map(::PoolName),
)

private fun TomlReader.member() = PoolMember(
    version = version(),
    costPerKiloToken = decimal("cost_per_kilotoken", plainMember.costPerKiloToken),
    expectedQuality = decimal("expected_quality", plainMember.expectedQuality),
    weight = int("weight", Int.MIN_VALUE..Int.MAX_VALUE, plainMember.weight),
    upstreams = textList("upstreams", emptyList()).map(::UpstreamId),
)

/** Reads a plain service by `service`, and a model's version by `model` and `version`. */
private fun TomlReader.version(): ModelVersion = if (has("service")) {
    ModelVersion(text("service"), ModelVersion.SERVICE_VERSION)
} else {
    ModelVersion(text("model"), text("version"))
}

private fun TomlReader.kind(): ServiceKind = kinds.getValue(choice(KIND_KEY, kinds.keys))

private fun TomlReader.priority(): Priority =
    priorities.getValue(choice("priority", priorities.keys, plainRoute.priority.name.lowercase()))
