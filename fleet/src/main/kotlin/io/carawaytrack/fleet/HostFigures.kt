/*
 * Figures of which only the sum over the hosts of a fleet is meaningful. Hosts share them at a fixed interval; a figure
 * that a host does not send counts as zero.
 */
package io.carawaytrack.fleet

import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.UpstreamId
import kotlinx.serialization.Serializable

/**
 * Figures of one host, or their sum over several hosts.
 *
 * @property unreadTokens prompt tokens that an engine has accepted and not read yet, weighed by model, by engine
 * @property admittedWork work admitted recently, by organisation
 */
@Serializable
public data class HostFigures(
    val unreadTokens: Map<UpstreamId, Long> = emptyMap(),
    val admittedWork: Map<OrganisationName, Long> = emptyMap(),
)

/** Returns the sum of both figures. */
public operator fun HostFigures.plus(other: HostFigures): HostFigures = HostFigures(
    unreadTokens = unreadTokens + other.unreadTokens.mapValues { (id, tokens) -> tokens + (unreadTokens[id] ?: 0) },
    admittedWork = admittedWork + other.admittedWork.mapValues { (name, work) -> work + (admittedWork[name] ?: 0) },
)
