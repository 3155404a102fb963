/*
 * How the core repairs itself: which change of its members a leader makes next.
 */
package io.carawaytrack.mesh

import io.carawaytrack.consensus.MemberChange
import io.carawaytrack.consensus.MemberStatus
import io.carawaytrack.model.NodeId

/** Silence after which a member gives way to a waiting newcomer, in milliseconds: above the failure detection. */
private const val REPLACED_AFTER_MILLIS = 3_000L

/** Silence after which a member leaves a group of even size, which is the safer without it, in milliseconds. */
private const val EVEN_GROUP_SILENCE_MILLIS = 8_000L

/** Silence below which a learner counts as reachable, in milliseconds: a few heartbeats. */
private const val REACHABLE_MILLIS = 1_000L

/**
 * Returns the change of the [members] that the leader [self] is to make next, given who is [joining].
 *
 * A newcomer at the address of a member takes its place, since that member's disk is gone. Otherwise a newcomer takes
 * the place of a silent member, or is added where none is silent. A silent member is also dropped from a group of even
 * size: the group bears no fewer losses without it.
 */
internal fun dueChange(
    members: List<MemberStatus>,
    joining: Set<NodeId>,
    self: NodeId,
): MemberChange? {
    val newcomer = joining.firstOrNull { joiner -> members.none { it.node == joiner } }
    val learner = members.firstOrNull { !it.voter }
    val others = members.filter { it.node != self }
    val displaced = newcomer?.let { joiner -> others.firstOrNull { addressOf(it.node) == addressOf(joiner) } }
    val silent = others.maxByOrNull { it.replyAgeMillis }
    val waiting = newcomer != null || learner?.let { it.replyAgeMillis < REACHABLE_MILLIS } == true
    val voters = members.count { it.voter }
    return when {
        displaced != null -> MemberChange.Remove(displaced.node)
        silent != null && silent.isDueToGo(waiting, voters) -> MemberChange.Remove(silent.node)
        learner != null -> if (learner.replyAgeMillis < REACHABLE_MILLIS) MemberChange.Promote(learner.node) else null
        newcomer != null -> MemberChange.AddLearner(newcomer)
        else -> null
    }
}

private fun MemberStatus.isDueToGo(
    newcomerWaits: Boolean,
    voters: Int,
): Boolean = when {
    newcomerWaits -> replyAgeMillis >= REPLACED_AFTER_MILLIS
    !voter -> replyAgeMillis >= EVEN_GROUP_SILENCE_MILLIS
    else -> voters % 2 == 0 && voters > 2 && replyAgeMillis >= EVEN_GROUP_SILENCE_MILLIS
}
