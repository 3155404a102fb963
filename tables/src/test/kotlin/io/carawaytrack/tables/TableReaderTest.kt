/*
 * Guards against invalid tables that are accepted, or reported without their file, line, key and expected value. Each
 * kind of fault has one case.
 */
package io.carawaytrack.tables

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
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
import io.carawaytrack.model.VersionState
import io.carawaytrack.model.membersOf
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.io.path.writeText

private val DIGEST_A = "a".repeat(64)
private val DIGEST_B = "b".repeat(64)

private val VALID_ROUTES =
    """
    [[organisation]]
    name = "north"
    key_sha256 = ["$DIGEST_A"]
    allows = ["quill@*", "orders@service"]
    share = 3

    [[organisation]]
    name = "south"
    key_sha256 = ["$DIGEST_B"]
    allows = ["quill@1"]

    [[route]]
    name = "draft"
    kind = "model"
    methods = ["POST"]
    path_prefix = "/v1/chat/completions"
    model = "quill"
    organisations = ["north", "south"]
    pool = "drafts"
    quality_target = 0.6

    [[route]]
    name = "orders"
    kind = "service"
    methods = ["GET", "POST"]
    path_prefix = "/orders"
    organisations = ["*"]
    pool = "order-desk"
    repeatable_methods = ["GET"]
    priority = "batch"
    timeout_millis = 5000
    """.trimIndent()

private val VALID_POOLS =
    """
    [[pool]]
    name = "drafts"
    kind = "model"
    includes = ["strong"]
    [[pool.member]]
    model = "quill"
    version = "1"
    cost_per_kilotoken = 1
    expected_quality = 0.7
    weight = 2
    upstreams = ["u-1"]

    [[pool]]
    name = "strong"
    kind = "model"
    [[pool.member]]
    model = "quill"
    version = "2"
    cost_per_kilotoken = 4.5
    expected_quality = 0.9

    [[pool]]
    name = "order-desk"
    kind = "service"
    [[pool.member]]
    service = "orders"
    """.trimIndent()

private val VALID_TABLES =
    Tables(
        organisations =
            listOf(
                Organisation(OrganisationName("north"), listOf(DIGEST_A), listOf("quill@*", "orders@service"), 3),
                Organisation(OrganisationName("south"), listOf(DIGEST_B), listOf("quill@1")),
            ),
        routes =
            listOf(
                Route(
                    name = "draft",
                    kind = ServiceKind.Model,
                    methods = listOf("POST"),
                    pathPrefix = "/v1/chat/completions",
                    model = "quill",
                    organisations = listOf("north", "south"),
                    pool = PoolName("drafts"),
                    qualityTarget = 0.6,
                ),
                Route(
                    name = "orders",
                    kind = ServiceKind.Service,
                    methods = listOf("GET", "POST"),
                    pathPrefix = "/orders",
                    organisations = listOf("*"),
                    pool = PoolName("order-desk"),
                    repeatableMethods = listOf("GET"),
                    priority = Priority.Batch,
                    timeoutMillis = 5_000,
                ),
            ),
        pools =
            listOf(
                Pool(
                    PoolName("drafts"),
                    ServiceKind.Model,
                    listOf(PoolMember(ModelVersion("quill", "1"), 1.0, 0.7, 2, listOf(UpstreamId("u-1")))),
                    listOf(PoolName("strong")),
                ),
                Pool(
                    PoolName("strong"),
                    ServiceKind.Model,
                    listOf(PoolMember(ModelVersion("quill", "2"), 4.5, 0.9)),
                ),
                Pool(
                    PoolName("order-desk"),
                    ServiceKind.Service,
                    listOf(PoolMember(ModelVersion("orders", ModelVersion.SERVICE_VERSION))),
                ),
            ),
    )

/** Replaces [old], which must occur in one of the valid files, by [new] and expects [faults]. */
private data class TableFaultCase(
    val name: String,
    val old: String,
    val new: String,
    val faults: List<String>,
) {
    constructor(name: String, old: String, new: String, fault: String) : this(name, old, new, listOf(fault))
}

private const val NAME_FORMAT = "a name of at most 128 letters, digits and ._/- that starts with a letter or digit"
private const val ORGANISATION_FORMAT = "the name of an organisation, or * alone for all"
private const val MEMBER_KEYS = "cost_per_kilotoken, expected_quality, service, upstreams, weight"

