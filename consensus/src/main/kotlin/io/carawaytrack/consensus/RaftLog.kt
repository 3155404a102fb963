/*
 * The log of one replica as it stands in memory: the newest snapshot, the entries kept since, and the group members
 * that the entries set.
 */
package io.carawaytrack.consensus

import io.carawaytrack.storage.LogEntry
import io.carawaytrack.storage.StoredSnapshot

/** Bytes that an entry adds to a message beside its payload, rounded up. */
private const val ENTRY_OVERHEAD_BYTES = 64

/** Kinds of [LogEntry], as they stand on disk. */
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
    private val history = ArrayList<MembersAt>()

    var snapshot: StoredSnapshot? = snapshot
        private set

    /** The entry before the first one kept. */
    var baseIndex: Long = snapshot?.index ?: 0
        private set
    private var baseTerm = snapshot?.term ?: 0

    init {
        history += MembersAt(baseIndex, snapshot?.let { GroupMembers.decode(it.metadata) } ?: initialMembers)
        recovered.forEach(::noteMembers)
    }

    val lastIndex: Long get() = baseIndex + entries.size
    val lastTerm: Long get() = entries.lastOrNull()?.term ?: baseTerm

    /** The members in force: those of the newest entry that sets them, committed or not. */
    val members: GroupMembers get() = history.last().members

    /** The index of the entry that set [members]. */
    val membersIndex: Long get() = history.last().index

    /** Returns the term of the entry at [index], or null when the log doesn't hold it. */
    fun termAt(index: Long): Long? = when {
        index == baseIndex -> baseTerm
        index < baseIndex || index > lastIndex -> null
        else -> entry(index).term
    }

    fun entry(index: Long): LogEntry = entries[(index - baseIndex - 1).toInt()]

    /** Returns entries from [first] on, at least one if there is any, of no more than [maxBytes] together. */
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

    /** Appends [entry] in place of any entry at its index or after. */
    fun append(entry: LogEntry) {
        check(entry.index in baseIndex + 1..lastIndex + 1) { "expected index ${lastIndex + 1}, got ${entry.index}" }
        if (entry.index <= lastIndex) {
            entries.subList((entry.index - baseIndex - 1).toInt(), entries.size).clear()
            history.removeAll { it.index >= entry.index }
        }
        entries += entry
        noteMembers(entry)
    }

    /** Returns the lowest index above [floor] from which all entries up to [index] have the term at [index]. */
    fun firstOfTerm(
        index: Long,
        floor: Long,
    ): Long {
        val term = termAt(index)
        var first = index
        while (first - 1 > floor && termAt(first - 1) == term) first--
        return first
    }

    /** Makes a snapshot of [state] at [index] the newest one and drops all entries before it but for the last few. */
    fun compact(
        index: Long,
        state: ByteArray,
        settings: ReplicaSettings,
    ): StoredSnapshot {
        val members = history.last { it.index <= index }.members
        val taken = StoredSnapshot(index, checkNotNull(termAt(index)), members.encode(), state)
        val newBase = keptBase(index, settings)
        val newBaseTerm = checkNotNull(termAt(newBase))
        entries.subList(0, (newBase - baseIndex).toInt()).clear()
        val current = history.last { it.index <= newBase }
        history.removeAll { it.index < current.index }
        baseIndex = newBase
        baseTerm = newBaseTerm
        snapshot = taken
        return taken
    }

    private fun keptBase(
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

    /** Makes the log go on after a snapshot made elsewhere. */
    fun install(installed: StoredSnapshot) {
        entries.clear()
        history.clear()
        history += MembersAt(installed.index, GroupMembers.decode(installed.metadata))
        baseIndex = installed.index
        baseTerm = installed.term
        snapshot = installed
    }

    private fun noteMembers(entry: LogEntry) {
        if (entry.kind == EntryKind.MEMBERS) history += MembersAt(entry.index, GroupMembers.decode(entry.payload))
    }
}
