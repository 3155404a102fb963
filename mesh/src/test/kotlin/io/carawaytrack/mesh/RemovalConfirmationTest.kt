/*
 * When the leader tells a replica that it is no longer a member, so that it clears its folder.
 */
package io.carawaytrack.mesh

import io.carawaytrack.consensus.MemberStatus
import io.carawaytrack.consensus.ReplicaStatus
import io.carawaytrack.model.NodeId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RemovalConfirmationTest {
    private val leader = NodeId("10.0.0.1:70/a")
    private val replica = NodeId("10.0.0.2:70/b")

    private class Case(
        val name: String,
        val members: List<NodeId>,
        val committed: Boolean,
        val confirmed: Boolean,
    )

    @TestFactory
    fun `a replica does not clear its copy for a removal that another leader may undo`(): List<DynamicTest> = listOf(
        Case("a member", listOf(leader, replica), committed = true, confirmed = false),
        Case("a replica whose removal is not committed", listOf(leader), committed = false, confirmed = false),
        Case("a replica whose removal is committed", listOf(leader), committed = true, confirmed = true),
    ).map { case ->
        dynamicTest(case.name) {
            val status =
                ReplicaStatus(
                    node = leader,
                    leader = leader,
                    term = 1,
                    commitIndex = 1,
                    appliedIndex = 1,
                    members = case.members.map { MemberStatus(it, voter = true, replyAgeMillis = 0) },
                    membersCommitted = case.committed,
                )
            expectThat(status.confirmsRemovalOf(replica)).isEqualTo(case.confirmed)
        }
    }
}
