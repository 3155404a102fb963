/*
 * What agents tell each other, by way of the control hosts, about requests at which upstreams have died.
 */
package io.carawaytrack.model

import kotlinx.serialization.Serializable

/** Counts the deaths of upstreams at which the request with [fingerprint] was in flight. */
@Serializable
public data class SuspectCount(
    val fingerprint: Long,
    val deaths: Int,
)

/**
 * Reports all that one agent has seen.
 *
 * @property sequence rises with each change; a report with a lower one is out of date
 */
@Serializable
public data class SuspectReport(
    val origin: NodeId,
    val sequence: Long,
    val counts: List<SuspectCount>,
)
