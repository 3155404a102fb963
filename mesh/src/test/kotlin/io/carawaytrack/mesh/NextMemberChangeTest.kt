/*
 * The next membership change of the leader, given the members and the joining replicas.
 */
package io.carawaytrack.mesh

import io.carawaytrack.consensus.MemberChange
import io.carawaytrack.consensus.MemberStatus
import io.carawaytrack.model.NodeId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class NextMemberChangeTest {
    private val a = NodeId("10.0.0.1:70/a")
    private val b = NodeId("10.0.0.2:70/b")
    private val c = NodeId("10.0.0.3:70/c")
    private val d = NodeId("10.0.0.4:70/d")
    private val wiped = NodeId("10.0.0.2:70/w")
    private val joining = NodeId("10.0.0.9:70/f")

    private fun voter(
        node: NodeId,
        replyAgeMillis: Long = 0,
    ) = MemberStatus(node, voter = true, replyAgeMillis)

    private fun learner(
        node: NodeId,
        replyAgeMillis: Long = 0,
    ) = MemberStatus(node, voter = false, replyAgeMillis)

    private class Case(
        val name: String,
        val members: List<MemberStatus>,
        val joining: Set<NodeId>,
        val change: MemberChange?,
    )

    @TestFactory
    fun `the leader makes one change at a time`(): List<DynamicTest> = listOf(
        Case("a complete group needs no change", listOf(voter(a), voter(b), voter(c)), emptySet(), null),
        Case("a joining replica is added", listOf(voter(a)), setOf(joining), MemberChange.AddLearner(joining)),
        Case("a joining replica that is already a member is ignored", listOf(voter(a), voter(b)), setOf(b), null),
        Case(
            "a learner is promoted before the next replica is added",
            listOf(voter(a), learner(b)),
            setOf(joining),
            MemberChange.Promote(b),
        ),
        Case(
            "a host that lost its disk replaces its former replica",
            listOf(voter(a), voter(b), voter(c)),
            setOf(wiped),
            MemberChange.Remove(b),
        ),
        Case(
            "a joining replica replaces an unresponsive member",
            listOf(voter(a), voter(b), voter(c, replyAgeMillis = 2_000)),
            setOf(joining),
            MemberChange.Remove(c),
        ),
        Case(
            "a joining replica is added if all members are only slow",
            listOf(voter(a), voter(b), voter(c, replyAgeMillis = 1_900)),
            setOf(joining),
            MemberChange.AddLearner(joining),
        ),
        Case(
            "an unresponsive member stays if too few voters would remain",
            listOf(voter(a), voter(b), voter(c, replyAgeMillis = 60_000)),
            emptySet(),
            null,
        ),
        Case(
            "an unresponsive member is removed from a group of even size",
            listOf(voter(a), voter(b), voter(c), voter(d, replyAgeMillis = 2_000)),
            emptySet(),
            MemberChange.Remove(d),
        ),
        Case(
            "an unresponsive member is removed from a group of odd size",
            listOf(voter(a), voter(b), voter(c), voter(d, replyAgeMillis = 2_000), voter(joining)),
            emptySet(),
            MemberChange.Remove(d),
        ),
        Case(
            "an unresponsive learner is removed",
            listOf(voter(a), voter(b), voter(c), learner(d, replyAgeMillis = 2_000)),
            emptySet(),
            MemberChange.Remove(d),
        ),
        Case(
            "a group of two keeps both members",
            listOf(voter(a), voter(b, replyAgeMillis = 60_000)),
            emptySet(),
            null,
        ),
    ).map { case ->
        dynamicTest(case.name) {
            val change = nextMemberChange(case.members, case.joining, self = a, requiredVoters = 3)
            expectThat(change).isEqualTo(case.change)
        }
    }
}
