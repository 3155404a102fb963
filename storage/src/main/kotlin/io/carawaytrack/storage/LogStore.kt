/*
 * The durable state of one replica: its identity, its term and vote, its newest snapshot, and the log since then in
 * append-only segments. A suffix of the log is replaced by appending entries with lower indices, so no written byte is
 * ever changed in place. After the first refusal by the disk the store refuses every later call, since what the disk
 * then holds is unknown.
 */
package io.carawaytrack.storage

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.onFailure
import io.carawaytrack.model.NodeId
import java.io.IOException

private const val IDENTITY_FILE = "identity"
private const val TERM_FILE = "term"
private const val SNAPSHOT_FILE = "snapshot"
private const val SEGMENT_PREFIX = "log-"
private const val SEGMENT_DIGITS = 16
private const val DEFAULT_SEGMENT_BYTES = 4 * 1024 * 1024

/**
 * Identifies a data folder.
 *
 * @property incarnation random number drawn when the folder was initialised; tells a lost disk from its successor
 */
public data class FolderIdentity(
    val clusterId: String,
    val node: NodeId,
    val incarnation: Long,
)

/** Holds the highest term that a replica has seen and whom it voted for in it. */
public data class TermVote(
    val term: Long,
    val votedFor: NodeId?,
)

/**
 * Holds the state that all entries up to [index] lead to.
 *
 * @property metadata what the owner of the log needs besides the state
 */
public class StoredSnapshot(
    public val index: Long,
    public val term: Long,
    public val metadata: ByteArray,
    public val state: ByteArray,
)

/** Holds what a folder held when it was opened; [entries] follow [snapshot] without a gap. */
public class RecoveredState(
    public val identity: FolderIdentity,
    public val termVote: TermVote,
    public val snapshot: StoredSnapshot?,
    public val entries: List<LogEntry>,
)

/** Holds an opened store and what its folder held. */
public class OpenedLog(
    public val store: LogStore,
    public val recovered: RecoveredState,
)

/** Makes the state of one replica durable; what a successful call was given survives a crash after its return. */
public interface LogStore : AutoCloseable {
    /** Appends [entries] with one sync; an index that the log already holds drops that entry and all after it. */
    public fun append(entries: List<LogEntry>): Result<Unit, StorageFailure>

    /** Replaces the term and the vote. */
    public fun saveTerm(termVote: TermVote): Result<Unit, StorageFailure>

    /** Saves a [snapshot] of this log and deletes the segments with no entry from [firstKeptIndex] on. */
    public fun saveSnapshot(
        snapshot: StoredSnapshot,
        firstKeptIndex: Long,
    ): Result<Unit, StorageFailure>

    /** Saves a [snapshot] made elsewhere and drops the whole log. */
    public fun installSnapshot(snapshot: StoredSnapshot): Result<Unit, StorageFailure>
}

/** Writes the first state of a new replica; fails with `FolderNotEmpty` when [disk] holds any file. */
public fun initialiseFolder(
    disk: Disk,
    identity: FolderIdentity,
): Result<Unit, StorageFailure> = onDisk {
    val found = disk.list()
    if (found.isNotEmpty()) {
        return@onDisk Err(StorageFailure.FolderNotEmpty("expected an empty folder, found ${found.joinToString()}"))
    }
    disk.replace(segmentName(1), ByteArray(0))
    disk.replace(TERM_FILE, withChecksum(encodeTerm(TermVote(0, null))))
    disk.replace(IDENTITY_FILE, withChecksum(encodeIdentity(identity)))
    Ok(Unit)
}

/** Returns the identity of the folder on [disk], or null when it was never initialised to the end. */
public fun folderIdentity(disk: Disk): Result<FolderIdentity?, StorageFailure> = onDisk {
    Ok(disk.read(IDENTITY_FILE)?.let { decodeIdentity(verifiedContent(IDENTITY_FILE, it)) })
}

/** Deletes every file on [disk], the identity first, so that the folder can be initialised under another one. */
public fun clearFolder(disk: Disk): Result<Unit, StorageFailure> = onDisk {
    disk.delete(IDENTITY_FILE)
    disk.list().forEach(disk::delete)
    Ok(Unit)
}

