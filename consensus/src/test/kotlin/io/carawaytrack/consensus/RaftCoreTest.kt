/*
 * Reactions of the core to single messages: delayed ones, and those that decide an election or a commit.
 */
package io.carawaytrack.consensus

import com.github.michaelbull.result.unwrap
import io.carawaytrack.model.NodeId
import io.carawaytrack.storage.FolderIdentity
import io.carawaytrack.storage.TermVote
import io.carawaytrack.storage.checksum
import io.carawaytrack.storage.initialiseFolder
import io.carawaytrack.storage.openLogStore
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.random.Random

class RaftCoreTest {
    private val nodes = (1..3).map { NodeId("c$it") }
    private val core = newCore()

    @Test
    fun `a delayed snapshot does not drop entries acknowledged after it`() {
        receive(append(previousIndex = 0, count = 5))
        val effects = receive(snapshot(index = 3))
        expectThat(effects.install).isNull()
        expectThat(core.state.log.lastIndex).isEqualTo(5)
        expectThat(core.state.commitIndex).isEqualTo(3)
    }

    @Test
    fun `a snapshot beyond the end of the log replaces the log and later entries follow it`() {
        receive(append(previousIndex = 0, count = 2))
        val effects = receive(snapshot(index = 7))
        expectThat(effects.install?.index).isEqualTo(7)
        receive(append(previousIndex = 7, count = 1))
        expectThat(core.state.log.lastIndex).isEqualTo(8)
    }

    @Test
    fun `a delayed shorter batch does not drop acknowledged entries`() {
        receive(append(previousIndex = 0, count = 5))
        val reply = receive(append(previousIndex = 0, count = 2)).afterPersist.single().message as AppendReply
        expectThat(reply.accepted to reply.index).isEqualTo(true to 2L)
        expectThat(core.state.log.lastIndex).isEqualTo(5)
    }

    @Test
    fun `an entry of an earlier term is committed only together with one of the leader's own term`() {
        receive(append(previousIndex = 0, count = 1))
        elect()
        receive(AppendReply(term = 2, round = 0, accepted = true, index = 1))
        expectThat(core.state.commitIndex).isEqualTo(0)
        receive(AppendReply(term = 2, round = 0, accepted = true, index = 2))
        expectThat(core.state.commitIndex).isEqualTo(2)
    }

    @Test
    fun `a leader confirms nothing before an entry of its own term is committed`() {
        elect()
        val requested = core.step(listOf(Input.Confirm(call = 7)), now = 401)
        val acknowledged = receive(AppendReply(term = 1, round = 1, accepted = true, index = 0))
        expectThat(requested.confirmed + acknowledged.confirmed).isEqualTo(listOf())
        val committed = receive(AppendReply(term = 1, round = 1, accepted = true, index = 1))
        expectThat(committed.confirmed).isEqualTo(arrayListOf(7L))
    }

    @Test
    fun `a replica votes once per term and persists the vote before it replies`() {
        val first = receive(VoteRequest(term = 5, lastIndex = 0, lastTerm = 0), from = nodes[1], now = 300)
        val second = receive(VoteRequest(term = 5, lastIndex = 0, lastTerm = 0), from = nodes[2], now = 300)
        expectThat(first.termVote).isEqualTo(TermVote(5, nodes[1]))
        expectThat(first.afterPersist.single().message).isEqualTo(VoteReply(term = 5, granted = true))
        expectThat(second.afterPersist.single().message).isEqualTo(VoteReply(term = 5, granted = false))
    }

    @Test
    fun `a candidate whose log is behind gets no vote`() {
        receive(append(previousIndex = 0, count = 3))
        val reply = receive(VoteRequest(term = 5, lastIndex = 2, lastTerm = 1), from = nodes[2], now = 300)
        expectThat(reply.afterPersist.single().message).isEqualTo(VoteReply(term = 5, granted = false))
    }

    @Test
    fun `a replica in contact with its leader ignores a vote request`() {
        receive(append(previousIndex = 0, count = 1))
        val effects = receive(VoteRequest(term = 5, lastIndex = 9, lastTerm = 4), from = nodes[2])
        expectThat(effects.afterPersist).isEqualTo(arrayListOf())
        expectThat(core.state.term).isEqualTo(1)
    }

    @Test
    fun `a leader counts its own entry towards the quorum only once it is durable`() {
        elect()
        core.step(listOf(Input.Propose(call = 1, command = ByteArray(1))), now = 401)
        receive(AppendReply(term = 1, round = 0, accepted = true, index = 2))
        expectThat(core.state.commitIndex).isEqualTo(1)
        core.step(listOf(Input.Persisted(index = 2)), now = 401)
        expectThat(core.state.commitIndex).isEqualTo(2)
    }

    @Test
    fun `an uncommitted membership change is undone when its entry is overwritten`() {
        val changed = GroupMembers.ofVoters(nodes + NodeId("c4"))
        val change = listOf(SentEntry(1, EntryKind.MEMBERS, changed.encode()))
        receive(append(previousIndex = 0, count = 0).copy(entries = change))
        expectThat(core.state.members).isEqualTo(changed)
        val replaced = listOf(SentEntry(2, EntryKind.NO_OPERATION, ByteArray(0)))
        receive(append(previousIndex = 0, count = 0).copy(term = 2, entries = replaced), from = nodes[2])
        expectThat(core.state.members).isEqualTo(GroupMembers.ofVoters(nodes))
    }

    /** Makes the core the leader of the next term and persists its first entry. */
    private fun elect() {
        val term = core.state.term
        core.step(listOf(Input.Tick), now = 400)
        receive(PreVoteReply(term, proposedTerm = term + 1, granted = true), now = 400)
        val won = receive(VoteReply(term + 1, granted = true), now = 400)
        core.step(listOf(Input.Persisted(won.append.last().index)), now = 400)
        expectThat(core.state.leader).isEqualTo(nodes[0])
    }

    private fun newCore(): RaftCore {
        val disk = MemoryDisk()
        initialiseFolder(disk, FolderIdentity("test", nodes[0], incarnation = 1)).unwrap()
        val recovered = openLogStore(disk, "test", nodes[0]).unwrap().recovered
        return RaftCore(ReplicaGroup("test", nodes[0], nodes), testSettings, recovered, Random(1), nowMillis = 0)
    }

    private fun receive(
        message: Message,
        from: NodeId = nodes[1],
        now: Long = 1,
    ) = core.step(listOf(Input.Received(from, incarnation = 2, message)), now)

    private fun append(
        previousIndex: Long,
        count: Int,
    ) = AppendRequest(
        term = 1,
        round = 0,
        previousIndex = previousIndex,
        previousTerm = if (previousIndex == 0L) 0 else 1,
        commitIndex = 0,
        entries = List(count) { SentEntry(1, EntryKind.COMMAND, byteArrayOf(it.toByte())) },
    )

    private fun snapshot(index: Long): SnapshotChunk {
        val content = "state".toByteArray()
        return SnapshotChunk(
            term = 1,
            round = 0,
            index = index,
            snapshotTerm = 1,
            metadata = GroupMembers.ofVoters(nodes).encode(),
            stateChecksum = checksum(content),
            stateBytes = content.size,
            offsetBytes = 0,
            bytes = content,
        )
    }
}
