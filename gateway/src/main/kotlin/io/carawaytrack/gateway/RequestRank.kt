/*
 * Rank of a request among those of its host, and the urgency that engines receive for it. Organisations mostly have the
 * same priority. Where engines are short of time, their requests are therefore also ranked by the route's priority, so
 * that a short urgent prompt does not wait behind long ones.
 */
package io.carawaytrack.gateway

/** Route priorities that are distinguished among organisations of equal priority. */
private const val ROUTE_RANKS = 3

/** Urgency of rank 0, the step between two ranks, and the least urgent value, at which lower ranks are capped. */
private const val FIRST_URGENCY = 1
private const val URGENCY_STEP = 2
private const val LOWEST_URGENCY = 9

/**
 * Returns the rank of a request, 0 is the most urgent. An organisation's priority takes precedence over the route's;
 * with [byRoute], the route's decides among organisations of equal priority, otherwise it is disregarded.
 */
internal fun rankOf(
    organisationPriority: Int?,
    routePriority: Int,
    byRoute: Boolean,
): Int {
    val priority = organisationPriority ?: routePriority
    return if (byRoute) priority * ROUTE_RANKS + routePriority.coerceIn(0, ROUTE_RANKS - 1) else priority
}

/** Returns the scheduling urgency for [rank], from 0 (the most urgent) to 9; there are more ranks [byRoute]. */
internal fun urgencyOf(
    rank: Int,
    byRoute: Boolean,
): Int = (FIRST_URGENCY + rank * (if (byRoute) 1 else URGENCY_STEP)).coerceIn(0, LOWEST_URGENCY)
