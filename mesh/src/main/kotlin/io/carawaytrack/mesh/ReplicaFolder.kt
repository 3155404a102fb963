/*
 * The data folder of this host and the replica that is open in it. One thread makes all changes to the folder. An
 * attempt to open it that fails closes the disk, which holds the folder's lock, and is followed by another one.
 */
package io.carawaytrack.mesh

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.carawaytrack.consensus.GroupReplica
import io.carawaytrack.consensus.ReplicaGroup
import io.carawaytrack.consensus.ReplicaSettings
import io.carawaytrack.consensus.openReplica
import io.carawaytrack.fleet.FleetState
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.NodeId
import io.carawaytrack.storage.Disk
import io.carawaytrack.storage.FolderIdentity
import io.carawaytrack.storage.StorageFailure
import io.carawaytrack.storage.clearFolder
import io.carawaytrack.storage.folderIdentity
import io.carawaytrack.storage.initialiseFolder
import io.carawaytrack.telemetry.event
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import java.security.SecureRandom
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

private const val CLUSTER_ID = "carawaytrack"

/** Marks the folder of the bootstrap node, so that it bootstraps the group again if it restarts at once. */
private const val BOOTSTRAP_MARKER_FILE = "founder"

/** Delay before a failed folder is reopened: long enough not to overload a failing disk. */
private const val REOPEN_DELAY_MILLIS = 700L

/** Maximum size of a command: the largest document that an operator may send, uncompressed. */
private const val MAX_COMMAND_BYTES = 4 * 1024 * 1024

/** The heartbeat interval keeps idle hosts cheap; the election timeout is well below the time to apply a change. */
private val replicaSettings =
    ReplicaSettings(
        electionTimeoutMillis = 1_000,
        heartbeatMillis = 200,
        snapshotEveryEntries = 500,
        snapshotEveryBytes = 4L * 1024 * 1024,
        keptEntries = 100,
        keptBytes = 1024L * 1024,
        maxCommandBytes = MAX_COMMAND_BYTES,
        maxQueued = 2_048,
    )

internal fun storageThread(): ScheduledExecutorService =
    Executors.newSingleThreadScheduledExecutor { Thread(it, "storage").apply { isDaemon = true } }

/** Returns an exception of [call] as a failure, since nothing but another attempt opens the folder again. */
private fun <T> attempt(call: () -> Result<T, StorageFailure>): Result<T, StorageFailure> =
    runCatching(call).getOrElse { Err(StorageFailure.DiskFailed("an attempt to open the folder failed with $it")) }

internal class ReplicaFolder(
    private val setup: CoreSetup,
    private val storage: ScheduledExecutorService,
) : AutoCloseable {
    @Volatile
    var replica: GroupReplica? = null
        private set

    /** Whether the folder has an identity; null while that is unknown. */
    @Volatile
    var initialised: Boolean? = null
        private set

    /** Opens the replica in the folder, if there is one. */
    fun open() = storage.execute { withDisk(::openExisting) }

    /** Initialises the empty folder; with [bootstrap], as the first member of a new group. */
    fun initialise(bootstrap: Boolean) {
        if (initialised != false) return
        initialised = true
        storage.execute { withDisk { initialiseAndOpen(it, bootstrap) } }
    }

    /** Replaces [removed] by a replica with another identity and an empty log, and then calls [done]. */
    fun renew(
        removed: GroupReplica,
        done: () -> Unit,
    ) = storage.execute {
        if (release(removed)) {
            withDisk { disk -> clearFolder(disk).andThen { initialiseAndOpen(disk, bootstrap = false) } }
        }
        done()
    }

    /** Saves [recent] for the next start, without waiting for the disk. */
    fun save(recent: RecentState) = storage.execute { saveRecentState(setup.folder, recent) }

    private fun withDisk(use: (Disk) -> Result<GroupReplica?, StorageFailure>) {
        setup
            .openDisk()
            .andThen { disk -> attempt { use(disk) }.onFailure { attempt { Ok(disk.close()) } } }
            .onSuccess { replica = it }
            .onFailure { failure ->
                val fields = mapOf("folder" to setup.folder.toString(), "reason" to failure.detail)
                logger.event("storage_failed", fields, Level.WARN)
                scheduleReopen()
            }
    }

    private fun scheduleReopen() {
        storage.schedule({ withDisk(::openExisting) }, REOPEN_DELAY_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun openExisting(disk: Disk): Result<GroupReplica?, StorageFailure> =
        folderIdentity(disk).andThen { identity ->
            initialised = identity != null
            if (identity != null) openReplica(disk, identity) else Ok(null.also { disk.close() })
        }

    private fun initialiseAndOpen(
        disk: Disk,
        bootstrap: Boolean,
    ): Result<GroupReplica?, StorageFailure> {
        val incarnation = SecureRandom().nextLong()
        val node = NodeId("${setup.address}/${incarnation.toULong().toString(radix = 36)}")
        val identity = FolderIdentity(CLUSTER_ID, node, incarnation)
        val markers = if (bootstrap) listOf(BOOTSTRAP_MARKER_FILE) else emptyList()
        return clearFolder(disk).andThen { initialiseFolder(disk, identity, markers) }.andThen {
            logger.event("folder_initialised", mapOf("replica" to node.value, "founding" to bootstrap))
            openReplica(disk, identity)
        }
    }

    private fun openReplica(
        disk: Disk,
        identity: FolderIdentity,
    ): Result<GroupReplica, StorageFailure> {
        val bootstrapped = disk.read(BOOTSTRAP_MARKER_FILE) != null
        var opened: GroupReplica? = null
        return openReplica(
            group =
                ReplicaGroup(
                    CLUSTER_ID,
                    identity.node,
                    if (bootstrapped) listOf(identity.node) else emptyList(),
                ),
            disk = disk,
            stateMachine = FleetState(setup.publish),
            send = { to, payload -> setup.send(identity.node, to, payload) },
            nowMillis = setup.nowMillis,
            random = Random(SecureRandom().nextLong()),
            onHalt = { failure ->
                // Handled on the storage thread, which has then stored the replica, however early it halts.
                if (failure.kind != ErrorKind.ShuttingDown) storage.execute { handleHalt(opened, failure) }
            },
            settings = replicaSettings,
        ).mapError { StorageFailure.DiskFailed("${identity.node} was not opened: ${it.detail}") }
            .onSuccess {
                opened = it
                val fields = mapOf("replica" to identity.node.value, "founder" to bootstrapped)
                logger.event("replica_opened", fields)
            }
    }

    /** Reopens the folder after a storage failure; until then this host neither votes nor acknowledges. */
    private fun handleHalt(
        halted: GroupReplica?,
        failure: Failure,
    ) {
        logger.event("replica_halted", mapOf("reason" to failure.detail), Level.WARN)
        if (halted != null && release(halted)) scheduleReopen()
    }

    /** Closes [open] if it is the replica of this folder; otherwise another task has closed it and opens the folder. */
    private fun release(open: GroupReplica): Boolean {
        if (replica !== open) return false
        replica = null
        open.close()
        return true
    }

    override fun close() {
        storage.shutdownNow()
        replica?.close()
    }
}
