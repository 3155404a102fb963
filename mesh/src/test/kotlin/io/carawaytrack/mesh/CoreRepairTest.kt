/*
 * Members of the core over time, as the leader changes them while hosts with a disk are lost for good and replaced.
 */
package io.carawaytrack.mesh

import io.carawaytrack.consensus.MemberChange
import io.carawaytrack.consensus.MemberStatus
import io.carawaytrack.model.NodeId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo

/** Longest election timeout of the hosts' replicas. */
private const val ELECTION_MILLIS = 2_000L

/** Time from the loss of a host to the start of its successor, and from there to the first request to join. */
private const val SUCCESSOR_START_MILLIS = 1_000L
private const val JOIN_DELAY_MILLIS = 500L

/** Time after its start within which a successor must have restored the tolerated loss. */
private const val CATCH_UP_MILLIS = 4_000L

class CoreRepairTest {
    /**
     * A core whose leader makes one membership change each tick. Starts with [hosts] voters, of which [tolerated] may
     * be lost at the same time.
     */
    private class SimulatedCore(
        hosts: Int,
        private val tolerated: Int,
    ) {
        private var nowMillis = 0L
        private var hostsStarted = 0
        private val voters = LinkedHashSet<NodeId>()
        private val learners = LinkedHashSet<NodeId>()
        private val joining = LinkedHashSet<NodeId>()
        private val lostAtMillis = HashMap<NodeId, Long>()
        private var leader: NodeId
        private var leadsSinceMillis = 0L

        init {
            repeat(hosts) { voters += newHost() }
            leader = voters.first()
        }

        /** Responsive voters that the core has beyond a quorum. */
        val spareVoters: Int get() = voters.count { it !in lostAtMillis } - (voters.size / 2 + 1)

        fun loseLeader() = lose(leader)

        fun loseFollower() = lose(voters.last { it != leader && it !in lostAtMillis })

        private fun lose(node: NodeId) {
            lostAtMillis[node] = nowMillis
            if (node != leader) return
            leader = voters.first { it !in lostAtMillis }
            leadsSinceMillis = nowMillis + ELECTION_MILLIS
        }

        /** Starts a successor at another address, and runs until its time to catch up has passed. */
        fun replaceLost() {
            run(SUCCESSOR_START_MILLIS + JOIN_DELAY_MILLIS)
            joining += newHost()
            run(CATCH_UP_MILLIS - JOIN_DELAY_MILLIS)
        }

        fun run(millis: Long) {
            val endMillis = nowMillis + millis
            while (nowMillis < endMillis) {
                nowMillis += MESH_TICK_MILLIS
                if (nowMillis >= leadsSinceMillis) changeMembers()
            }
        }

        private fun newHost() = NodeId("10.0.0.${++hostsStarted}:70/$hostsStarted")

        private fun changeMembers() {
            val statuses = voters.map { status(it, voter = true) } + learners.map { status(it, voter = false) }
            when (val change = nextMemberChange(statuses, joining, leader, requiredVoters = 2 * tolerated + 1)) {
                is MemberChange.AddLearner -> learners += change.node
                is MemberChange.Promote -> voters += change.node.also(learners::remove)
                is MemberChange.Remove -> if (!voters.remove(change.node)) learners.remove(change.node)
                null -> Unit
            }
            joining.removeAll(voters + learners)
        }

        /** A new leader has heard no member before, so silence counts from its election. */
        private fun status(
            node: NodeId,
            voter: Boolean,
        ) = MemberStatus(
            node,
            voter,
            replyAgeMillis = lostAtMillis[node]?.let { nowMillis - maxOf(it, leadsSinceMillis) } ?: 0,
        )
    }

    private class Case(
        val name: String,
        val hosts: Int,
        val tolerated: Int,
        val losses: SimulatedCore.() -> Unit,
    )

    @TestFactory
    fun `a lost disk after hosts were replaced does not leave the core without a quorum`(): List<DynamicTest> = listOf(
        Case("a follower of three", hosts = 3, tolerated = 1) {
            loseFollower()
            replaceLost()
        },
        Case("the leader of three", hosts = 3, tolerated = 1) {
            loseLeader()
            replaceLost()
        },
        Case("the leader of four", hosts = 4, tolerated = 1) {
            loseLeader()
            replaceLost()
        },
        Case("the leader of four, and later its successor", hosts = 4, tolerated = 1) {
            loseLeader()
            replaceLost()
            run(millis = 7_000)
            loseLeader()
            replaceLost()
        },
        Case("a follower of four, and later the leader", hosts = 4, tolerated = 1) {
            loseFollower()
            replaceLost()
            run(millis = 60_000)
            loseLeader()
            replaceLost()
        },
        Case("two of ten at once, and later the leader", hosts = 10, tolerated = 2) {
            loseFollower()
            loseFollower()
            replaceLost()
            run(millis = 7_000)
            loseLeader()
            replaceLost()
        },
    ).map { case ->
        dynamicTest(case.name) {
            val core = SimulatedCore(case.hosts, case.tolerated)
            case.losses(core)
            expectThat(core.spareVoters).isGreaterThanOrEqualTo(case.tolerated)
        }
    }
}
