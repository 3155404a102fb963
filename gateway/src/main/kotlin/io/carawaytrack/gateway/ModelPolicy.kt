/*
 * Which of a route's models answers a request that leaves the choice to the gateway. A larger model answers harder
 * requests well, costs more and takes more of an engine's time.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CatalogPool
import io.carawaytrack.fleet.CatalogRoute

internal class ModelPolicy {
    /** Returns the position of the model to ask first. */
    fun first(
        route: CatalogRoute,
        pool: CatalogPool,
        demand: PromptDemand,
    ): Int = route.models.lastIndex

    /** Takes in the opinion that the model at [index] has of its answer. */
    fun learn(
        route: CatalogRoute,
        index: Int,
        confidence: Int,
    ) = Unit

    /** Returns whether the answer of the model at [index] is to be dropped for one of the next larger model. */
    fun wantsLarger(
        route: CatalogRoute,
        index: Int,
        confidence: Int,
        onTimeLeftMillis: Long,
    ): Boolean = false
}
