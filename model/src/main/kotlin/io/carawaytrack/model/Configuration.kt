/*
 * The configuration set by operators: the two tables, joined by pool names, and the states that are changed at run
 * time. A [Configuration] is immutable; every accepted change creates a new one whose number is higher by one.
 */
package io.carawaytrack.model

import kotlinx.serialization.Serializable

/** Describes how the requests of a route or pool are handled. */
@Serializable
public enum class ServiceKind {
    /** Requests run on a model engine, which answers with tokens. */
    Model,

    /** Requests are proxied to a plain service. */
    Service,
}

/** Orders requests that wait for the same upstream. */
@Serializable
public enum class Priority { Interactive, Batch }

/**
 * Describes an organisation.
 *
 * @property keySha256 hex SHA-256 digests of its bearer keys
 * @property allows patterns `model@version`; either part may be `*`
 * @property share weight of the organisation when capacity is scarce
 */
@Serializable
public data class Organisation(
    val name: OrganisationName,
    val keySha256: List<String>,
    val allows: List<String>,
    val share: Int = 1,
) {
    /** Returns whether requests of the organisation may run on [version]. */
    public fun allows(version: ModelVersion): Boolean = allows.any { version.matches(it) }
}

/** Returns whether this version matches [pattern], a `model@version` in which either part may be `*`. */
public fun ModelVersion.matches(pattern: String): Boolean {
    val allowed = ModelVersion.parse(pattern) ?: return false
    val modelMatches = allowed.model == "*" || allowed.model == model
    return modelMatches && (allowed.version == "*" || allowed.version == version)
}

/**
 * Describes a row of the routes table.
 *
 * @property pathPrefix path prefix of the requests that the route matches
 * @property model value of the `model` field that the route matches, null for a plain service
 * @property organisations names, or `*` for all
 * @property qualityTarget minimum expected rating of the chosen plan, from 0 to 1
 * @property repeatableMethods methods whose requests may be sent to an upstream more than once
 * @property timeoutMillis timeout of the complete request
 */
@Serializable
public data class Route(
    val name: String,
    val kind: ServiceKind,
    val methods: List<String>,
    val pathPrefix: String,
    val model: String? = null,
    val organisations: List<String>,
    val pool: PoolName,
    val qualityTarget: Double = 0.0,
    val repeatableMethods: List<String> = emptyList(),
    val priority: Priority = Priority.Interactive,
    val timeoutMillis: Long = 60_000,
)

/**
 * Describes one version that a pool may use.
 *
 * @property costPerKiloToken cost of a thousand tokens, in the operator's currency
 * @property expectedQuality rating from 0 to 1 that is assumed until the first rating is received
 * @property weight share of the pool's requests relative to other versions of equal cost
 * @property upstreams upstreams that may be used, empty for all that announce the version
 */
@Serializable
public data class PoolMember(
    val version: ModelVersion,
    val costPerKiloToken: Double = 0.0,
    val expectedQuality: Double = 0.5,
    val weight: Int = 1,
    val upstreams: List<UpstreamId> = emptyList(),
)

/** Describes a row of the pools table; the members of included pools are also members of this pool. */
@Serializable
public data class Pool(
    val name: PoolName,
    val kind: ServiceKind,
    val members: List<PoolMember>,
    val includes: List<PoolName> = emptyList(),
)

/** Holds the two tables that operators edit; [organisations] are part of the routes table's file. */
@Serializable
public data class Tables(
    val organisations: List<Organisation> = emptyList(),
    val routes: List<Route> = emptyList(),
    val pools: List<Pool> = emptyList(),
)

/** Describes which requests a version may receive. */
@Serializable
public enum class VersionState {
    /** Receives all requests. */
    Serving,

    /** Receives only requests of sessions that started on this version. */
    Draining,

    /** Receives no requests. */
    Withdrawn,
}

/** Describes the progress of a roll-out. */
@Serializable
public enum class RolloutPhase { Running, Paused, Completed, RolledBack }

/**
 * Describes the gradual shift of a pool's requests from one version to another.
 *
 * @property percent share of new requests that are sent to [to], from 0 to 100
 */
@Serializable
public data class Rollout(
    val name: String,
    val pool: PoolName,
    val from: ModelVersion,
    val to: ModelVersion,
    val percent: Int,
    val phase: RolloutPhase,
)

/**
 * Holds the complete configuration in force.
 *
 * @property number increases by one with every accepted change and never decreases
 * @property versionStates states other than [VersionState.Serving], by `model@version`
 */
@Serializable
public data class Configuration(
    val number: Long = 0,
    val tables: Tables = Tables(),
    val zonesOut: Set<ZoneName> = emptySet(),
    val upstreamsOut: Set<UpstreamId> = emptySet(),
    val versionStates: Map<String, VersionState> = emptyMap(),
    val rollouts: List<Rollout> = emptyList(),
) {
    /** Returns the state of [version]. */
    public fun stateOf(version: ModelVersion): VersionState = versionStates[version.toString()] ?: VersionState.Serving

    /** Returns whether [upstream] in [zone] may receive new requests. */
    public fun inService(
        upstream: UpstreamId,
        zone: ZoneName,
    ): Boolean = zone !in zonesOut && upstream !in upstreamsOut
}

/**
 * Time within which a change is in force everywhere, in milliseconds; after it, zones and upstreams that were taken out
 * of service receive no new requests.
 */
public const val IN_FORCE_BOUND_MILLIS: Long = 5_000

/** Duration of a lease, in milliseconds; the rest of [IN_FORCE_BOUND_MILLIS] is left for commit and delivery. */
public const val LEASE_MILLIS: Long = 3_000
