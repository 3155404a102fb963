/*
 * Recovery of a folder after a regular close, an interrupted write, damage or a disk failure.
 */
package io.carawaytrack.storage

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.unwrap
import io.carawaytrack.model.NodeId
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readBytes
import kotlin.io.path.writeBytes

class LogStoreTest {
    @TempDir
    lateinit var folder: Path

    private val node = NodeId("c1")
    private val identity = FolderIdentity("test", node, incarnation = 7)

    @Test
    fun `a reopened folder contains its identity, term, vote and entries`() {
        initialise()
        open().use { store ->
            store.saveTerm(TermVote(3, NodeId("c2"))).unwrap()
            store.append(entries(1..4, term = 3)).unwrap()
        }
        val recovered = recover()
        expectThat(recovered.identity).isEqualTo(identity)
        expectThat(recovered.termVote).isEqualTo(TermVote(3, NodeId("c2")))
        expectThat(recovered.entries.map(::describe)).isEqualTo(described(1..4, term = 3))
    }

    @Test
    fun `entries with lower indices replace the suffix of the log`() {
        initialise()
        open().use { store ->
            store.append(entries(1..6, term = 1)).unwrap()
            store.append(entries(4..5, term = 2)).unwrap()
        }
        val expected = described(1..3, term = 1) + described(4..5, term = 2)
        expectThat(recover().entries.map(::describe)).isEqualTo(expected)
    }

    @Test
    fun `a snapshot deletes the segments before it and keeps the entries after it`() {
        initialise()
        open(segmentBytes = 64).use { store ->
            (1..40).forEach { store.append(entries(it..it, term = 1)).unwrap() }
            val before = segments().size
            store.saveSnapshot(StoredSnapshot(30, 1, byteArrayOf(1), byteArrayOf(2, 3)), firstKeptIndex = 26).unwrap()
            expectThat(before - segments().size).isEqualTo(12)
        }
        val recovered = recover()
        expectThat(recovered.snapshot)
            .isNotNull()
            .get { index to state.toList() }
            .isEqualTo(30L to listOf<Byte>(2, 3))
        expectThat(recovered.entries.map(::describe)).isEqualTo(described(31..40, term = 1))
    }

    @Test
    fun `an installed snapshot replaces the whole log`() {
        initialise()
        open().use { store ->
            store.append(entries(1..9, term = 1)).unwrap()
            store.installSnapshot(StoredSnapshot(5, 2, ByteArray(0), ByteArray(0))).unwrap()
            store.append(entries(6..7, term = 2)).unwrap()
        }
        expectThat(recover().entries.map(::describe)).isEqualTo(described(6..7, term = 2))
    }

    @TestFactory
    fun `an interrupted installation of a snapshot is completed when the folder is opened`() =
        listOf("open log-11", "append log-11", "sync log-11", "delete log-1", "delete log-4").map { failingCall ->
            dynamicTest("$failingCall fails") {
                Files.list(folder).use { it.toList() }.forEach(Files::delete)
                initialise()
                open(segmentBytes = 64).use { store ->
                    (1..20).forEach { store.append(entries(it..it, term = 1)).unwrap() }
                }
                val disk = FaultyDisk(openFileDisk(folder).unwrap()) { it == failingCall }
                openLogStore(disk, "test", node, segmentBytes = 64).unwrap().store.use { store ->
                    val installed = store.installSnapshot(StoredSnapshot(2, 2, ByteArray(0), ByteArray(0)))
                    expectThat(installed.getError()).isNotNull().isA<StorageFailure.DiskFailed>()
                }
                repeat(2) { expectThat(recover().entries).hasSize(0) }
            }
        }

    @TestFactory
    fun `a last write torn at any byte is truncated and everything before it is kept`() = run {
        initialise()
        open().use { store ->
            store.append(entries(1..3, term = 1)).unwrap()
            store.append(entries(4..5, term = 1)).unwrap()
        }
        val intact = segments().single().readBytes()
        val lastBatchBytes = encodeBatch(entries(4..5, term = 1)).size
        (0 until lastBatchBytes step 5).map { written ->
            dynamicTest("$written of $lastBatchBytes bytes written") {
                segments().single().writeBytes(intact.copyOf(intact.size - lastBatchBytes + written))
                expectThat(recover().entries.map(::describe)).isEqualTo(described(1..3, term = 1))
                open().use { expectThat(it.append(entries(4..4, term = 2)).isOk).isEqualTo(true) }
                expectThat(recover().entries).hasSize(4)
            }
        }
    }

    @Test
    fun `a last write that extended the file but did not write its data is truncated`() {
        initialise()
        open().use { it.append(entries(1..3, term = 1)).unwrap() }
        val segment = segments().single()
        segment.writeBytes(segment.readBytes() + ByteArray(1_500))
        expectThat(recover().entries).hasSize(3)
    }

    private class Damage(
        val name: String,
        val apply: (List<Path>) -> Unit,
    )