private val tableFaultCases =
    listOf(
        TableFaultCase(
            "an unknown key",
            "share = 3",
            "shares = 3",
            "routes:5: organisation[0].shares = 3: expected a known key: allows, key_sha256, name, share",
        ),
        TableFaultCase(
            "an unknown table",
            "[[pool]]\nname = \"order-desk\"",
            "[[pools]]\nname = \"x\"\n[[pool]]\nname = \"order-desk\"",
            "pools:22: pools = [(table)]: expected a known key: pool",
        ),
        TableFaultCase(
            "a missing key, reported only once by the reader and the checks",
            "path_prefix = \"/orders\"\n",
            "",
            "routes:22: route[1].path_prefix = (missing): expected a text that is not blank",
        ),
        TableFaultCase(
            "an unknown pool of a route",
            "pool = \"drafts\"",
            "pool = \"draughts\"",
            "routes:19: route[0].pool = draughts: expected the name of a pool",
        ),
        TableFaultCase(
            "an unknown organisation of a route",
            "organisations = [\"north\", \"south\"]",
            "organisations = [\"north\",\n\"east\"]",
            "routes:19: route[0].organisations[1] = east: expected $ORGANISATION_FORMAT",
        ),
        TableFaultCase(
            "a name in addition to the asterisk for all organisations",
            "organisations = [\"*\"]",
            "organisations = [\"*\", \"north\"]",
            "routes:27: route[1].organisations[0] = *: expected $ORGANISATION_FORMAT",
        ),
        TableFaultCase(
            "an unknown included pool",
            "includes = [\"strong\"]",
            "includes = [\"stronger\"]",
            "pools:4: pool[0].includes[0] = stronger: expected the name of a pool",
        ),
        TableFaultCase(
            "pools that include each other",
            "name = \"strong\"\nkind = \"model\"",
            "name = \"strong\"\nkind = \"model\"\nincludes = [\"drafts\"]",
            listOf(
                "pools:4: pool[0].includes[0] = strong: expected a pool that does not include drafts",
                "pools:16: pool[1].includes[0] = drafts: expected a pool that does not include strong",
            ),
        ),
        TableFaultCase(
            "a pool that includes itself",
            "includes = [\"strong\"]",
            "includes = [\"drafts\", \"strong\"]",
            "pools:4: pool[0].includes[0] = drafts: expected a pool that does not include drafts",
        ),
        TableFaultCase(
            "two organisations of one name",
            "name = \"south\"",
            "name = \"north\"",
            listOf(
                "routes:8: organisation[1].name = north: expected a value that no earlier row has",
                "routes:18: route[0].organisations[1] = south: expected $ORGANISATION_FORMAT",
            ),
        ),
        TableFaultCase(
            "two routes of one name",
            "name = \"orders\"\nkind",
            "name = \"draft\"\nkind",
            "routes:23: route[1].name = draft: expected a value that no earlier row has",
        ),
        TableFaultCase(
            "two pools of one name",
            "name = \"order-desk\"",
            "name = \"strong\"",
            listOf(
                "pools:23: pool[2].name = strong: expected a value that no earlier row has",
                "routes:28: route[1].pool = order-desk: expected the name of a pool",
            ),
        ),
        TableFaultCase(
            "two routes that match the same requests",
            "path_prefix = \"/orders\"",
            "path_prefix = \"/v1/chat/completions\"\nmodel = \"quill\"",
            listOf(
                "routes:26: route[1].path_prefix = /v1/chat/completions: expected a method, path, model or " +
                    "organisation that route draft does not match",
                "routes:27: route[1].model = quill: expected no model, because the route is of kind service",
            ),
        ),
        TableFaultCase(
            "a version that occurs twice in a pool",
            "version = \"2\"\n",
            "version = \"2\"\ncost_per_kilotoken = 4\n[[pool.member]]\nmodel = \"quill\"\nversion = \"2\"\n",
            listOf(
                "pools:4: pool[0].includes = quill@2: expected the same cost, quality, weight and upstreams in all " +
                    "rows of a version",
                "pools:20: pool[1].member[1] = quill@2: expected a value that no earlier row has",
            ),
        ),
        TableFaultCase(
            "an invalid kind",
            "name = \"strong\"\nkind = \"model\"",
            "name = \"strong\"\nkind = \"engine\"",
            "pools:15: pool[1].kind = engine: expected one of model, service",
        ),
        TableFaultCase(
            "invalid kinds, without the faults of references that would result from placeholders",
            "kind = \"service\"",
            "kind = \"servce\"",
            listOf(
                "pools:24: pool[2].kind = servce: expected one of model, service",
                "routes:24: route[1].kind = servce: expected one of model, service",
            ),
        ),
        TableFaultCase(
            "a pool of another kind than its route, its members and the pools that include it",
            "name = \"strong\"\nkind = \"model\"",
            "name = \"strong\"\nkind = \"service\"",
            listOf(
                "pools:4: pool[0].includes[0] = strong: expected a pool of kind model",
                "pools:17: pool[1].member[0].model = quill@2: expected a member of kind service",
            ),
        ),
        TableFaultCase(
            "a route of another kind than its pool",
            "pool = \"order-desk\"",
            "pool = \"strong\"",
            "routes:28: route[1].pool = strong: expected a pool of kind service",
        ),
        TableFaultCase(
            "a model route without a model",
            "model = \"quill\"\norganisations",
            "organisations",
            "routes:12: route[0].model = (missing): expected the model that callers name",
        ),
        TableFaultCase(
            "a member that names both a service and a model",
            "service = \"orders\"",
            "service = \"orders\"\nmodel = \"quill\"",
            "pools:27: pool[2].member[0].model = quill: expected a known key: $MEMBER_KEYS",
        ),
        TableFaultCase(
            "a pool without members",
            "[[pool.member]]\nservice = \"orders\"",
            "",
            "pools:22: pool[2].member = (missing): expected at least one [[pool.member]] or include",
        ),
        TableFaultCase(
            "a listed organisation that allows no version of the pool",
            "allows = [\"quill@1\"]",
            "allows = [\"quill@9\"]",
            "routes:18: route[0].organisations[1] = south: expected an organisation that allows one of: " +
                "quill@1, quill@2",
        ),
        TableFaultCase(
            "a route for all organisations, none of which allows a version of the pool",
            "allows = [\"quill@*\", \"orders@service\"]",
            "allows = [\"quill@*\"]",
            "routes:27: route[1].organisations[0] = *: expected an organisation that allows one of: orders@service",
        ),
        TableFaultCase(
            "a target that no member meets",
            "quality_target = 0.6",
            "quality_target = 0.95",
            "routes:20: route[0].quality_target = 0.95: expected at most 0.9, the best expected quality in pool drafts",
        ),
        TableFaultCase(
            "a target that no version allowed by a listed organisation meets",
            "quality_target = 0.6",
            "quality_target = 0.8",
            "routes:18: route[0].organisations[1] = south: expected an organisation that allows a version of " +
                "expected quality 0.8 or more",
        ),
        TableFaultCase(
            "a target on a plain service",
            "timeout_millis = 5000",
            "quality_target = 0.1",
            "routes:31: route[1].quality_target = 0.1: expected 0, because answers of plain services are not rated",
        ),
        TableFaultCase(
            "a target out of range",
            "quality_target = 0.6",
            "quality_target = 1.5",
            "routes:20: route[0].quality_target = 1.5: expected a number from 0.0 to 1.0",
        ),
        TableFaultCase(
            "a target that is not a number",
            "quality_target = 0.6",
            "quality_target = nan",
            "routes:20: route[0].quality_target = NaN: expected a number from 0.0 to 1.0",
        ),
        TableFaultCase(
            "a share out of range",
            "share = 3",
            "share = 0",
            "routes:5: organisation[0].share = 0: expected a number from 1 to 1000",
        ),
        TableFaultCase(
            "a timeout out of range",
            "timeout_millis = 5000",
            "timeout_millis = 0",
            "routes:31: route[1].timeout_millis = 0: expected a number from 1 to 3600000",
        ),
        TableFaultCase(
            "weight, cost and quality of a member out of range",
            "cost_per_kilotoken = 1\nexpected_quality = 0.7\nweight = 2",
            "cost_per_kilotoken = -1\nexpected_quality = 1.7\nweight = 0",
            listOf(
                "pools:8: pool[0].member[0].cost_per_kilotoken = -1.0: expected a number from 0.0 to 1000000.0",
                "pools:9: pool[0].member[0].expected_quality = 1.7: expected a number from 0.0 to 1.0",
                "pools:10: pool[0].member[0].weight = 0: expected a number from 1 to 1000",
            ),
        ),
        TableFaultCase(
            "a key instead of its digest",
            "[\"$DIGEST_A\"]",
            "[\"secret\"]",
            "routes:3: organisation[0].key_sha256[0] = secret: expected 64 lower-case hexadecimal digits",
        ),
        TableFaultCase(
            "a digest used by two organisations",
            "[\"$DIGEST_B\"]",
            "[\"$DIGEST_A\"]",
            "routes:9: organisation[1].key_sha256[0] = $DIGEST_A: expected a digest not used by organisation north",
        ),
        TableFaultCase(
            "a pattern without a version",
            "allows = [\"quill@1\"]",
            "allows = [\"quill@1\", \"quill\"]",
            "routes:10: organisation[1].allows[1] = quill: expected a pattern model@version, either part may be *",
        ),
        TableFaultCase(
            "an invalid method and a repeatable method that the route does not have",
            "methods = [\"GET\", \"POST\"]",
            "methods = [\"FETCH\", \"POST\"]",
            listOf(
                "routes:25: route[1].methods[0] = FETCH: expected one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS",
                "routes:29: route[1].repeatable_methods[0] = GET: expected a method of the route",
            ),
        ),
        TableFaultCase(
            "a path without a leading slash",
            "path_prefix = \"/orders\"",
            "path_prefix = \"orders\"",
            "routes:26: route[1].path_prefix = orders: expected a path that starts with /",
        ),
        TableFaultCase(
            "names that would be ambiguous in a header or a pattern",
            "upstreams = [\"u-1\"]",
            "upstreams = [\"u 1\", \"u@1\"]",
            listOf(
                "pools:11: pool[0].member[0].upstreams[0] = u 1: expected $NAME_FORMAT",
                "pools:11: pool[0].member[0].upstreams[1] = u@1: expected $NAME_FORMAT",
            ),
        ),
        TableFaultCase(
            "an empty list of organisations",
            "organisations = [\"*\"]",
            "organisations = []",
            "routes:27: route[1].organisations = []: expected at least one element",
        ),
        TableFaultCase(
            "a syntax error, without the faults of references that may result from it",
            "name = \"drafts\"\n",
            "name = \"drafts\n",
            "pools:2: (syntax) = name = \"drafts: expected valid TOML (Unexpected end of line, expected \" " +
                "or a character)",
        ),
        TableFaultCase(
            "faults in both files",
            VALID_POOLS,
            "",
            listOf(
                "pools:0: pool = (missing): expected at least one [[pool]]",
                "routes:19: route[0].pool = drafts: expected the name of a pool",
                "routes:28: route[1].pool = order-desk: expected the name of a pool",
            ),
        ),
    )

