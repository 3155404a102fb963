/*
 * A disk that stores its files in a folder of the file system. The folder is locked while the disk is open. A file is
 * replaced by writing and syncing a temporary file, renaming it, and syncing the folder.
 */
package io.carawaytrack.storage

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption
import kotlin.io.path.name

private const val LOCK_FILE = "lock"
private const val TEMPORARY_SUFFIX = ".tmp"

/** Opens [folder] and creates it if needed; fails with `FolderInUse` while another process or disk has it open. */
public fun openFileDisk(folder: Path): Result<Disk, StorageFailure> = try {
    Files.createDirectories(folder)
    lockFolder(folder)?.let { Ok(FolderDisk(folder, it)) }
        ?: Err(StorageFailure.FolderInUse("expected to lock $folder, but it is locked by another process or disk"))
} catch (failure: IOException) {
    Err(StorageFailure.DiskFailed("opening $folder failed: $failure"))
}

private fun lockFolder(folder: Path): FileChannel? {
    val channel =
        FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE)
    val isLocked =
        try {
            channel.tryLock() != null
        } catch (_: OverlappingFileLockException) {
            false
        }
    if (isLocked) return channel
    channel.close()
    return null
}

private class FolderDisk(
    private val folder: Path,
    private val lock: FileChannel,
) : Disk {
    override fun list(): List<String> = Files.list(folder).use { paths ->
        paths
            .map { it.name }
            .filter { it != LOCK_FILE && !it.endsWith(TEMPORARY_SUFFIX) }
            .sorted()
            .toList()
    }

    override fun read(name: String): ByteArray? =
        folder.resolve(name).takeIf { Files.exists(it) }?.let(Files::readAllBytes)

    override fun open(name: String): DiskFile {
        val path = folder.resolve(name)
        val created = !Files.exists(path)
        val channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND)
        if (created) syncFolder()
        return ChannelFile(channel)
    }

    override fun replace(
        name: String,
        content: ByteArray,
    ) {
        replaceFile(folder, name, content)
        syncFolder()
    }

    override fun delete(name: String) {
        if (Files.deleteIfExists(folder.resolve(name))) syncFolder()
    }

    override fun close() = lock.close()

    private fun syncFolder() = FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }
}

/**
 * Replaces the file [name] in [folder] by [content] atomically: after a power failure it has either the old content or
 * the new one. The new content is guaranteed only once the folder has been synced. Throws [IOException].
 */
public fun replaceFile(
    folder: Path,
    name: String,
    content: ByteArray,
) {
    val temporary = folder.resolve(name + TEMPORARY_SUFFIX)
    val options = setOf(StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)
    FileChannel.open(temporary, options).use { channel ->
        channel.writeAll(content)
        channel.force(true)
    }
    Files.move(temporary, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
}

private class ChannelFile(
    private val channel: FileChannel,
) : DiskFile {
    override fun append(bytes: ByteArray) = channel.writeAll(bytes)

    override fun sync() = channel.force(false)

    override fun close() = channel.close()
}

private fun FileChannel.writeAll(bytes: ByteArray) {
    val buffer = ByteBuffer.wrap(bytes)
    while (buffer.hasRemaining()) write(buffer)
}
