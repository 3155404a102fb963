/*
 * The in-memory log of one replica: the latest snapshot, the retained entries, and the group membership that follows
 * from them.
 */
package io.carawaytrack.consensus

import io.carawaytrack.storage.LogEntry
import io.carawaytrack.storage.StoredSnapshot

/** Upper bound on the encoded size of an entry without its payload. */
private const val ENTRY_OVERHEAD_BYTES = 64

/** Values of [LogEntry.kind], as stored on disk. */
internal object EntryKind {
    const val NO_OPERATION: Byte = 0
    const val COMMAND: Byte = 1
    const val MEMBERS: Byte = 2
}

internal class RaftLog(
    snapshot: StoredSnapshot?,
    recovered: List<LogEntry>,
    initialMembers: GroupMembers,
) {
    private class MembersAt(
        val index: Long,
        val members: GroupMembers,
    )

    private val entries = ArrayList<LogEntry>(recovered)
    private val memberHistory = ArrayList<MembersAt>()

    var snapshot: StoredSnapshot? = snapshot
        private set

    /** Index of the entry before the first retained one. */
    var baseIndex: Long = snapshot?.index ?: 0
        private set
    private var baseTerm = snapshot?.term ?: 0

    init {
        memberHistory += MembersAt(baseIndex, snapshot?.let { GroupMembers.decode(it.metadata) } ?: initialMembers)
        recovered.forEach(::recordMembers)
    }

    val lastIndex: Long get() = baseIndex + entries.size
    val lastTerm: Long get() = entries.lastOrNull()?.term ?: baseTerm

    /** The members in force: those of the latest membership entry, committed or not. */
    val members: GroupMembers get() = memberHistory.last().members

    /** Index of the entry that set [members]. */
    val membersIndex: Long get() = memberHistory.last().index

    /** Returns the term of the entry at [index], or null if the log does not contain it. */
    fun termAt(index: Long): Long? = when {
        index == baseIndex -> baseTerm
        index < baseIndex || index > lastIndex -> null
        else -> entry(index).term
    }

    fun entry(index: Long): LogEntry = entries[(index - baseIndex - 1).toInt()]

    /** Returns the entries from [first] on that fit into [maxBytes], and at least one if there is any. */
    fun slice(
        first: Long,
        maxBytes: Int,
    ): List<LogEntry> {
        val slice = ArrayList<LogEntry>()
        var bytes = 0
        for (index in first..lastIndex) {
            val entry = entry(index)
            bytes += entry.payload.size + ENTRY_OVERHEAD_BYTES
            if (bytes > maxBytes && slice.isNotEmpty()) break
            slice += entry
        }
        return slice
    }

    /** Appends [entry] and truncates any entries at or after its index. */
    fun append(entry: LogEntry) {
        check(entry.index in baseIndex + 1..lastIndex + 1) {
            "expected an index above $baseIndex and at most ${lastIndex + 1}, got ${entry.index}"
        }
        if (entry.index <= lastIndex) {
            entries.subList((entry.index - baseIndex - 1).toInt(), entries.size).clear()
            memberHistory.removeAll { it.index >= entry.index }
        }
        entries += entry
        recordMembers(entry)
    }

    /** Returns the lowest index above [floor] from which all entries up to [index] have the same term as [index]. */
    fun firstOfTerm(
        index: Long,
        floor: Long,
    ): Long {
        val term = termAt(index)
        var first = index
        while (first - 1 > floor && termAt(first - 1) == term) first--
        return first
    }

    /**
     * Creates a snapshot of [state] at [index] and drops the entries that it covers, except for the most recent ones
     * within the retention limits of [settings].
     */
    fun compact(
        index: Long,
        state: ByteArray,
        settings: ReplicaSettings,
    ): StoredSnapshot {
        val members = memberHistory.last { it.index <= index }.members
        val taken = StoredSnapshot(index, checkNotNull(termAt(index)), members.encode(), state)
        val newBase = retainedBase(index, settings)
        val newBaseTerm = checkNotNull(termAt(newBase))
        entries.subList(0, (newBase - baseIndex).toInt()).clear()
        val current = memberHistory.last { it.index <= newBase }
        memberHistory.removeAll { it.index < current.index }
        baseIndex = newBase
        baseTerm = newBaseTerm
        snapshot = taken
        return taken
    }

    private fun retainedBase(
        index: Long,
        settings: ReplicaSettings,
    ): Long {
        val lowest = maxOf(baseIndex, index - settings.keptEntries)
        var base = index
        var bytes = 0L
        while (base > lowest) {
            bytes += entry(base).payload.size
            if (bytes > settings.keptBytes) break
            base--
        }
        return base
    }

    /** Replaces the log by a snapshot received from the leader. */
    fun install(installed: StoredSnapshot) {
        entries.clear()
        memberHistory.clear()
        memberHistory += MembersAt(installed.index, GroupMembers.decode(installed.metadata))
        baseIndex = installed.index
        baseTerm = installed.term
        snapshot = installed
    }

    private fun recordMembers(entry: LogEntry) {
        if (entry.kind == EntryKind.MEMBERS) memberHistory += MembersAt(entry.index, GroupMembers.decode(entry.payload))
    }
}
