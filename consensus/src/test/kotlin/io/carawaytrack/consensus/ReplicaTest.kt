/*
 * Tests a group of replicas in normal operation and under specific faults.
 */
package io.carawaytrack.consensus

import com.github.michaelbull.result.getError
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.NodeId
import io.carawaytrack.storage.StorageFailure
import io.carawaytrack.storage.openLogStore
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

class ReplicaTest {
    private val group = TestGroup(seed = 1)
    private val Host.followers get() = group.hosts.values - this

    @Test
    fun `a command is applied on every replica`() {
        group.electLeader()
        group.commit(listOf("a", "b", "c"))
        group.runUntilAllApplied(listOf("a", "b", "c"))
        group.hosts.values.forEach { expectThat(it.stateMachine.applied).containsExactly("a", "b", "c") }
    }

    @Test
    fun `no acknowledged command is lost when every replica restarts after 500 commands`() {
        val commands = commands(500)
        group.electLeader()
        group.commit(commands)
        group.hosts.values.forEach(group::crash)
        group.hosts.values.forEach(group::restart)
        group.electLeader()
        group.runUntilAllApplied(commands)
    }

    @Test
    fun `a follower refuses calls with NotLeader and NotRun`() {
        val follower = group.electLeader().followers.first()
        val calls = listOf(group.propose(follower, "a"), group.confirm(follower))
        group.run(millis = 20)
        calls.forEach {
            expectThat(it.failure)
                .isNotNull()
                .get { kind to execution }
                .isEqualTo(ErrorKind.NotLeader to Execution.NotRun)
        }
        group.run(millis = 1_000)
        group.hosts.values.forEach { expectThat(it.stateMachine.applied).containsExactly() }
    }

    @Test
    fun `only the leader accepts when every host receives a proposal`() {
        val leader = group.electLeader()
        val outcomes = group.hosts.values.associateWith { group.propose(it, "from ${it.node}") }
        group.run(millis = 1_000)
        outcomes.forEach { (host, call) -> expectThat(call.succeeded).isEqualTo(host == leader) }
        expectThat(leader.stateMachine.applied).containsExactly("from ${leader.node}")
    }

    @TestFactory
    fun `a partitioned leader confirms no read, acknowledges no command and is replaced by a new leader`() =
        listOf<Pair<String, (TestGroup, Host, Host) -> Unit>>(
            "neither sends nor receives" to { group, leader, other ->
                group.block(leader, other).also { group.block(other, leader) }
            },
            "sends but does not receive" to { group, leader, other -> group.block(other, leader) },
            "receives but does not send" to { group, leader, other -> group.block(leader, other) },
        ).map { (name, partition) ->
            dynamicTest(name) {
                val group = TestGroup(seed = 2)
                val old = group.electLeader()
                (group.hosts.values - old).forEach { partition(group, old, it) }
                val confirmation = group.confirm(old)
                val proposal = group.propose(old, "lost")
                group.runUntil(
                    "another leader",
                    withinMillis = 2_000,
                ) { group.leader().let { it != null && it != old } }
                group.runUntil("answers", withinMillis = 1_000) {
                    proposal.outcome != null &&
                        confirmation.outcome != null
                }
                expectThat(confirmation.failure?.kind).isEqualTo(ErrorKind.NotLeader)
                expectThat(proposal.failure)
                    .isNotNull()
                    .get { kind to execution }
                    .isEqualTo(ErrorKind.ControlUnavailable to Execution.MayHaveRun)
                group.commit(listOf("kept"))
                group.heal()
                group.runUntilAllApplied(listOf("kept"))
            }
        }

    @Test
    fun `a leader that returns after a minute in a partition causes no election`() {
        val old = group.electLeader()
        group.isolate(old)
        group.runUntil("another leader") { group.leader().let { it != null && it != old } }
        group.commit(commands(20))
        group.run(millis = 60_000)
        val term =
            group
                .leader()!!
                .driver!!
                .status.term
        expectThat(old.driver!!.status.leading).isFalse()
        group.heal()
        group.runUntilAllApplied(commands(20))
        group.run(millis = 2_000)
        expectThat(
            group
                .leader()!!
                .driver!!
                .status.term,
        ).isEqualTo(term)
    }

