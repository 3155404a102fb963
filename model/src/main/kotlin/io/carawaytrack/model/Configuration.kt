/*
 * What the operators have set: the two tables, joined by pool names, and the states that they change in service. A
 * [Configuration] is immutable; every accepted change makes a new one whose number is higher by one.
 */
package io.carawaytrack.model

import kotlinx.serialization.Serializable

/** Tells how calls of a route or pool are treated. */
@Serializable
public enum class ServiceKind {
    /** Requests run on a model engine and are answered by tokens. */
    Model,

    /** Requests are passed through to a plain service. */
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
 * @property share weight of the organisation when upstreams are scarce
 */
@Serializable
public data class Organisation(
    val name: OrganisationName,
    val keySha256: List<String>,
    val allows: List<String>,
    val share: Int = 1,
) {
    /** Returns whether the organisation's callers may run on [version]. */
    public fun allows(version: ModelVersion): Boolean = allows.any { version.matches(it) }
}

/** Returns whether this version matches [pattern], `model@version` with `*` for any part. */
public fun ModelVersion.matches(pattern: String): Boolean {
    val wanted = ModelVersion.parse(pattern) ?: return false
    val modelMatches = wanted.model == "*" || wanted.model == model
    return modelMatches && (wanted.version == "*" || wanted.version == version)
}

/**
 * Describes a row of the routes table.
 *
 * @property pathPrefix prefix of the request path that the route takes
 * @property model the `model` field that callers send, null for a plain service
 * @property organisations names, or `*` for all
 * @property qualityTarget expected rating from 0 to 1 that the chosen plan must reach
 * @property repeatableMethods methods that may be sent to an upstream more than once
 * @property timeoutMillis bound on the whole request
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
 * @property costPerKiloToken price of a thousand tokens, in the operator's currency
 * @property expectedQuality rating from 0 to 1 assumed before any rating has come in
 * @property weight share of a pool's requests among versions of equal cost
 * @property upstreams identifiers of upstreams that may be used, empty for all that announce the version
 */
@Serializable
public data class PoolMember(
    val version: ModelVersion,
    val costPerKiloToken: Double = 0.0,
    val expectedQuality: Double = 0.5,
    val weight: Int = 1,
    val upstreams: List<UpstreamId> = emptyList(),
)

/** Describes a row of the pools table; the members of included pools count as its own. */
@Serializable
public data class Pool(
    val name: PoolName,
    val kind: ServiceKind,
    val members: List<PoolMember>,
    val includes: List<PoolName> = emptyList(),
)

/** Holds the two tables that operators edit; [organisations] stand in the routes table's file. */
@Serializable
public data class Tables(
    val organisations: List<Organisation> = emptyList(),
    val routes: List<Route> = emptyList(),
    val pools: List<Pool> = emptyList(),
)

/** Tells which work a version may receive. */
@Serializable
public enum class VersionState {
    /** Receives all work. */
    Serving,

    /** Receives requests of the sessions that started on it, and no others. */
    Draining,

    /** Receives nothing. */
    Withdrawn,
}

/** Tells where a roll-out stands. */
@Serializable
public enum class RolloutPhase { Running, Paused, Completed, RolledBack }

/**
 * Describes the move of a pool's requests from one version to another.
 *
 * @property percent share of new requests, 0 to 100, that go to [to]
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
 * Holds everything that is in force.
 *
 * @property number rises by one with every accepted change and never falls
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

    /** Returns whether an upstream in [zone] may receive new work. */
    public fun inService(
        upstream: UpstreamId,
        zone: ZoneName,
    ): Boolean = zone !in zonesOut && upstream !in upstreamsOut
}

/** Bound within which a change is in force everywhere and a part taken out receives no new work, in milliseconds. */
public const val IN_FORCE_BOUND_MILLIS: Long = 5_000

/** Duration of a lease, in milliseconds; it leaves the rest of the in-force bound for commit and delivery. */
public const val LEASE_MILLIS: Long = 3_000
