/*
 * The state of an upstream as reported by its agent. Upstreams are not configured anywhere: a deployment consists of
 * those whose agents have announced them within the last few seconds.
 */
package io.carawaytrack.model

import kotlinx.serialization.Serializable

/**
 * Describes the load of an upstream as measured by its agent.
 *
 * @property permits current concurrency limit of the agent; increases while the upstream warms up
 * @property running requests in flight
 * @property queuedTokens prompt and answer tokens that remain to be processed
 */
@Serializable
public data class UpstreamLoad(
    val permits: Int,
    val running: Int,
    val queuedTokens: Long = 0,
)

/**
 * Announces an upstream.
 *
 * @property agentHost IP address on which the agent accepts requests
 * @property incarnation increases with each start of the agent, so that reports of an earlier run can be discarded
 * @property leaving whether a planned shutdown has begun
 */
@Serializable
public data class Announcement(
    val upstream: UpstreamId,
    val zone: ZoneName,
    val agentHost: String,
    val agentPort: Int,
    val incarnation: Long,
    val versions: List<ModelVersion>,
    val load: UpstreamLoad,
    val leaving: Boolean = false,
)

/**
 * Lists all announced upstreams, or the changes since the last membership that a lease holder has received.
 *
 * @property complete whether [upstreams] replaces all that the holder knows; false for changes, and until a new leader
 * has waited for the next heartbeat of every agent
 * @property removed upstreams that the holder removes
 */
@Serializable
public data class Membership(
    val number: Long,
    val complete: Boolean,
    val upstreams: List<Announcement>,
    val removed: List<UpstreamId> = emptyList(),
)