    @Test
    fun `a leader that resumes after a pause confirms no read once another has been elected`() {
        val old = group.electLeader()
        old.paused = true
        val confirmation = group.confirm(old)
        group.runUntil("another leader") { group.hosts.values.any { it != old && it.driver!!.status.leading } }
        val new = group.hosts.values.first { it != old && it.driver!!.status.leading }
        val proposal = group.propose(new, "after")
        group.runUntil("a commit by the new leader") { proposal.succeeded }
        old.paused = false
        group.run(millis = 500)
        expectThat(confirmation.failure?.kind).isEqualTo(ErrorKind.NotLeader)
        group.runUntilAllApplied(listOf("after"))
    }

    @Test
    fun `a confirmed read includes every command acknowledged before it`() {
        val leader = group.electLeader()
        group.commit(listOf("a"))
        val first = group.confirm(leader)
        group.run(millis = 1)
        val shared = List(5) { group.confirm(leader) }
        group.runUntil("confirmations") { first.succeeded && shared.all(Call::succeeded) }
        expectThat(leader.stateMachine.applied).containsExactly("a")
    }

    @Test
    fun `a lost host is replaced by a learner and the group survives the loss of a second host`() {
        val leader = group.electLeader()
        group.commit(commands(200))
        val lost = leader.followers.first()
        group.loseDisk(lost)
        expectThat(openLogStore(lost.disk, "test", lost.node).getError()).isNotNull().isA<StorageFailure.EmptyFolder>()
        group.hosts.remove(lost.node)

        val replacement = group.add(NodeId("c4"))
        changeMembers(MemberChange.AddLearner(replacement.node))
        changeMembers(MemberChange.Promote(replacement.node))
        changeMembers(MemberChange.Remove(lost.node))

        val second = group.leader()!!
        group.loseDisk(second)
        group.hosts.remove(second.node)
        group.electLeader()
        group.commit(listOf("after"))
        group.runUntilAllApplied(commands(200) + "after")
    }

    @Test
    fun `a learner is promoted only after it has caught up and replied`() {
        val leader = group.electLeader()
        group.commit(commands(100))
        val learner = group.add(NodeId("c4"))
        group.isolate(learner)
        changeMembers(MemberChange.AddLearner(learner.node))
        group.run(millis = 1_000)
        val early = group.change(leader, MemberChange.Promote(learner.node))
        group.run(millis = 100)
        expectThat(early.failure).isNotNull().get { kind to execution }.isEqualTo(
            ErrorKind.InProgress to Execution.NotRun,
        )
        group.heal()
        group.runUntilAllApplied(commands(100))
        changeMembers(MemberChange.Promote(learner.node))
    }

    @Test
    fun `a removal does not count as committed before it is on a quorum of the remaining members`() {
        val leader = group.electLeader()
        group.run(millis = 100)
        val (remaining, removed) = leader.followers
        group.isolate(remaining)
        group.change(leader, MemberChange.Remove(removed.node))
        group.run(millis = 50)
        expectThat(leader.driver!!.status) {
            get { members.map { it.node } }.containsExactlyInAnyOrder(leader.node, remaining.node)
            get { membersCommitted }.isFalse()
        }
        group.heal()
        group.runUntil("a committed removal") { leader.driver!!.status.membersCommitted }
    }

    @Test
    fun `another leader is elected when the leader is removed`() {
        val leader = group.electLeader()
        changeMembers(MemberChange.Remove(leader.node))
        group.runUntil("another leader") { group.leader().let { it != null && it != leader } }
        group.commit(listOf("a"))
        expectThat(leader.driver!!.status.leading).isFalse()
    }

    @Test
    fun `a host that lost its disk does not vote under its old identity`() {
        val leader = group.electLeader()
        val (lagging, wiped) = leader.followers
        group.run(millis = 500)
        group.isolate(lagging)
        group.commit(listOf("kept"))
        group.crash(leader)
        group.loseDisk(wiped)
        group.initialise(wiped)
        group.start(wiped)
        group.heal()
        group.run(millis = 5_000)
        expectThat(group.leader()).isNull()
        group.restart(leader)
        group.runUntilAllApplied(listOf("kept"), on = listOf(leader, lagging))
    }

    @Test
    fun `a host that is far behind catches up through a snapshot in chunks`() {
        val leader = group.electLeader()
        val lagging = leader.followers.first()
        group.isolate(lagging)
        group.commit(commands(300))
        group.heal()
        group.runUntilAllApplied(commands(300))
        group.restart(lagging)
        group.runUntilAllApplied(commands(300))
    }

