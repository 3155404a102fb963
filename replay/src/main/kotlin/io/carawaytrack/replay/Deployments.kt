/*
 * The two simulated deployments: their zones, upstreams, tables, and the true quality of each version.
 */
package io.carawaytrack.replay

import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.Organisation
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.Pool
import io.carawaytrack.model.PoolMember
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.Rollout
import io.carawaytrack.model.RolloutPhase
import io.carawaytrack.model.Route
import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.Tables
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.ZoneName

/**
 * True quality of a version's answers: [best] minus [slope] times the request's difficulty, limited to 0..1.
 */
internal data class TrueQuality(
    val best: Double,
    val slope: Double,
) {
    fun of(difficulty: Double): Double = (best - slope * difficulty).coerceIn(0.0, 1.0)
}

/**
 * Distribution of the requests of one route.
 *
 * @property share fraction of all requests
 * @property difficultyPower exponent applied to a uniform draw; a higher value makes difficult requests rarer
 * @property sessionTurns requests per session; 1 for requests without a session
 */
internal data class RouteTraffic(
    val route: Route,
    val share: Double,
    val promptTokens: IntRange,
    val answerTokens: IntRange,
    val difficultyPower: Double,
    val sessionTurns: Int = 1,
)

/**
 * Parameters of a deployment.
 *
 * @property peakRequestsPerSecond arrival rate at the peak
 * @property oneWayDelayMillis network delay in one direction between hosts of different zones
 * @property outageZone zone whose loss removes the most capacity
 * @property rolloutFrom version that rollouts replace with [rolloutTo]
 */
internal data class DeploymentSpec(
    val zones: List<ZoneName>,
    val upstreams: List<UpstreamSpec>,
    val traffic: List<RouteTraffic>,
    val organisations: List<Organisation>,
    val pools: List<Pool>,
    val quality: Map<ModelVersion, TrueQuality>,
    val peakRequestsPerSecond: Double,
    val oneWayDelayMillis: Double,
    val outageZone: ZoneName,
    val rolloutFrom: ModelVersion,
    val rolloutTo: ModelVersion,
) {
    /** Initial configuration: the new version is a member of its pool, and its rollout is paused at 0 %. */
    val configuration: Configuration
        get() =
            Configuration(
                number = 1,
                tables = Tables(organisations, traffic.map { it.route }, pools),
                rollouts = listOf(rollout),
            )

    val rollout: Rollout
        get() {
            val pool = pools.first { pool -> pool.members.any { it.version == rolloutTo } }
            return Rollout("next", pool.name, rolloutFrom, rolloutTo, percent = 0, RolloutPhase.Paused)
        }

    fun routeNamed(name: String): Route = traffic.first { it.route.name == name }.route
}

internal fun specOf(deployment: Deployment): DeploymentSpec = when (deployment) {
    Deployment.Penmark -> penmark()
    Deployment.Sajha -> sajha()
}

private val paymentService = ModelVersion("payment", ModelVersion.SERVICE_VERSION)
private val ledgerService = ModelVersion("ledger", ModelVersion.SERVICE_VERSION)

private val serviceEngine =
    EngineSpec(tokensPerSecond = 1_000.0, slowdownPerStream = 0.02, coldMillis = 5_000.0, maxColdStreams = 16)

private val pen = ModelVersion("pen", "3")
private val quill = ModelVersion("quill", "7")
private val quillNext = ModelVersion("quill", "8")
private val drafts = PoolName("drafts")
private val payments = PoolName("payments")

private fun penmark(): DeploymentSpec {
    val penEngine = EngineSpec(tokensPerSecond = 90.0)
    val quillEngine = EngineSpec(tokensPerSecond = 60.0)
    val zones = listOf("a", "b", "c", "d").map(::ZoneName)
    return DeploymentSpec(
        zones = zones,
        upstreams =
            replicas("quill", zones.dropLast(1), listOf(quill, quillNext), permits = 16, quillEngine) +
                replicas("pen", zones.drop(1), listOf(pen), permits = 16, penEngine) +
                replicas("payment", zones, listOf(paymentService), permits = 16, serviceEngine),
        traffic = penmarkTraffic(),
        organisations = organisations(),
        pools = penmarkPools(),
        quality =
            mapOf(
                pen to TrueQuality(best = 0.97, slope = 0.55),
                quill to TrueQuality(best = 0.97, slope = 0.12),
                quillNext to TrueQuality(best = 0.98, slope = 0.12),
                paymentService to TrueQuality(best = 1.0, slope = 0.0),
            ),
        peakRequestsPerSecond = 9.0,
        oneWayDelayMillis = 1.0,
        outageZone = zones[1],
        rolloutFrom = quill,
        rolloutTo = quillNext,
    )
}

private fun penmarkTraffic(): List<RouteTraffic> = listOf(
    RouteTraffic(
        route = modelRoute("draft", drafts, target = 0.85),
        share = 0.45,
        promptTokens = 150..600,
        answerTokens = 250..700,
        difficultyPower = 1.5,
    ),
    RouteTraffic(
        route = modelRoute("condolence", drafts, target = 0.8),
        share = 0.25,
        promptTokens = 80..250,
        answerTokens = 100..300,
        difficultyPower = 2.0,
    ),
    RouteTraffic(
        route = serviceRoute("payment", payments),
        share = 0.3,
        promptTokens = 1..2,
        answerTokens = 20..60,
        difficultyPower = 1.0,
    ),
)