/**
 * Opens the state of [node] on [disk], cutting off a write that was interrupted at the end of the log.
 *
 * Fails with `EmptyFolder` when the folder was never initialised, with `WrongIdentity` when it belongs to another
 * cluster or node, and with `Corrupt` when something that was durable can't be read.
 */
public fun openLogStore(
    disk: Disk,
    clusterId: String,
    node: NodeId,
    segmentBytes: Int = DEFAULT_SEGMENT_BYTES,
): Result<OpenedLog, StorageFailure> = onDisk {
    readIdentity(disk, clusterId, node).andThen { identity -> Ok(openStore(disk, identity, segmentBytes)) }
}

private inline fun <T> onDisk(call: () -> Result<T, StorageFailure>): Result<T, StorageFailure> = try {
    call()
} catch (failure: CorruptException) {
    Err(StorageFailure.Corrupt(failure.message.orEmpty()))
} catch (failure: IOException) {
    Err(StorageFailure.DiskFailed("the disk failed: $failure"))
}

private fun readIdentity(
    disk: Disk,
    clusterId: String,
    node: NodeId,
): Result<FolderIdentity, StorageFailure> {
    val content =
        disk.read(IDENTITY_FILE)
            ?: return Err(
                StorageFailure.EmptyFolder(
                    "expected the state of $node, found no identity file; a host that has lost its disk must be " +
                        "replaced by a learner under a new node identity",
                ),
            )
    val identity = decodeIdentity(verifiedContent(IDENTITY_FILE, content))
    if (identity.clusterId == clusterId && identity.node == node) return Ok(identity)
    return Err(
        StorageFailure.WrongIdentity(
            "expected cluster $clusterId and node $node, found ${identity.clusterId} and ${identity.node}",
        ),
    )
}

private fun openStore(
    disk: Disk,
    identity: FolderIdentity,
    segmentBytes: Int,
): OpenedLog {
    val snapshot = disk.read(SNAPSHOT_FILE)?.let { decodeSnapshot(verifiedContent(SNAPSHOT_FILE, it)) }
    val termFile = disk.read(TERM_FILE) ?: throw CorruptException("expected the file $TERM_FILE, found none")
    val log = readLog(disk)
    val entries = entriesAfter(snapshot, log.entries)
    val recovered =
        RecoveredState(identity, decodeTerm(verifiedContent(TERM_FILE, termFile)), snapshot, entries.orEmpty())
    val store = SegmentedLogStore(disk, log.segments, segmentBytes)
    if (entries == null && snapshot != null) store.dropLog(snapshot)
    return OpenedLog(store, recovered)
}

/** Returns the entries that follow [snapshot], or null when the snapshot replaces the whole log. */
private fun entriesAfter(
    snapshot: StoredSnapshot?,
    entries: List<LogEntry>,
): List<LogEntry>? {
    val baseIndex = snapshot?.index ?: 0
    val first = entries.firstOrNull() ?: return emptyList()
    if (first.index > baseIndex + 1) {
        throw CorruptException("expected the log to go on at index ${baseIndex + 1}, found ${first.index}")
    }
    if (snapshot == null) return entries
    if (entries.last().index < baseIndex) return null
    val atBase = entries.firstOrNull { it.index == baseIndex }
    if (atBase != null && atBase.term != snapshot.term) return null
    return entries.filter { it.index > baseIndex }
}

private class Segment(
    val number: Long,
    var highestIndex: Long,
    var sizeBytes: Long,
)

private class ReadLog(
    val segments: List<Segment>,
    val entries: List<LogEntry>,
)

private fun readLog(disk: Disk): ReadLog {
    val numbers = disk.list().filter { it.startsWith(SEGMENT_PREFIX) }.map { it.removePrefix(SEGMENT_PREFIX).toLong() }
    if (numbers.isEmpty()) throw CorruptException("expected at least one log segment, found none")
    val entries = ArrayList<LogEntry>()
    val segments =
        numbers.mapIndexed { position, number ->
            if (number != numbers.first() + position) {
                throw CorruptException("expected segment ${numbers.first() + position}, found $number")
            }
            readSegment(disk, number, last = position == numbers.lastIndex, entries)
        }
    return ReadLog(segments, entries)
}

