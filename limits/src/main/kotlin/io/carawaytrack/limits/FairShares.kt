/*
 * Fair shares of organisations (max-min fairness): what an organisation does not use of its share goes to those that
 * want more. An organisation without queued requests got all that it asked for.
 */
package io.carawaytrack.limits

import io.carawaytrack.model.OrganisationName

/**
 * Multiples of the fair share at which the steps of the excess begin. They are coarse, since the figures of other hosts
 * are up to a second old and organisations within a step are served by arrival.
 */
private val excessSteps = doubleArrayOf(1.25, 1.6, 2.2, 3.2, 5.0)

/**
 * Returns the excess step of each organisation that is above its fair share: 1 for a little above, up to
 * `excessSteps.size`. Organisations that are not above their share are absent.
 *
 * @param admitted recent work by organisation
 * @param queued organisations that have queued requests
 * @param requestWork work of a typical request; a smaller excess is due to the size of single requests
 * @param overload recent work relative to what the pool can serve; above 1, the shares are those of what it can serve
 */
public fun excessSteps(
    admitted: Map<OrganisationName, Double>,
    queued: Set<OrganisationName>,
    requestWork: Double,
    overload: Double = 1.0,
): Map<OrganisationName, Int> {
    val share = fairShare(admitted, queued, overload) ?: return emptyMap()
    val above = admitted.filterValues { it - share > requestWork }
    return above.mapValues { (_, work) -> stepOf(work, share) }.filterValues { it > 0 }
}

private fun stepOf(
    work: Double,
    share: Double,
): Int = excessSteps.count { work > it * share }

/** Returns the work to which each organisation is entitled; null when none wants more than it got. */
private fun fairShare(
    admitted: Map<OrganisationName, Double>,
    queued: Set<OrganisationName>,
    overload: Double,
): Double? {
    if (queued.isEmpty()) return null
    val total = admitted.values.sum()
    var remaining = total / maxOf(1.0, overload)
    var organisations = queued.size + admitted.keys.count { it !in queued }
    val evenShare = total / organisations
    val satisfied = admitted.filterKeys { it !in queued }.values.sorted()
    for (work in satisfied) {
        if (work * organisations > remaining) break
        remaining -= work
        organisations--
    }
    // Organisations that get no more than an even part do not crowd others out, however overloaded the pool is.
    return maxOf(evenShare, remaining / organisations)
}
