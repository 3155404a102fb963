/*
 * Reports of requests that were in flight when upstreams crashed. Agents exchange them through the control hosts.
 */
package io.carawaytrack.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Counts the upstream crashes during which the request with [fingerprint] was in flight. */
@Serializable
public data class SuspectCount(
    val fingerprint: Long,
    @SerialName("deaths") val crashes: Int,
)

/**
 * Reports all crashes that one agent has observed.
 *
 * @property sequence increases with each change; a report with a lower number is out of date
 */
@Serializable
public data class SuspectReport(
    val origin: NodeId,
    val sequence: Long,
    val counts: List<SuspectCount>,
)
