/*
 * Load of an upstream as one of its responses reported it to a host.
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
 */
@Serializable
public data class UpstreamLoad(
    val id: UpstreamId,
    val running: Int,
    val waiting: Int,
    val ageMillis: Long,
)
