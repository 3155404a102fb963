/*
 * Exclusive duties: calls to the platform that one host at a time makes. The replicated state holds the grant of the
 * duties and the usage reports, so that a successor continues where its predecessor stopped.
 */
package io.carawaytrack.fleet

import io.carawaytrack.model.OrganisationName
import kotlinx.serialization.Serializable

/**
 * Grant of the duties to a host.
 *
 * @property holder name of the host
 * @property incarnation start of its process; a restarted process needs a grant of its own
 * @property token fencing token; the log index of the grant, so that a later grant has a higher one
 */
@Serializable
public data class DutyGrant(
    val holder: String,
    val incarnation: Long,
    val token: Long,
)

/** Requests that began to run in a window of time, by organisation. */
@Serializable
public data class UsageWindow(
    val windowId: Long,
    val counts: Map<OrganisationName, Long>,
)
