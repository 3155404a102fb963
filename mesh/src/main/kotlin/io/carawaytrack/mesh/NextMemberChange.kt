/*
 * Self-repair of the core: selects the next membership change that the leader makes.
 */
package io.carawaytrack.mesh

import io.carawaytrack.consensus.MemberChange
import io.carawaytrack.consensus.MemberStatus
import io.carawaytrack.model.NodeId

/** Time without contact after which a waiting replica replaces a member: longer than the failure detection. */
private const val REPLACEMENT_TIMEOUT_MILLIS = 3_000L

/** Time without contact after which a member is removed from a group of even size, which is safer without it. */
private const val EVEN_GROUP_REMOVAL_TIMEOUT_MILLIS = 8_000L

/** Time without contact below which a member counts as responsive: a few heartbeats. */
private const val RESPONSIVE_MILLIS = 1_000L

/** Whether the member has replied to the leader within the last few heartbeats. */
internal val MemberStatus.isResponsive: Boolean get() = replyAgeMillis < RESPONSIVE_MILLIS

/**
 * Returns the next membership change of the leader [self], given the replicas that are [joining], or null.
 *
 * A joining replica at the address of a member replaces it, since that member has lost its disk. Otherwise it replaces
 * an unresponsive member, or is added if there is none. An unresponsive member is also removed from a group of even
 * size, since the smaller group tolerates as many failures.
 */
internal fun nextMemberChange(
    members: List<MemberStatus>,
    joining: Set<NodeId>,
    self: NodeId,
): MemberChange? {
    val joiningReplica = joining.firstOrNull { node -> members.none { it.node == node } }
    val learner = members.firstOrNull { !it.voter }
    val others = members.filter { it.node != self }
    val predecessor = joiningReplica?.let { node -> others.firstOrNull { addressOf(it.node) == addressOf(node) } }
    val leastResponsive = others.maxByOrNull { it.replyAgeMillis }
    val replicaWaiting = joiningReplica != null || learner?.isResponsive == true
    val voters = members.count { it.voter }
    return when {
        predecessor != null -> MemberChange.Remove(predecessor.node)
        leastResponsive != null && leastResponsive.isRemovable(replicaWaiting, voters) ->
            MemberChange.Remove(leastResponsive.node)
        learner != null -> if (learner.isResponsive) MemberChange.Promote(learner.node) else null
        joiningReplica != null -> MemberChange.AddLearner(joiningReplica)
        else -> null
    }
}

private fun MemberStatus.isRemovable(
    replicaWaiting: Boolean,
    voters: Int,
): Boolean = when {
    replicaWaiting -> replyAgeMillis >= REPLACEMENT_TIMEOUT_MILLIS
    !voter -> replyAgeMillis >= EVEN_GROUP_REMOVAL_TIMEOUT_MILLIS
    else -> voters % 2 == 0 && voters > 2 && replyAgeMillis >= EVEN_GROUP_REMOVAL_TIMEOUT_MILLIS
}
