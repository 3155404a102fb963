/*
 * The members of the group that replicates the log. The membership is an entry of the log and is in force as soon as it
 * is appended. Members are changed one at a time, so that a quorum of the old members and a quorum of the new ones
 * always overlap.
 */
package io.carawaytrack.consensus

import io.carawaytrack.model.NodeId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Incarnation of a member that has not replied to a leader yet. */
internal const val UNKNOWN_INCARNATION: Long = 0

/** Describes a single-server membership change. */
public sealed interface MemberChange {
    /** The member that is added, promoted or removed. */
    public val node: NodeId

    /** Adds a replica that receives the log but does not vote. */
    public data class AddLearner(
        override val node: NodeId,
    ) : MemberChange

    /** Turns a learner that has caught up into a voter. */
    public data class Promote(
        override val node: NodeId,
    ) : MemberChange

    /** Removes a replica; its node identity must not be reused. */
    public data class Remove(
        override val node: NodeId,
    ) : MemberChange
}

/**
 * Describes one member.
 *
 * @property incarnation incarnation of the member's data folder once known; messages under any other one are ignored,
 * unless they come from a leader
 */
@Serializable
@SerialName("member")
internal data class Member(
    val node: NodeId,
    val voter: Boolean,
    val incarnation: Long = UNKNOWN_INCARNATION,
)

@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("members")
internal data class GroupMembers(
    val members: List<Member>,
) {
    val voters: List<NodeId> get() = members.filter { it.voter }.map { it.node }

    val quorum: Int get() = voters.size / 2 + 1

    operator fun get(node: NodeId): Member? = members.firstOrNull { it.node == node }

    fun isVoter(node: NodeId): Boolean = get(node)?.voter == true

    /** Returns whether [nodes] include a quorum of the voters. */
    fun isQuorum(nodes: Collection<NodeId>): Boolean = voters.count { it in nodes } >= quorum && voters.isNotEmpty()

    /** Returns whether [node] is known with an incarnation other than [incarnation]. */
    fun hasOtherIncarnation(
        node: NodeId,
        incarnation: Long,
    ): Boolean = get(node)?.incarnation.let { it != null && it != UNKNOWN_INCARNATION && it != incarnation }

    fun apply(change: MemberChange): GroupMembers = when (change) {
        is MemberChange.AddLearner -> GroupMembers(members + Member(change.node, voter = false))
        is MemberChange.Promote -> replace(change.node) { it.copy(voter = true) }
        is MemberChange.Remove -> GroupMembers(members.filter { it.node != change.node })
    }

    /** Returns these members with unknown incarnations filled in from [observed]. */
    fun withIncarnations(observed: Map<NodeId, Long>): GroupMembers = GroupMembers(
        members.map { member ->
            val incarnation = observed[member.node]
            val unknown = member.incarnation == UNKNOWN_INCARNATION
            if (unknown && incarnation != null) member.copy(incarnation = incarnation) else member
        },
    )

    fun encode(): ByteArray = Cbor.encodeToByteArray(this)

    private fun replace(
        node: NodeId,
        change: (Member) -> Member,
    ) = GroupMembers(members.map { if (it.node == node) change(it) else it })

    companion object {
        fun ofVoters(nodes: List<NodeId>): GroupMembers = GroupMembers(nodes.map { Member(it, voter = true) })

        fun decode(bytes: ByteArray): GroupMembers = Cbor.decodeFromByteArray(bytes)
    }
}
