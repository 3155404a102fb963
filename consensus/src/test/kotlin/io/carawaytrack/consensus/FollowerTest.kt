/*
 * What a replica does with single messages of its leader, late ones above all.
 */
package io.carawaytrack.consensus

import com.github.michaelbull.result.unwrap
import io.carawaytrack.model.NodeId
import io.carawaytrack.storage.FolderIdentity
import io.carawaytrack.storage.checksum
import io.carawaytrack.storage.initialiseFolder
import io.carawaytrack.storage.openLogStore
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.random.Random

class FollowerTest {
    private val nodes = (1..3).map { NodeId("c$it") }
    private val core = newCore()

    @Test
    fun `a late snapshot drops nothing that was acknowledged after it`() {
        receive(append(previousIndex = 0, count = 5))
        val effects = receive(snapshot(index = 3))
        expectThat(effects.install).isNull()
        expectThat(core.state.log.lastIndex).isEqualTo(5)
        expectThat(core.state.commitIndex).isEqualTo(3)
    }

    @Test
    fun `a snapshot beyond the log replaces it and the log goes on after it`() {
        receive(append(previousIndex = 0, count = 2))
        val effects = receive(snapshot(index = 7))
        expectThat(effects.install?.index).isEqualTo(7)
        receive(append(previousIndex = 7, count = 1))
        expectThat(core.state.log.lastIndex).isEqualTo(8)
    }

    @Test
    fun `a late shorter batch drops nothing that was acknowledged`() {
        receive(append(previousIndex = 0, count = 5))
        val reply = receive(append(previousIndex = 0, count = 2)).late.single().message as AppendReply
        expectThat(reply.accepted to reply.index).isEqualTo(true to 2L)
        expectThat(core.state.log.lastIndex).isEqualTo(5)
    }

    private fun newCore(): RaftCore {
        val disk = MemoryDisk()
        initialiseFolder(disk, FolderIdentity("test", nodes[0], incarnation = 1)).unwrap()
        val recovered = openLogStore(disk, "test", nodes[0]).unwrap().recovered
        return RaftCore(ReplicaGroup("test", nodes[0], nodes), testSettings, recovered, Random(1), nowMillis = 0)
    }

    private fun receive(message: Message) =
        core.step(listOf(Input.Received(nodes[1], incarnation = 2, message)), now = 1)

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