    @TestFactory
    fun `damage that a torn write cannot cause is reported as corruption`() = listOf(
        Damage("a flipped byte in the first batch") { flip(it.first(), position = 30) },
        Damage("a flipped byte in a batch's header") { flip(it.first(), position = 5) },
        Damage(
            "a flipped byte in the last batch",
        ) { flip(it.last(), position = Files.size(it.last()).toInt() - 1) },
        Damage("a truncated segment that is not the last") {
            it.first().writeBytes(
                it
                    .first()
                    .readBytes()
                    .dropLast(3)
                    .toByteArray(),
            )
        },
        Damage("a missing segment in the middle") { Files.delete(it[1]) },
        Damage("a missing first segment") { Files.delete(it.first()) },
        Damage("no segment at all") { it.forEach(Files::delete) },
        Damage("a flipped byte in the term") { flip(it.first().resolveSibling("term"), position = 9) },
        Damage("a missing term") { Files.delete(it.first().resolveSibling("term")) },
        Damage("a zeroed sector before an intact batch") { segments ->
            val content = segments.last().readBytes()
            segments.last().writeBytes(ByteArray(600) + content)
        },
    ).map { damage ->
        dynamicTest(damage.name) {
            Files.list(folder).use { it.toList() }.forEach(Files::delete)
            initialise()
            open(segmentBytes = 100).use { store ->
                (1..6).forEach { store.append(entries(it..it, term = 1)).unwrap() }
            }
            damage.apply(segments())
            expectThat(tryOpen().getError()).isNotNull().isA<StorageFailure.Corrupt>()
        }
    }

    @Test
    fun `a folder that was never initialised is refused with instructions to replace the host`() {
        expectThat(tryOpen().getError())
            .isNotNull()
            .isA<StorageFailure.EmptyFolder>()
            .get { detail }
            .contains("replaced by a learner under a new node identity")
    }

    @Test
    fun `a folder that contains files is not initialised again`() {
        initialise()
        openFileDisk(folder).unwrap().use { disk ->
            expectThat(initialiseFolder(disk, identity).getError()).isNotNull().isA<StorageFailure.FolderNotEmpty>()
        }
    }

    @Test
    fun `a folder of another node is refused`() {
        initialise()
        openFileDisk(folder).unwrap().use { disk ->
            expectThat(openLogStore(disk, "test", NodeId("c2")).getError())
                .isNotNull()
                .isA<StorageFailure.WrongIdentity>()
        }
    }

    @Test
    fun `a folder can't be opened twice at the same time`() {
        openFileDisk(folder).unwrap().use {
            expectThat(openFileDisk(folder).getError()).isNotNull().isA<StorageFailure.FolderInUse>()
        }
        expectThat(openFileDisk(folder).get()).isNotNull().get { close() }
    }

    @TestFactory
    fun `after one disk failure the store refuses every later call`() =
        listOf("sync log-1", "append log-1", "replace term").map { failingCall ->
            dynamicTest("$failingCall fails") {
                Files.list(folder).use { it.toList() }.forEach(Files::delete)
                initialise()
                var failing = true
                val disk = FaultyDisk(openFileDisk(folder).unwrap()) { failing && it == failingCall }
                openLogStore(disk, "test", node).unwrap().store.use { store ->
                    val first =
                        if (failingCall ==
                            "replace term"
                        ) {
                            store.saveTerm(TermVote(2, null))
                        } else {
                            store.append(entries(1..1, 1))
                        }
                    expectThat(first.getError()).isNotNull().isA<StorageFailure.DiskFailed>()
                    failing = false
                    expectThat(store.append(entries(1..1, term = 1)).getError()).isNotNull()
                }
                open().use { expectThat(it.append(entries(1..1, term = 2)).getError()).isNull() }
            }
        }

    private fun initialise() = openFileDisk(folder).unwrap().use { initialiseFolder(it, identity).unwrap() }

    private fun open(segmentBytes: Int = 4_096) =
        openLogStore(openFileDisk(folder).unwrap(), "test", node, segmentBytes).unwrap().store

    private fun recover(): RecoveredState =
        openLogStore(openFileDisk(folder).unwrap(), "test", node).unwrap().also { it.store.close() }.recovered

    private fun tryOpen(): Result<Unit, StorageFailure> = openFileDisk(folder).unwrap().use { disk ->
        val opened = openLogStore(disk, "test", node)
        opened.get()?.let { Ok(it.store.close()) } ?: com.github.michaelbull.result
            .Err(opened.getError()!!)
    }

    private fun segments() = folder.listDirectoryEntries("log-*").sortedBy { it.name }

    private fun entries(
        indices: IntRange,
        term: Long,
    ) = indices.map { LogEntry(it.toLong(), term, kind = 1, payload = "entry $it of $term".toByteArray()) }

    private fun described(
        indices: IntRange,
        term: Long,
    ) = entries(indices, term).map(::describe)

    private fun describe(entry: LogEntry) = "${entry.index} ${entry.term} ${String(entry.payload)}"

    private fun flip(
        file: Path,
        position: Int,
    ) {
        val content = file.readBytes()
        content[position] = (content[position].toInt() xor 0x10).toByte()
        file.writeBytes(content)
    }
}

/** Fails the calls for which [shouldFail] returns true; calls have names such as `sync log-1`. */
private class FaultyDisk(
    private val disk: Disk,
    private val shouldFail: (String) -> Boolean,
) : Disk by disk {
    override fun open(name: String): DiskFile {
        failIfInjected("open", name)
        val file = disk.open(name)
        return object : DiskFile by file {
            override fun append(bytes: ByteArray) {
                failIfInjected("append", name)
                file.append(bytes)
            }

            override fun sync() {
                failIfInjected("sync", name)
                file.sync()
            }
        }
    }

    override fun replace(
        name: String,
        content: ByteArray,
    ) {
        failIfInjected("replace", name)
        disk.replace(name, content)
    }

    override fun delete(name: String) {
        failIfInjected("delete", name)
        disk.delete(name)
    }

    private fun failIfInjected(
        call: String,
        name: String,
    ) {
        val shortName = name.replace(Regex("-0+"), "-")
        if (shouldFail("$call $shortName")) throw IOException("injected: $call $shortName")
    }
}