class TableReaderTest {
    @TempDir
    lateinit var folder: Path

    private fun faultsOf(case: TableFaultCase): List<String> {
        val routesFile = folder.resolve("routes.toml").apply { writeText(VALID_ROUTES.replace(case.old, case.new)) }
        val poolsFile = folder.resolve("pools.toml").apply { writeText(VALID_POOLS.replace(case.old, case.new)) }
        return readTables(routesFile, poolsFile).getError().orEmpty().map { fault ->
            fault.copy(file = if (fault.file == poolsFile.toString()) "pools" else "routes").toString()
        }
    }

    @Test
    fun `valid tables are read with their defaults`() {
        val routesFile = folder.resolve("routes.toml").apply { writeText(VALID_ROUTES) }
        val poolsFile = folder.resolve("pools.toml").apply { writeText(VALID_POOLS) }
        expectThat(readTables(routesFile, poolsFile)).isEqualTo(Ok(VALID_TABLES))
    }

    @TestFactory
    fun `each fault is reported with its file, line, key, value and the expected value`(): List<DynamicTest> =
        tableFaultCases.map { case ->
            dynamicTest(case.name) { expectThat(faultsOf(case)).containsExactly(case.faults) }
        }

    @Test
    fun `tables that were not read from files have the same faults without lines`() {
        val invalid = VALID_TABLES.copy(routes = VALID_TABLES.routes.map { it.copy(pool = PoolName("none")) })
        expectThat(checkTables(VALID_TABLES)).isEmpty()
        expectThat(checkTables(invalid).map(Fault::toString)).containsExactly(
            "routes:0: route[0].pool = none: expected the name of a pool",
            "routes:0: route[1].pool = none: expected the name of a pool",
        )
    }