private fun readSegment(
    disk: Disk,
    number: Long,
    last: Boolean,
    entries: ArrayList<LogEntry>,
): Segment {
    val name = segmentName(number)
    val content = disk.read(name) ?: throw CorruptException("expected the file $name, found none")
    val scanned = scanSegment(name, content, mayEndTorn = last)
    scanned.records.forEach { replay(it, entries, name) }
    // Written anew, because after a failed sync the system's cache may show bytes that the disk does not hold.
    if (last) disk.replace(name, content.copyOf(scanned.wholeBytes))
    return Segment(number, scanned.records.maxOfOrNull { it.index } ?: 0, scanned.wholeBytes.toLong())
}

private fun replay(
    record: LogEntry,
    entries: ArrayList<LogEntry>,
    name: String,
) {
    if (record.isReset) {
        entries.clear()
        return
    }
    val last = entries.lastOrNull()
    if (last != null && record.index > last.index + 1) {
        throw CorruptException("expected index ${last.index + 1} in $name, found ${record.index}")
    }
    while (entries.isNotEmpty() && entries.last().index >= record.index) entries.removeLast()
    entries += record
}

private class SegmentedLogStore(
    private val disk: Disk,
    segments: List<Segment>,
    private val segmentBytes: Int,
) : LogStore {
    private val segments = ArrayDeque(segments)
    private var file = disk.open(segmentName(segments.last().number))
    private var failure: StorageFailure? = null

    override fun append(entries: List<LogEntry>) = durably {
        if (entries.isEmpty()) return@durably
        if (segments.last().sizeBytes >= segmentBytes) startSegment()
        write(entries)
    }

    override fun saveTerm(termVote: TermVote) = durably { disk.replace(TERM_FILE, withChecksum(encodeTerm(termVote))) }

    override fun saveSnapshot(
        snapshot: StoredSnapshot,
        firstKeptIndex: Long,
    ) = durably {
        disk.replace(SNAPSHOT_FILE, withChecksum(encodeSnapshot(snapshot)))
        deleteSegments { it.highestIndex < firstKeptIndex }
    }

    override fun installSnapshot(snapshot: StoredSnapshot) = durably {
        disk.replace(SNAPSHOT_FILE, withChecksum(encodeSnapshot(snapshot)))
        dropLog(snapshot)
    }

    override fun close() {
        file.close()
        disk.close()
    }

    /** Makes the log go on after [snapshot]; what it held before is void once the new segment is durable. */
    fun dropLog(snapshot: StoredSnapshot) {
        startSegment()
        write(listOf(LogEntry.reset(snapshot.index, snapshot.term)))
        deleteSegments { true }
    }

    private fun write(records: List<LogEntry>) {
        val batch = encodeBatch(records)
        file.append(batch)
        file.sync()
        val segment = segments.last()
        segment.sizeBytes += batch.size
        segment.highestIndex = maxOf(segment.highestIndex, records.maxOf { it.index })
    }

    private fun startSegment() {
        val number = segments.last().number + 1
        file.close()
        file = disk.open(segmentName(number))
        segments += Segment(number, 0, 0)
    }

    /** Deletes segments from the oldest on as long as [void] holds, but never the one being written. */
    private fun deleteSegments(void: (Segment) -> Boolean) {
        while (segments.size > 1 && void(segments.first())) {
            disk.delete(segmentName(segments.first().number))
            segments.removeFirst()
        }
    }

    private inline fun durably(call: () -> Unit): Result<Unit, StorageFailure> {
        failure?.let { return Err(it) }
        return onDisk { Ok(call()) }.onFailure { failure = it }
    }
}

private fun segmentName(number: Long) = SEGMENT_PREFIX + number.toString().padStart(SEGMENT_DIGITS, '0')
