/*
 * The narrow interface to a disk that the log store writes through, and the closed list of what may go wrong there. A
 * disk is one flat folder of files; nothing counts as written until a call that promises durability has returned.
 */
package io.carawaytrack.storage

/** Stores named files in one flat folder; every call may throw [java.io.IOException]. */
public interface Disk : AutoCloseable {
    /** Returns the names of all files, sorted. */
    public fun list(): List<String>

    /** Returns the whole content of the file [name], or null when it does not exist. */
    public fun read(name: String): ByteArray?

    /** Opens the file [name] for appending; creates it durably when it does not exist. */
    public fun open(name: String): DiskFile

    /** Replaces the file [name] by [content] atomically and durably. */
    public fun replace(
        name: String,
        content: ByteArray,
    )

    /** Deletes the file [name] if it exists. */
    public fun delete(name: String)
}

/** Appends to one file; every call may throw [java.io.IOException]. */
public interface DiskFile : AutoCloseable {
    /** Appends [bytes], which are durable only after the next [sync]. */
    public fun append(bytes: ByteArray)

    /** Makes durable all that was appended before the call. */
    public fun sync()
}

/** Lists what a storage call may fail with. */
public sealed interface StorageFailure {
    /** What was expected and what was found. */
    public val detail: String

    /** Tells that the folder holds no state: it is new, or the host has lost its disk. */
    public data class EmptyFolder(
        override val detail: String,
    ) : StorageFailure

    /** Tells that the folder to initialise already holds files. */
    public data class FolderNotEmpty(
        override val detail: String,
    ) : StorageFailure

    /** Tells that another process has the folder open. */
    public data class FolderInUse(
        override val detail: String,
    ) : StorageFailure

    /** Tells that the folder belongs to another cluster or node. */
    public data class WrongIdentity(
        override val detail: String,
    ) : StorageFailure

    /** Tells that state which was once durable can no longer be read. */
    public data class Corrupt(
        override val detail: String,
    ) : StorageFailure

    /** Tells that the disk refused a call; what it holds since is unknown until the folder is opened again. */
    public data class DiskFailed(
        override val detail: String,
    ) : StorageFailure
}