    @Test
    fun `members of included pools are listed once, even if pools include each other`() {
        val cyclic = VALID_TABLES.pools.map { if (it.kind == ServiceKind.Model) it.copy(includes = cycle) else it }
        listOf(VALID_TABLES, VALID_TABLES.copy(pools = cyclic)).forEach { tables ->
            expectThat(tables.membersOf(PoolName("drafts")).map { it.version.toString() })
                .containsExactly("quill@1", "quill@2")
        }
    }

    private val cycle = listOf(PoolName("strong"), PoolName("drafts"))

    @TestFactory
    fun `a route without an allowed serving version is a fault`(): List<DynamicTest> {
        val south = "routes:0: route[0].organisations[1] = south: expected an organisation that allows one of: "
        val none = "(no version is serving)"
        return listOf(
            emptySet<String>() to emptyList(),
            setOf("quill@2") to emptyList(),
            setOf("quill@1") to listOf("${south}quill@2"),
            setOf("quill@1", "quill@2") to
                listOf("north", "south").mapIndexed { n, name ->
                    "routes:0: route[0].organisations[$n] = $name: expected an organisation that allows one of: $none"
                },
            setOf("orders@service") to
                listOf("routes:0: route[1].organisations[0] = *: expected an organisation that allows one of: $none"),
        ).map { (withdrawn, faults) ->
            dynamicTest("with $withdrawn withdrawn") {
                val actual =
                    checkVersionStates(VALID_TABLES) { version ->
                        if (version.toString() in withdrawn) VersionState.Withdrawn else VersionState.Serving
                    }
                expectThat(actual.map(Fault::toString)).containsExactly(faults)
            }
        }
    }
}