    @Test
    fun `every message is smaller than 512 KiB`() {
        val group = TestGroup(seed = 3, settings = ReplicaSettings(snapshotEveryEntries = 20, keptEntries = 5))
        val leader = group.electLeader()
        val lagging = (group.hosts.values - leader).first()
        group.isolate(lagging)
        val large = (1..30).map { "$it ".padEnd(250 * 1024, 'x') }
        val small = (1..2_000).map { "s$it" }
        group.commit(large)
        small.map { group.propose(leader, it) }.also { calls ->
            group.runUntil("commits") { calls.all(Call::succeeded) }
        }
        group.heal()
        group.runUntil("the lagging host to catch up") { lagging.stateMachine.applied.size == 2_030 }
        expectThat(group.largestMessageBytes).isLessThan(512 * 1024)
    }

    @TestFactory
    fun `a replica whose disk fails halts and reports the outcome of each call and the others continue`() =
        listOf<Pair<String, (MemoryDisk) -> Unit>>(
            "failed sync" to { it.failSync = true },
            "full disk" to { it.capacityBytes = 1 },
        ).map { (name, fault) ->
            dynamicTest(name) {
                val group = TestGroup(seed = 4)
                val old = group.electLeader()
                group.commit(listOf("before"))
                fault(old.disk)
                val proposal = group.propose(old, "under way")
                group.run(millis = 5)
                val later = group.propose(old, "later")
                group.run(millis = 5)
                expectThat(proposal.failure)
                    .isNotNull()
                    .get { kind to execution }
                    .isEqualTo(ErrorKind.StorageFailed to Execution.MayHaveRun)
                expectThat(later.failure)
                    .isNotNull()
                    .get { kind to execution }
                    .isEqualTo(ErrorKind.StorageFailed to Execution.NotRun)
                group.runUntil("another leader") { group.leader().let { it != null && it != old } }
                group.commit(listOf("after"))
                old.disk.capacityBytes = Int.MAX_VALUE
                group.restart(old)
                group.runUntilAllApplied(listOf("before", "after"))
            }
        }

    @Test
    fun `a call whose entry may have been sent is never reported as not run`() {
        val leader = group.electLeader()
        val proposal = group.propose(leader, "a")
        group.sendThrows = true
        expectThrows<IllegalStateException> { group.run(millis = 5) }
        leader.driver!!.close(ErrorKind.Internal, "the thread failed")
        expectThat(proposal.failure)
            .isNotNull()
            .get { kind to execution }
            .isEqualTo(ErrorKind.Internal to Execution.MayHaveRun)
    }

    @Test
    fun `followers that cannot sync acknowledge nothing`() {
        val leader = group.electLeader()
        leader.followers.forEach { it.disk.failSync = true }
        val proposal = group.propose(leader, "a")
        group.run(millis = 1_000)
        expectThat(proposal.failure?.execution).isEqualTo(Execution.MayHaveRun)
        group.hosts.values.forEach { expectThat(it.stateMachine.applied).containsExactly() }
    }

    @Test
    fun `an acknowledged command survives a crash of all hosts right after the acknowledgement`() {
        repeat(50) { seed ->
            val group = TestGroup(seed)
            val leader = group.electLeader()
            val calls = (1..5).map { group.propose(leader, "a$it") }
            group.runUntil("the first acknowledgement") { calls.any(Call::succeeded) }
            val acknowledged = calls.withIndex().filter { it.value.succeeded }.map { "a${it.index + 1}" }
            group.hosts.values.forEach(group::crash)
            group.hosts.values.forEach(group::restart)
            group.electLeader()
            group.runUntilAllApplied(acknowledged)
        }
    }

    @Test
    fun `a malformed message is dropped`() {
        val leader = group.electLeader()
        val term = leader.driver!!.status.term
        val malformed = listOf(ByteArray(0), ByteArray(40) { it.toByte() }, "{}".toByteArray())
        malformed.forEach { leader.pendingRequests += Request.Receive(leader.followers.first().node, it) }
        group.run(millis = 500)
        group.commit(listOf("a"))
        expectThat(leader.driver!!.status.term).isEqualTo(term)
        expectThat(leader.driver!!.status.leader).isNotEqualTo(null)
        expectThat(leader.driver!!.status.leading).isTrue()
    }

    private fun changeMembers(change: MemberChange) {
        var call: Call? = null
        group.runUntil("$change") {
            if (call == null || call?.failure != null) call = group.leader()?.let { group.change(it, change) }
            call?.succeeded == true
        }
    }

    private fun commands(count: Int) = (1..count).map { "command $it" }
}
