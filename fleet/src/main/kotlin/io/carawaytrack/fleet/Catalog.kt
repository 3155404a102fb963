/*
 * The two tables as a fleet serves them: routes that say which requests go to which pools, and pools that say what an
 * upstream of theirs bears. A catalog is immutable and is replaced as a whole by one with a higher version.
 */
package io.carawaytrack.fleet

import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.PoolName

/**
 * Gives a pool its share of a route's requests.
 *
 * @property weight share relative to the other pools of the route; zero takes no request
 */
public data class PoolShare(
    val pool: PoolName,
    val weight: Int,
)

/**
 * Describes a row of the routes table.
 *
 * @property pathPrefix prefix of the request's path; begins and ends with a slash
 * @property idempotent whether a request may run more than once
 * @property streaming whether an answer is a series of events
 * @property resumable whether a stream may go on at another upstream after an event that the caller has
 * @property timeoutMillis longest time that a request may be kept waiting for its answer
 * @property latencyTargetMillis time within which an answer, or the first event of a stream, is on time
 * @property pauseTargetMillis longest pause between two events of a stream that is still on time
 * @property priority urgency, 0 first
 * @property models models that may answer, the smallest first; empty where the caller names one or none is needed
 * @property maxAttempts upstreams on which one request may run
 * @property public whether requests need no key
 * @property sticky whether requests share prompt parts that an upstream may hold
 */
public data class CatalogRoute(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val idempotent: Boolean,
    val streaming: Boolean,
    val resumable: Boolean,
    val timeoutMillis: Long,
    val latencyTargetMillis: Long,
    val pauseTargetMillis: Long,
    val priority: Int,
    val models: List<String>,
    val shares: List<PoolShare>,
    val maxAttempts: Int,
    val public: Boolean,
    val sticky: Boolean,
) {
    /** Whether a request may be sent to another upstream although an earlier one may have run it. */
    val retryable: Boolean get() = if (streaming) resumable else idempotent
}

/** Prices a model that an engine can run; the price is for a thousand generated tokens. */
public data class ModelPrice(
    val model: String,
    val costPerKiloToken: Double,
)

/**
 * Describes the engines of a pool.
 *
 * @property slots requests that an engine works on at once
 * @property memoryTokens tokens that its running requests and cached prompt parts share
 */
public data class EngineTraits(
    val slots: Int,
    val memoryTokens: Long,
    val models: List<ModelPrice>,
)

/**
 * Describes a row of the pools table.
 *
 * @property maxConnections connections that an upstream accepts from all hosts together
 * @property coldStartMillis time for which an upstream is cold after its start
 * @property coldRequestsPerSecond requests that a cold upstream bears; zero where it bears all
 * @property engine set for pools of model engines
 */
public data class CatalogPool(
    val name: PoolName,
    val healthPath: String,
    val maxConnections: Int,
    val coldStartMillis: Long,
    val coldRequestsPerSecond: Double,
    val engine: EngineTraits? = null,
)

/**
 * Describes an organisation.
 *
 * @property keys the bearer keys that its callers present
 * @property priority urgency of its requests, in place of their route's; null leaves the route's
 */
public data class CatalogOrganisation(
    val name: OrganisationName,
    val keys: Set<String>,
    val priority: Int?,
)

/** Bounds what a caller may send and how long it may take. */
public data class CallerLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Long = 4_194_304,
    val headerTimeoutMillis: Long = 3_000,
    val idleTimeoutMillis: Long = 15_000,
)

/** Says why a request matches nothing, or what it matches. */
public sealed interface RouteMatch {
    /** Tells that no route takes the host and path. */
    public data object NoRoute : RouteMatch

    /** Tells that the route needs a key that some organisation holds. */
    public data object UnknownKey : RouteMatch

    /** Names the route, and the organisation unless the route is public and the request had no known key. */
    public data class Found(
        val route: CatalogRoute,
        val organisation: CatalogOrganisation?,
    ) : RouteMatch
}

/**
 * Holds both tables and finds rows in them.
 *
 * @property keysRequired whether routes that aren't public need a key
 */
public class Catalog(
    public val version: Long,
    public val routes: List<CatalogRoute>,
    public val pools: Map<PoolName, CatalogPool>,
    public val organisations: List<CatalogOrganisation>,
    public val keysRequired: Boolean,
    public val limits: CallerLimits,
) {
    private val routesByHost: Map<String, Map<String, CatalogRoute>> =
        routes.groupBy { it.host }.mapValues { (_, rows) -> rows.associateBy { it.pathPrefix } }

    private val organisationsByKey: Map<String, CatalogOrganisation> =
        organisations.flatMap { organisation -> organisation.keys.map { it to organisation } }.toMap()

    /** Finds the row for a request to [path] of [host] that presents [key]. */
    public fun match(
        host: String,
        path: String,
        key: String?,
    ): RouteMatch {
        val route = routeOf(host, path) ?: return RouteMatch.NoRoute
        val organisation = key?.let(organisationsByKey::get)
        if (organisation == null && keysRequired && !route.public) return RouteMatch.UnknownKey
        return RouteMatch.Found(route, organisation)
    }

    /** Tries the prefixes of [path] from the longest on. */
    private fun routeOf(
        host: String,
        path: String,
    ): CatalogRoute? {
        val rows = routesByHost[host] ?: return null
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            rows[path.substring(0, end + 1)]?.let { return it }
            end = path.lastIndexOf('/', end - 1)
        }
        return null
    }
}
