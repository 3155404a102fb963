/*
 * The durable state of one replica: its identity, its term and vote, its latest snapshot, and a write-ahead log of the
 * entries since then in append-only segments. A suffix of the log is replaced by appending entries with lower indices,
 * so written bytes are never changed in place. After the first disk failure the store refuses every later call, because
 * the state on disk is then unknown.
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
 * @property incarnation random number chosen when the folder was initialised; distinguishes a lost disk from the one
 * that replaced it
 */
public data class FolderIdentity(
    val clusterId: String,
    val node: NodeId,
    val incarnation: Long,
)

/** The highest term that a replica has seen and the candidate that it voted for in that term. */
public data class TermVote(
    val term: Long,
    val votedFor: NodeId?,
)

/**
 * A snapshot of the state after applying all entries up to [index].
 *
 * @property metadata data that the owner of the log stores with the state
 */
public class StoredSnapshot(
    public val index: Long,
    public val term: Long,
    public val metadata: ByteArray,
    public val state: ByteArray,
)

/** The state read from a folder when it was opened; [entries] follow [snapshot] without a gap. */
public class RecoveredState(
    public val identity: FolderIdentity,
    public val termVote: TermVote,
    public val snapshot: StoredSnapshot?,
    public val entries: List<LogEntry>,
)

/** An opened store and the state recovered from its folder. */
public class OpenedLog(
    public val store: LogStore,
    public val recovered: RecoveredState,
)

/** Stores the state of one replica durably: the data passed to a successful call survives a crash after it returned. */
public interface LogStore : AutoCloseable {
    /** Appends [entries] with one sync; if the log already contains an index, truncates the log from there first. */
    public fun append(entries: List<LogEntry>): Result<Unit, StorageFailure>

    /** Replaces the term and the vote. */
    public fun saveTerm(termVote: TermVote): Result<Unit, StorageFailure>

    /** Saves a [snapshot] of this log and compacts it: deletes the oldest segments that end before [firstKeptIndex]. */
    public fun saveSnapshot(
        snapshot: StoredSnapshot,
        firstKeptIndex: Long,
    ): Result<Unit, StorageFailure>

    /** Saves a [snapshot] received from another replica and drops the whole log. */
    public fun installSnapshot(snapshot: StoredSnapshot): Result<Unit, StorageFailure>
}

/**
 * Writes the initial state of a new replica; fails with `FolderNotEmpty` if [disk] contains any file.
 *
 * @param markers names of empty files that the owner of the folder reads; written before the identity, which completes
 * the initialisation
 */
public fun initialiseFolder(
    disk: Disk,
    identity: FolderIdentity,
    markers: List<String> = emptyList(),
): Result<Unit, StorageFailure> = diskCall {
    val found = disk.list()
    if (found.isNotEmpty()) {
        return@diskCall Err(StorageFailure.FolderNotEmpty("expected an empty folder, found ${found.joinToString()}"))
    }
    disk.replace(segmentName(1), ByteArray(0))
    disk.replace(TERM_FILE, withChecksum(encodeTerm(TermVote(0, null))))
    markers.forEach { disk.replace(it, ByteArray(0)) }
    disk.replace(IDENTITY_FILE, withChecksum(encodeIdentity(identity)))
    Ok(Unit)
}

/** Returns the identity of the folder on [disk], or null if its initialisation was never completed. */
public fun folderIdentity(disk: Disk): Result<FolderIdentity?, StorageFailure> = diskCall {
    Ok(disk.read(IDENTITY_FILE)?.let { decodeIdentity(verifiedContent(IDENTITY_FILE, it)) })
}

/** Deletes every file on [disk], the identity first, so that the folder can be initialised with another identity. */
public fun clearFolder(disk: Disk): Result<Unit, StorageFailure> = diskCall {
    disk.delete(IDENTITY_FILE)
    disk.list().forEach(disk::delete)
    Ok(Unit)
}

/**
 * Opens the state of [node] on [disk] and truncates a torn write at the end of the log.
 *
 * Fails with `EmptyFolder` if the folder was never initialised, with `WrongIdentity` if it belongs to another cluster
 * or node, and with `Corrupt` if state that was durable can't be read.
 */
public fun openLogStore(
    disk: Disk,
    clusterId: String,
    node: NodeId,
    segmentBytes: Int = DEFAULT_SEGMENT_BYTES,
): Result<OpenedLog, StorageFailure> = diskCall {
    readIdentity(disk, clusterId, node).andThen { identity -> Ok(openStore(disk, identity, segmentBytes)) }
}