private fun penmarkPools(): List<Pool> = listOf(
    Pool(
        drafts,
        ServiceKind.Model,
        listOf(
            PoolMember(pen, costPerKiloToken = 1.0, expectedQuality = 0.75),
            PoolMember(quill, costPerKiloToken = 8.0, expectedQuality = 0.92),
            PoolMember(quillNext, costPerKiloToken = 8.0, expectedQuality = 0.92),
        ),
    ),
    servicePool(payments, paymentService),
)

private val mini = ModelVersion("mini", "2")
private val mid = ModelVersion("mid", "5")
private val midNext = ModelVersion("mid", "6")
private val max = ModelVersion("max", "1")
private val repairs = PoolName("repairs")
private val stock = PoolName("stock")

private fun sajha(): DeploymentSpec {
    val zones = listOf("a", "b", "c").map(::ZoneName)
    return DeploymentSpec(
        zones = zones,
        upstreams =
            replicas("mini", zones, listOf(mini), permits = 24, EngineSpec(tokensPerSecond = 120.0)) +
                replicas("mid", zones, listOf(mid, midNext), permits = 16, EngineSpec(tokensPerSecond = 80.0)) +
                replicas("max", zones + zones, listOf(max), permits = 16, EngineSpec(tokensPerSecond = 50.0)) +
                replicas("ledger", zones, listOf(ledgerService), permits = 16, serviceEngine),
        traffic = sajhaTraffic(),
        organisations = organisations(),
        pools = sajhaPools(),
        quality =
            mapOf(
                mini to TrueQuality(best = 0.96, slope = 0.6),
                mid to TrueQuality(best = 0.96, slope = 0.35),
                midNext to TrueQuality(best = 0.97, slope = 0.35),
                max to TrueQuality(best = 0.97, slope = 0.12),
                ledgerService to TrueQuality(best = 1.0, slope = 0.0),
            ),
        peakRequestsPerSecond = 16.0,
        oneWayDelayMillis = 0.5,
        outageZone = zones[0],
        rolloutFrom = mid,
        rolloutTo = midNext,
    )
}

private fun sajhaTraffic(): List<RouteTraffic> = listOf(
    RouteTraffic(
        route = modelRoute("diagnosis", repairs, target = 0.85),
        share = 0.3,
        promptTokens = 300..900,
        answerTokens = 400..1_000,
        difficultyPower = 1.2,
    ),
    RouteTraffic(
        route = modelRoute("parts-chat", repairs, target = 0.8),
        share = 0.3,
        promptTokens = 100..400,
        answerTokens = 80..300,
        difficultyPower = 1.5,
        sessionTurns = 5,
    ),
    RouteTraffic(
        route = modelRoute("summary", repairs, target = 0.8),
        share = 0.2,
        promptTokens = 300..600,
        answerTokens = 40..120,
        difficultyPower = 3.0,
    ),
    RouteTraffic(
        route = serviceRoute("reservation", stock),
        share = 0.2,
        promptTokens = 1..2,
        answerTokens = 10..30,
        difficultyPower = 1.0,
    ),
)

private fun sajhaPools(): List<Pool> = listOf(
    Pool(
        repairs,
        ServiceKind.Model,
        listOf(
            PoolMember(mini, costPerKiloToken = 1.0, expectedQuality = 0.7),
            PoolMember(mid, costPerKiloToken = 4.0, expectedQuality = 0.82),
            PoolMember(midNext, costPerKiloToken = 4.0, expectedQuality = 0.82),
            PoolMember(max, costPerKiloToken = 15.0, expectedQuality = 0.92),
        ),
    ),
    servicePool(stock, ledgerService),
)

/** Returns ten organisations, two of which are large by their share of the requests. */
private fun organisations(): List<Organisation> =
    List(ORGANISATION_COUNT) { Organisation(OrganisationName(organisationName(it)), emptyList(), listOf("*@*")) }

private fun replicas(
    name: String,
    zones: List<ZoneName>,
    versions: List<ModelVersion>,
    permits: Int,
    engine: EngineSpec,
): List<UpstreamSpec> = zones.mapIndexed { index, zone ->
    UpstreamSpec(UpstreamId("$name-${index + 1}"), zone, versions, permits, engine)
}

private fun modelRoute(
    name: String,
    pool: PoolName,
    target: Double,
): Route = Route(
    name = name,
    kind = ServiceKind.Model,
    methods = listOf("POST"),
    pathPrefix = "/v1/$name",
    model = name,
    organisations = listOf("*"),
    pool = pool,
    qualityTarget = target,
    repeatableMethods = listOf("POST"),
)

private fun serviceRoute(
    name: String,
    pool: PoolName,
): Route = Route(name, ServiceKind.Service, listOf("POST"), "/v1/$name", organisations = listOf("*"), pool = pool)

private fun servicePool(
    name: PoolName,
    version: ModelVersion,
): Pool = Pool(name, ServiceKind.Service, listOf(PoolMember(version, expectedQuality = 1.0)))

internal const val ORGANISATION_COUNT = 10

/** Number of large organisations: the first two, which together send half of the requests. */
internal const val LARGE_ORGANISATIONS = 2

internal fun organisationName(number: Int): String = "organisation-${number + 1}"

internal fun isSmall(organisation: String): Boolean = (0 until LARGE_ORGANISATIONS).none {
    organisationName(it) == organisation
}
