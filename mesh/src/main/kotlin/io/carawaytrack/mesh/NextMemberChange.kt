/*
 * Self-repair of the core: selects the next membership change that the leader makes, and tells when a removal is final.
 */
package io.carawaytrack.mesh

import io.carawaytrack.consensus.MemberChange
import io.carawaytrack.consensus.MemberStatus
import io.carawaytrack.consensus.ReplicaStatus
import io.carawaytrack.model.NodeId

/** Time without contact after which a member is unresponsive: longer than the restart of a process. */
private const val UNRESPONSIVE_MILLIS = 2_000L

/** Time without contact below which a member counts as responsive: a few heartbeats. */
private const val RESPONSIVE_MILLIS = 1_000L

/** Whether the member has replied to the leader within the last few heartbeats. */
internal val MemberStatus.isResponsive: Boolean get() = replyAgeMillis < RESPONSIVE_MILLIS

/**
 * Returns the next membership change of the leader [self], given the replicas that are [joining], or null.
 *
 * A joining replica at the address of a member replaces it, since that member has lost its disk. Otherwise it replaces
 * an unresponsive member, or is added if there is none. An unresponsive member is also removed without a replacement as
 * long as [requiredVoters] remain: it counts towards the quorum's size but not towards a quorum.
 */
internal fun nextMemberChange(
    members: List<MemberStatus>,
    joining: Set<NodeId>,
    self: NodeId,
    requiredVoters: Int,
): MemberChange? {
    val joiningReplica = joining.firstOrNull { node -> members.none { it.node == node } }
    val learner = members.firstOrNull { !it.voter }
    val others = members.filter { it.node != self }
    val predecessor = joiningReplica?.let { node -> others.firstOrNull { addressOf(it.node) == addressOf(node) } }
    val leastResponsive = others.maxByOrNull { it.replyAgeMillis }
    val replicaWaiting = joiningReplica != null || learner?.isResponsive == true
    val dispensable = replicaWaiting || members.count { it.voter } > requiredVoters
    return when {
        predecessor != null -> MemberChange.Remove(predecessor.node)
        leastResponsive != null && leastResponsive.isRemovable(dispensable) -> MemberChange.Remove(leastResponsive.node)
        learner != null -> if (learner.isResponsive) MemberChange.Promote(learner.node) else null
        joiningReplica != null -> MemberChange.AddLearner(joiningReplica)
        else -> null
    }
}

private fun MemberStatus.isRemovable(dispensable: Boolean): Boolean =
    replyAgeMillis >= UNRESPONSIVE_MILLIS && (dispensable || !voter)

/** Returns whether [node] is a member according to this replica's log. */
internal fun ReplicaStatus.isMember(node: NodeId): Boolean = members.any { it.node == node }

/**
 * Returns whether [node] may clear its folder. Another leader may undo a removal that is not committed, and then counts
 * on the removed replica's copy of acknowledged changes.
 */
internal fun ReplicaStatus.confirmsRemovalOf(node: NodeId): Boolean = membersCommitted && !isMember(node)