private inline fun <T> diskCall(call: () -> Result<T, StorageFailure>): Result<T, StorageFailure> = try {
    call()
} catch (failure: CorruptException) {
    Err(StorageFailure.Corrupt(failure.message.orEmpty()))
} catch (failure: IOException) {
    Err(StorageFailure.DiskFailed("disk operation failed: $failure"))
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
                    "expected the state of $node, found no identity file; a host that lost its disk must be " +
                        "replaced by a learner under a new node identity",
                ),
            )
    val identity = decodeIdentity(verifiedContent(IDENTITY_FILE, content))
    if (identity.clusterId == clusterId && identity.node == node) return Ok(identity)
    return Err(
        StorageFailure.WrongIdentity(
            "expected cluster $clusterId and node $node, got cluster ${identity.clusterId} and node ${identity.node}",
        ),
    )
}

private fun openStore(
    disk: Disk,
    identity: FolderIdentity,
    segmentBytes: Int,
): OpenedLog {
    val snapshot = disk.read(SNAPSHOT_FILE)?.let { decodeSnapshot(verifiedContent(SNAPSHOT_FILE, it)) }
    val termFile = disk.read(TERM_FILE) ?: throw CorruptException("expected the file $TERM_FILE, but it does not exist")
    val log = readLog(disk)
    val entries = entriesAfter(snapshot, log.entries)
    val recovered =
        RecoveredState(identity, decodeTerm(verifiedContent(TERM_FILE, termFile)), snapshot, entries.orEmpty())
    val store = SegmentedLogStore(disk, log.segments, segmentBytes)
    if (entries == null && snapshot != null) store.dropLog(snapshot)
    return OpenedLog(store, recovered)
}

/** Returns the entries that follow [snapshot], or null if the snapshot replaces the whole log. */
private fun entriesAfter(
    snapshot: StoredSnapshot?,
    entries: List<LogEntry>,
): List<LogEntry>? {
    val baseIndex = snapshot?.index ?: 0
    val first = entries.firstOrNull() ?: return emptyList()
    if (first.index > baseIndex + 1) {
        throw CorruptException("expected the log to continue at index ${baseIndex + 1}, got ${first.index}")
    }
    if (snapshot == null) return entries
    if (entries.last().index < baseIndex) return null
    val baseEntry = entries.firstOrNull { it.index == baseIndex }
    if (baseEntry != null && baseEntry.term != snapshot.term) return null
    return entries.filter { it.index > baseIndex }
}

private class Segment(
    val number: Long,
    var highestIndex: Long,
    var sizeBytes: Long,
)

private class ScannedLog(
    val segments: List<Segment>,
    val entries: List<LogEntry>,
)

private fun readLog(disk: Disk): ScannedLog {
    val numbers = disk.list().filter { it.startsWith(SEGMENT_PREFIX) }.map { it.removePrefix(SEGMENT_PREFIX).toLong() }
    if (numbers.isEmpty()) throw CorruptException("expected at least one log segment, found none")
    val entries = ArrayList<LogEntry>()
    val segments =
        numbers.mapIndexed { position, number ->
            if (number != numbers.first() + position) {
                throw CorruptException("expected log segment ${numbers.first() + position}, got $number")
            }
            readSegment(disk, number, isLast = position == numbers.lastIndex, entries)
        }
    return ScannedLog(segments, entries)
}

private fun readSegment(
    disk: Disk,
    number: Long,
    isLast: Boolean,
    entries: ArrayList<LogEntry>,
): Segment {
    val name = segmentName(number)
    val content = disk.read(name) ?: throw CorruptException("expected the file $name, but it does not exist")
    val scanned = scanSegment(name, content, allowTornWrite = isLast)
    scanned.records.forEach { replay(it, entries, name) }
    // Rewritten, because after a failed sync the page cache may return bytes that are not on the disk.
    if (isLast) disk.replace(name, content.copyOf(scanned.validBytes))
    return Segment(number, scanned.records.maxOfOrNull { it.index } ?: 0, scanned.validBytes.toLong())
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
        throw CorruptException("expected index ${last.index + 1} in $name, got ${record.index}")
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

    /** Starts a new segment after [snapshot]; entries before it are obsolete once the new segment is durable. */
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

    /** Deletes segments from the oldest on while [isObsolete] returns true, but never the current one. */
    private fun deleteSegments(isObsolete: (Segment) -> Boolean) {
        while (segments.size > 1 && isObsolete(segments.first())) {
            disk.delete(segmentName(segments.first().number))
            segments.removeFirst()
        }
    }

    private inline fun durably(call: () -> Unit): Result<Unit, StorageFailure> {
        failure?.let { return Err(it) }
        return diskCall { Ok(call()) }.onFailure { failure = it }
    }
}

private fun segmentName(number: Long) = SEGMENT_PREFIX + number.toString().padStart(SEGMENT_DIGITS, '0')
