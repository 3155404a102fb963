/*
 * The interface to the disk that the log store writes to, and the failures that storage calls report. A disk is one
 * flat folder of files. Data is guaranteed to survive a crash only once a call that makes it durable has
 * returned.
 */
package io.carawaytrack.storage

/** Stores named files in one flat folder; every call may throw [java.io.IOException]. */
public interface Disk : AutoCloseable {
    /** Returns the names of all files, sorted. */
    public fun list(): List<String>

    /** Returns the content of the file [name], or null if it does not exist. */
    public fun read(name: String): ByteArray?

    /** Opens the file [name] for appending; creates it durably if it does not exist. */
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

    /** Makes all bytes appended before the call durable. */
    public fun sync()
}

/** Describes why a storage call failed. */
public sealed interface StorageFailure {
    /** Describes what was expected and what was found. */
    public val detail: String

    /** The folder contains no state, because it is new or because the host has lost its disk. */
    public data class EmptyFolder(
        override val detail: String,
    ) : StorageFailure

    /** The folder to initialise already contains files. */
    public data class FolderNotEmpty(
        override val detail: String,
    ) : StorageFailure

    /** Another process has the folder open. */
    public data class FolderInUse(
        override val detail: String,
    ) : StorageFailure

    /** The folder belongs to another cluster or node. */
    public data class WrongIdentity(
        override val detail: String,
    ) : StorageFailure

    /** State that was durable can no longer be read. */
    public data class Corrupt(
        override val detail: String,
    ) : StorageFailure

    /** A disk operation failed; the state on disk is unknown until the folder is reopened. */
    public data class DiskFailed(
        override val detail: String,
    ) : StorageFailure
}
