/*
 * Random histories of a store whose disk is full for a while, at any byte of any write: what was acknowledged is
 * recovered, and with room again the folder can be opened and written.
 */
package io.carawaytrack.storage

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.unwrap
import io.carawaytrack.model.NodeId
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.IOException
import java.util.TreeMap
import kotlin.random.Random

class FullDiskRecoveryTest {
    private val node = NodeId("c1")

    /** A flat folder of limited room, which replaces a file by way of a temporary one, as a folder on disk does. */
    private class LimitedDisk : Disk {
        private val files = TreeMap<String, ByteArray>()
        var capacityBytes = Int.MAX_VALUE
        val usedBytes get() = files.values.sumOf { it.size }

        override fun list() = files.keys.filter { !it.endsWith(".tmp") }

        override fun read(name: String) = files[name]?.copyOf()

        override fun open(name: String): DiskFile {
            files.putIfAbsent(name, ByteArray(0))
            return object : DiskFile {
                override fun append(bytes: ByteArray) = write(name, bytes)

                override fun sync() = Unit

                override fun close() = Unit
            }
        }

        override fun replace(
            name: String,
            content: ByteArray,
        ) {
            val temporary = "$name.tmp"
            files[temporary] = ByteArray(0)
            write(temporary, content)
            files[name] = checkNotNull(files.remove(temporary))
        }

        override fun delete(name: String) {
            files.remove(name)
        }

        override fun close() = Unit

        private fun write(
            name: String,
            bytes: ByteArray,
        ) {
            val written = minOf(bytes.size, maxOf(0, capacityBytes - usedBytes))
            files[name] = files.getValue(name) + bytes.copyOf(written)
            if (written < bytes.size) throw IOException("injected: no room for ${bytes.size} bytes of $name")
        }
    }

    /** What a store holds: the vote, the index of its snapshot, and the terms of the entries after it. */
    private data class State(
        val term: Long = 0,
        val snapshotIndex: Long = 0,
        val snapshotTerm: Long = 0,
        val entryTerms: List<Long> = emptyList(),
    ) {
        val lastIndex get() = snapshotIndex + entryTerms.size

        fun append(
            first: Long,
            terms: List<Long>,
        ) = copy(entryTerms = entryTerms.take((first - 1 - snapshotIndex).toInt()) + terms)

        /** Entries after a snapshot stay if the snapshot is of this log, whether it was taken or received. */
        fun compact(index: Long): State {
            val dropped = (index - snapshotIndex).toInt()
            return copy(snapshotIndex = index, snapshotTerm = termAt(index), entryTerms = entryTerms.drop(dropped))
        }

        fun install(index: Long) = copy(snapshotIndex = index, snapshotTerm = term, entryTerms = emptyList())

        fun termAt(index: Long) =
            if (index == snapshotIndex) snapshotTerm else entryTerms[(index - snapshotIndex - 1).toInt()]
    }

    private class Step(
        val call: (LogStore) -> Result<Unit, StorageFailure>,
        val outcomes: List<State>,
    )

    @TestFactory
    fun `what was acknowledged before a disk was full is recovered, and the store can be written again`() =
        (1..Integer.getInteger("fullDisks.histories", SEED_COUNT)).map { seed ->
            dynamicTest("seed $seed") { runHistory(Random(seed)) }
        }

    private fun runHistory(random: Random) {
        val disk = LimitedDisk()
        initialiseFolder(disk, FolderIdentity("test", node, incarnation = 1)).unwrap()
        var opened = open(disk).unwrap()
        var state = State()
        repeat(STEP_COUNT) {
            if (random.nextInt(8) == 0) disk.capacityBytes = disk.usedBytes + random.nextInt(400)
            val step = nextStep(state, random)
            if (step.call(opened.store).getError() == null) {
                state = step.outcomes.first()
                return@repeat
            }
            check(step.call(opened.store).getError() != null) { "expected a failed store to refuse calls" }
            opened.store.close()
            repeat(random.nextInt(3)) { open(disk).get()?.store?.close() }
            disk.capacityBytes = Int.MAX_VALUE
            opened = open(disk).unwrap()
            val found = described(opened.recovered)
            check(found == state || found in step.outcomes) { "expected $state or one of ${step.outcomes}, got $found" }
            state = found
        }
    }

    private fun nextStep(
        state: State,
        random: Random,
    ): Step = when (if (state.lastIndex == 0L) 3 else random.nextInt(5)) {
        0 -> {
            val term = state.term + 1
            Step({ it.saveTerm(TermVote(term, node)) }, listOf(state.copy(term = term)))
        }
        1 -> {
            val index = random.nextLong(state.snapshotIndex, state.lastIndex + 1)
            val snapshot = snapshot(index, state.termAt(index), random)
            Step({ it.saveSnapshot(snapshot, index + 1) }, listOf(state.compact(index)))
        }
        2 -> {
            val index = state.lastIndex + random.nextLong(1, 5)
            val snapshot = snapshot(index, state.term, random)
            Step({ it.installSnapshot(snapshot) }, listOf(state.install(index)))
        }
        else -> {
            val first = random.nextLong(maxOf(state.snapshotIndex, state.lastIndex - 2), state.lastIndex + 1) + 1
            val terms = List(random.nextInt(1, 4)) { state.term }
            val entries =
                terms.mapIndexed {
                    at,
                    term,
                    ->
                    LogEntry(first + at, term, 1, random.nextBytes(random.nextInt(200)))
                }
            Step({ it.append(entries) }, listOf(state.append(first, terms)))
        }
    }

    private fun snapshot(
        index: Long,
        term: Long,
        random: Random,
    ) = StoredSnapshot(index, term, ByteArray(8), random.nextBytes(random.nextInt(600)))

    private fun open(disk: Disk) = openLogStore(disk, "test", node, segmentBytes = 500)

    private fun described(recovered: RecoveredState) = State(
        recovered.termVote.term,
        recovered.snapshot?.index ?: 0,
        recovered.snapshot?.term ?: 0,
        recovered.entries.map { it.term },
    )

    private companion object {
        const val SEED_COUNT = 300
        const val STEP_COUNT = 60
    }
}
