/*
 * Members, newcomers and the change of the group that its leader makes next.
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

class DueChangeTest {
    private val a = NodeId("10.0.0.1:70/a")
    private val b = NodeId("10.0.0.2:70/b")
    private val c = NodeId("10.0.0.3:70/c")
    private val d = NodeId("10.0.0.4:70/d")
    private val wiped = NodeId("10.0.0.2:70/w")
    private val fresh = NodeId("10.0.0.9:70/f")

    private fun voter(
        node: NodeId,
        silentMillis: Long = 0,
    ) = MemberStatus(node, voter = true, silentMillis)

    private fun learner(
        node: NodeId,
        silentMillis: Long = 0,
    ) = MemberStatus(node, voter = false, silentMillis)

    private class Case(
        val name: String,
        val members: List<MemberStatus>,
        val joining: Set<NodeId>,
        val change: MemberChange?,
    )

    @TestFactory
    fun `the leader makes one change at a time`(): List<DynamicTest> = listOf(
        Case("nothing is due in a whole group", listOf(voter(a), voter(b), voter(c)), emptySet(), null),
        Case("a newcomer is added", listOf(voter(a)), setOf(fresh), MemberChange.AddLearner(fresh)),
        Case("a newcomer that is a member already is left", listOf(voter(a), voter(b)), setOf(b), null),
        Case(
            "a learner is promoted before the next newcomer is added",
            listOf(voter(a), learner(b)),
            setOf(fresh),
            MemberChange.Promote(b),
        ),
        Case(
            "a host that lost its disk takes its own place",
            listOf(voter(a), voter(b), voter(c)),
            setOf(wiped),
            MemberChange.Remove(b),
        ),
        Case(
            "a newcomer takes the place of a silent member",
            listOf(voter(a), voter(b), voter(c, silentMillis = 3_000)),
            setOf(fresh),
            MemberChange.Remove(c),
        ),
        Case(
            "a newcomer is added beside members that are merely slow",
            listOf(voter(a), voter(b), voter(c, silentMillis = 2_900)),
            setOf(fresh),
            MemberChange.AddLearner(fresh),
        ),
        Case(
            "a silent member stays in a group of odd size",
            listOf(voter(a), voter(b), voter(c, silentMillis = 60_000)),
            emptySet(),
            null,
        ),
        Case(
            "a silent member leaves a group of even size",
            listOf(voter(a), voter(b), voter(c), voter(d, silentMillis = 8_000)),
            emptySet(),
            MemberChange.Remove(d),
        ),
        Case("the last two stay together", listOf(voter(a), voter(b, silentMillis = 60_000)), emptySet(), null),
    ).map { case ->
        dynamicTest(case.name) { expectThat(dueChange(case.members, case.joining, self = a)).isEqualTo(case.change) }
    }
}
