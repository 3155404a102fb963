/*
 * Load of an upstream, and the limit that it states, as one of its responses reported them to a host.
 */
package io.carawaytrack.fleet

import io.carawaytrack.model.UpstreamId
import kotlinx.serialization.Serializable

/**
 * Load of the upstream [id].
 *
 * @property running number of requests that it processed
 * @property waiting number of requests in its queue
 * @property ageMillis time since the report arrived at the host that received it
 * @property limitPerSecond requests that the upstream accepts from all hosts together; null if it states no limit
 * @property pacePercent how long its work takes at this moment, 100 means as usual; null if it states none
 * @property startedAtMillis start of the upstream; null in reports of older builds, which say nothing about a limit
 */
@Serializable
public data class UpstreamLoad(
    val id: UpstreamId,
    val running: Int,
    val waiting: Int,
    val ageMillis: Long,
    val limitPerSecond: Double? = null,
    val startedAtMillis: Long? = null,
    val pacePercent: Int? = null,
)
