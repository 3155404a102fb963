/*
 * An in-memory disk that loses unsynced data in a crash, and on which failed syncs and a full disk can be injected.
 */
package io.carawaytrack.consensus

import io.carawaytrack.storage.Disk
import io.carawaytrack.storage.DiskFile
import java.io.IOException
import java.util.TreeMap
import kotlin.random.Random

class MemoryDisk : Disk {
    private class Stored(
        var content: ByteArray,
        var syncedBytes: Int,
    )

    private val files = TreeMap<String, Stored>()
    var failSync = false
    var capacityBytes = Int.MAX_VALUE

    /** Drops unsynced data, except that a random prefix of it, or zeros in its place, may have reached the disk. */
    fun crash(random: Random) {
        failSync = false
        files.values.forEach { file ->
            val unsyncedBytes = file.content.size - file.syncedBytes
            val writtenBytes = if (unsyncedBytes == 0) 0 else random.nextInt(unsyncedBytes + 1)
            val torn = file.content.copyOf(file.syncedBytes + writtenBytes)
            if (writtenBytes > 0 && random.nextInt(4) == 0) torn.fill(0, file.syncedBytes)
            file.content = torn
            file.syncedBytes = torn.size
        }
    }

    override fun list() = files.keys.toList()

    override fun read(name: String) = files[name]?.content?.copyOf()

    override fun open(name: String): DiskFile {
        val file = files.getOrPut(name) { Stored(ByteArray(0), 0) }
        return object : DiskFile {
            override fun append(bytes: ByteArray) {
                reserve(bytes.size)
                file.content += bytes
            }

            override fun sync() {
                if (failSync) throw IOException("injected: sync of $name")
                file.syncedBytes = file.content.size
            }

            override fun close() = Unit
        }
    }

    override fun replace(
        name: String,
        content: ByteArray,
    ) {
        if (failSync) throw IOException("injected: sync of $name")
        reserve(content.size - (files[name]?.content?.size ?: 0))
        files[name] = Stored(content.copyOf(), content.size)
    }

    override fun delete(name: String) {
        files.remove(name)
    }

    override fun close() = Unit

    private fun reserve(bytes: Int) {
        if (files.values.sumOf { it.content.size } + bytes > capacityBytes) throw IOException("injected: disk full")
    }
}
