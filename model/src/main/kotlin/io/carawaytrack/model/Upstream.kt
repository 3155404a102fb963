/*
 * What an agent tells about the upstream beside it. Nothing lists the upstreams of a deployment: they are those whose
 * agents have announced them within the last few seconds.
 */
package io.carawaytrack.model

import kotlinx.serialization.Serializable

/**
 * Reports how busy an upstream is, as its agent sees it.
 *
 * @property permits requests that the agent would run at once now; rises as the upstream proves warm
 * @property running requests that are running
 * @property queuedTokens prompt and answer tokens still to be worked off
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
 * @property agentHost IP number on which the agent takes requests
 * @property incarnation rises with each start of the agent, so that reports of an earlier one are told apart
 * @property leaving true from the moment a planned stop begins
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
 * Lists the upstreams that have announced themselves.
 *
 * @property complete false while a new leader has not yet waited for every agent's next heartbeat; then a holder adds
 * to what it knows and removes nothing
 */
@Serializable
public data class Membership(
    val number: Long,
    val complete: Boolean,
    val upstreams: List<Announcement>,
    val removed: List<UpstreamId> = emptyList(),
)
