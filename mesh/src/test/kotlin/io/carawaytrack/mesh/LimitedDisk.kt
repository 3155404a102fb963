/*
 * A folder on a disk whose room a test takes away and gives back.
 */
package io.carawaytrack.mesh

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.carawaytrack.storage.Disk
import io.carawaytrack.storage.DiskFile
import io.carawaytrack.storage.StorageFailure
import io.carawaytrack.storage.openFileDisk
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicInteger

/** Room of one disk, shared by all openings of its folder. */
internal class LimitedRoom(
    private val folder: Path,
) {
    /** Writes that still succeed; negative while there is room for all. */
    @Volatile
    private var writesLeft = -1

    /** Writes that were refused. */
    val refusals = AtomicInteger()

    /** Called before each write; may block or throw. */
    @Volatile
    var beforeWrite: () -> Unit = {}

    /** Called before each read; may throw. */
    @Volatile
    var beforeRead: (String) -> Unit = {}

    fun fill(afterWrites: Int = 0) {
        writesLeft = afterWrites
    }

    fun free() {
        writesLeft = -1
    }

    fun open(): Result<Disk, StorageFailure> = openFileDisk(folder).map { LimitedDisk(it, this) }

    @Synchronized
    fun take(): Boolean {
        if (writesLeft > 0) {
            writesLeft--
        } else if (writesLeft == 0) {
            return false.also { refusals.incrementAndGet() }
        }
        return true
    }
}

private class LimitedDisk(
    private val disk: Disk,
    private val room: LimitedRoom,
) : Disk by disk {
    override fun open(name: String): DiskFile {
        val file = disk.open(name)
        return object : DiskFile by file {
            override fun append(bytes: ByteArray) = write(name) { fits ->
                file.append(if (fits) bytes else bytes.copyOf(bytes.size / 2))
            }
        }
    }

    override fun read(name: String): ByteArray? {
        room.beforeRead(name)
        return disk.read(name)
    }

    override fun replace(
        name: String,
        content: ByteArray,
    ) = write(name) { fits -> if (fits) disk.replace(name, content) }

    /** Like a file system, stores a part of an append that does not fit and nothing of a file that is replaced. */
    private fun write(
        name: String,
        store: (Boolean) -> Unit,
    ) {
        room.beforeWrite()
        val fits = room.take()
        store(fits)
        if (!fits) throw IOException("injected: no room for $name")
    }
}
