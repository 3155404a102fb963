/*
 * Input and result of the selection of an upstream.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CatalogPool
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.routing.load.PlacedWork

/**
 * Describes what a request requires of an upstream.
 *
 * @property model model that the request is to run, if it is known
 * @property urgency scheduling urgency of the request, 0 is the most urgent
 * @property excluded upstreams that the request should not be sent to again
 * @property allowExcluded whether an excluded upstream may be selected when every available one is excluded
 */
internal class SelectionCriteria(
    val pool: CatalogPool,
    val affinity: RequestAffinity,
    val demand: PromptDemand,
    val model: String,
    val excluded: Set<UpstreamId>,
    val allowExcluded: Boolean,
    val urgency: Int = 0,
)

/** The upstream for a request; [work] is null unless its pool is time-critical. */
internal class ChosenUpstream(
    val upstream: UpstreamState,
    val work: PlacedWork?,
)
