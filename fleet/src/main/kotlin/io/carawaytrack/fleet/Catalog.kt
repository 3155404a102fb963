/*
 * The routing tables of a fleet: routes map requests to pools, and pools describe the capacity of their upstreams. A
 * catalog is immutable and is replaced as a whole by one with a higher version.
 */
package io.carawaytrack.fleet

import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.PoolName

/**
 * Assigns a share of a route's requests to a pool.
 *
 * @property weight share relative to the other pools of the route; a pool with weight zero receives no requests
 */
public data class PoolShare(
    val pool: PoolName,
    val weight: Int,
)

/**
 * Row of the routes table.
 *
 * @property pathPrefix prefix of the request's path; begins and ends with a slash
 * @property idempotent whether a request may be executed more than once
 * @property streaming whether the response is a stream of events
 * @property resumable whether a stream may resume on another upstream after the last event that the caller received
 * @property timeoutMillis maximum time that a request may wait for its response
 * @property latencyTargetMillis time within which a response, or the first event of a stream, meets its target
 * @property pauseTargetMillis longest interval between two events of a stream that meets its target
 * @property priority scheduling priority; 0 is the highest
 * @property models models that may serve a request, the smallest first; empty if the caller names one or none is needed
 * @property maxAttempts maximum number of upstreams on which one request may run
 * @property public whether requests need no key
 * @property sticky whether requests share prompt parts that an upstream may have cached
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
    /** Whether a request may be retried on another upstream although an earlier one may have executed it. */
    val retryable: Boolean get() = if (streaming) resumable else idempotent

    /**
     * Whether an answer may be replaced by a larger model's while the caller has received none of it. Only streams are
     * examined before they are complete, and each answer is a run of its own.
     */
    val answersReplaceable: Boolean get() = streaming && retryable && maxAttempts > 1
}

/** Price of a model that an engine can run, for a thousand generated tokens. */
public data class ModelPrice(
    val model: String,
    val costPerKiloToken: Double,
)

/**
 * Describes the engines of a pool.
 *
 * @property slots maximum number of concurrent requests of an engine
 * @property memoryTokens cache capacity in tokens, shared by running requests and cached prompt parts
 */
public data class EngineTraits(
    val slots: Int,
    val memoryTokens: Long,
    val models: List<ModelPrice>,
)

/**
 * Row of the pools table.
 *
 * @property maxConnections connections that an upstream accepts from all hosts together
 * @property coldStartMillis time for which an upstream is cold after its start
 * @property coldRequestsPerSecond maximum request rate of a cold upstream; zero means no limit
 * @property engine set for pools of model engines
 * @property scaling set for pools whose replicas may be ordered
 */
public data class CatalogPool(
    val name: PoolName,
    val healthPath: String,
    val maxConnections: Int,
    val coldStartMillis: Long,
    val coldRequestsPerSecond: Double,
    val engine: EngineTraits? = null,
    val scaling: PoolScaling? = null,
)

/**
 * Bounds of the replicas that are ordered for a pool in each zone.
 *
 * @property bootMillis time that a new replica takes to start
 */
public data class PoolScaling(
    val min: Int,
    val max: Int,
    val bootMillis: Long,
)

/**
 * Describes an organisation.
 *
 * @property keys bearer keys of its callers
 * @property priority priority of its requests, which overrides that of the route; null keeps the route's
 */
public data class CatalogOrganisation(
    val name: OrganisationName,
    val keys: Set<String>,
    val priority: Int?,
)

/** Limits on the size and the duration of a caller's request. */
public data class CallerLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Long = 4_194_304,
    val headerTimeoutMillis: Long = 3_000,
    val idleTimeoutMillis: Long = 15_000,
)

/** Result of matching a request against the routes table. */
public sealed interface RouteMatch {
    /** No route matches the host and path. */
    public data object NoRoute : RouteMatch

    /** The route requires a key, and the request has none that belongs to an organisation. */
    public data object UnknownKey : RouteMatch

    /** Matching route; [organisation] is null if no key is required and the request has no known key. */
    public data class Found(
        val route: CatalogRoute,
        val organisation: CatalogOrganisation?,
    ) : RouteMatch
}

/**
 * Holds the routing tables and matches requests against them.
 *
 * @property keysRequired whether routes that are not public require a key
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

    /** Returns the pools of engines that serve a streaming route with a latency target below [targetMillis]. */
    public fun timeCriticalPools(targetMillis: Long): Set<PoolName> = routes
        .filter { it.streaming && it.latencyTargetMillis < targetMillis }
        .flatMap { route -> route.shares.filter { it.weight > 0 }.map { it.pool } }
        .filterTo(HashSet()) { pools[it]?.engine != null }

    /** Returns the match for a request to [path] of [host] with the bearer key [key]. */
    public fun match(
        host: String,
        path: String,
        key: String?,
    ): RouteMatch {
        val route = findRoute(host, path) ?: return RouteMatch.NoRoute
        val organisation = key?.let(organisationsByKey::get)
        if (organisation == null && keysRequired && !route.public) return RouteMatch.UnknownKey
        return RouteMatch.Found(route, organisation)
    }

    /** Returns the route with the longest prefix of [path]. */
    private fun findRoute(
        host: String,
        path: String,
    ): CatalogRoute? {
        val rows = routesByHost[host] ?: return null
        var slashIndex = path.lastIndexOf('/')
        while (slashIndex >= 0) {
            rows[path.substring(0, slashIndex + 1)]?.let { return it }
            slashIndex = path.lastIndexOf('/', slashIndex - 1)
        }
        return null
    }
}
