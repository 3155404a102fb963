/*
 * A replica that was promoted before it has received the log that makes it a voter.
 */
package io.carawaytrack.consensus

import io.carawaytrack.model.NodeId
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory

class PromotedVoterTest {
    @TestFactory
    fun `a group whose leader is lost while it promotes a replica with an empty log elects a leader`() =
        listOf(1, 3).flatMap { size -> (1..10).map { seed -> size to seed } }.map { (size, seed) ->
            dynamicTest("$size voters and a promoted one, seed $seed") { promoteWithoutLog(TestGroup(seed, size)) }
        }

    private fun promoteWithoutLog(group: TestGroup) {
        val leader = group.electLeader()
        val promoted = group.add(NodeId("new"))
        group.isolate(promoted)
        val added = group.change(leader, MemberChange.AddLearner(promoted.node))
        group.runUntil("the learner added") { added.succeeded }
        group.change(leader, MemberChange.Promote(promoted.node))
        group.run(millis = 30)
        if (group.hosts.size > 2) group.crash(leader)
        group.run(millis = 1_000)
        group.heal()
        group.commit(listOf("after"))
    }
}
