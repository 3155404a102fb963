/*
 * Tallies of the roll-outs as the hosts have reported them to this one.
 */
package io.carawaytrack.mesh

import io.carawaytrack.fleet.RolloutTally
import io.carawaytrack.model.HostPort

internal class ReportedTallies {
    private val tallies = HashMap<HostPort, List<RolloutTally>>()

    /** Replaces the tallies of [host]; those of a host that has not introduced itself are ignored. */
    fun record(
        host: PeerInfo?,
        reported: List<RolloutTally>,
    ) {
        if (host != null) tallies[host.address] = reported
    }

    /** Returns the sum over the hosts for the roll-out [rolloutId]. */
    fun sumOf(rolloutId: Long): RolloutTally = tallies.values
        .flatten()
        .filter { it.rolloutId == rolloutId }
        .fold(RolloutTally(rolloutId), RolloutTally::plus)
}
