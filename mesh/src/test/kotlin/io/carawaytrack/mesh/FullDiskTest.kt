/*
 * One host's replica while its disk refuses writes: once there is room again, the host has a replica again.
 */
package io.carawaytrack.mesh

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import io.carawaytrack.fleet.FleetCommand
import io.carawaytrack.fleet.encode
import io.carawaytrack.model.Failure
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.NodeId
import io.carawaytrack.storage.StorageFailure
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val TIMEOUT_SECONDS = 20L

/** Number by which tests divide the delays of the storage thread. */
private const val SPEED = 20L

class FullDiskTest {
    @TempDir
    private lateinit var folder: Path

    private val members = ArrayList<OneHost>()

    @AfterEach
    fun close() = members.forEach { it.member.close() }

    private inner class OneHost(
        name: String,
    ) {
        val room = LimitedRoom(Files.createDirectories(folder.resolve(name)))
        val lockedOut = AtomicInteger()
        val storage =
            object : ScheduledThreadPoolExecutor(1) {
                override fun schedule(
                    command: Runnable,
                    delay: Long,
                    unit: TimeUnit,
                ): ScheduledFuture<*> = super.schedule(command, delay / SPEED, unit)
            }
        val member =
            CoreMember(
                CoreSetup(
                    folder = folder.resolve(name),
                    address = HostPort("127.0.0.1", 1),
                    requiredVoters = 1,
                    send = { _, _, _ -> },
                    publish = {},
                    nowMillis = { System.nanoTime() / 1_000_000 },
                    onLoop = { it() },
                    openDisk = ::openDisk,
                ),
                storage,
            )
        private val node: NodeId? get() = member.status?.node

        private fun openDisk() = room.open().onFailure {
            if (it is StorageFailure.FolderInUse) lockedOut.incrementAndGet()
        }

        init {
            members += this
            member.open()
            await("an empty folder") { member.initialised == false }
        }

        /** Initialises the folder whenever it is known to be empty, until a replica other than [old] is open. */
        fun awaitReplica(
            bootstrap: Boolean,
            old: NodeId? = null,
        ): NodeId {
            var found: NodeId? = null
            await("a replica") {
                member.initialise(bootstrap)
                found = node
                found != null && found != old
            }
            return checkNotNull(found)
        }

        fun awaitLeadership() = await("leadership") { member.status?.leading == true }

        fun propose(version: Long): CompletableFuture<Result<ByteArray, Failure>> {
            val done = CompletableFuture<Result<ByteArray, Failure>>()
            member.propose(FleetCommand.Replace(version, ByteArray(100)).encode()) { done.complete(it) }
            return done
        }

        fun await(
            expected: String,
            condition: () -> Boolean,
        ) {
            val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)
            while (!condition()) {
                check(System.nanoTime() < end) {
                    "expected $expected within $TIMEOUT_SECONDS s; locked out ${lockedOut.get()} times"
                }
                Thread.onSpinWait()
            }
        }
    }

    @TestFactory
    fun `a host whose disk was full while its folder was initialised gets a replica`() =
        listOf(false, true).flatMap { bootstrap ->
            (0..4).map { writes ->
                dynamicTest("bootstrap $bootstrap, full after $writes writes") {
                    val host = OneHost("$bootstrap-$writes")
                    host.room.fill(afterWrites = writes)
                    host.member.initialise(bootstrap)
                    host.await("a refused write") { host.room.refusals.get() > 0 || host.member.status != null }
                    host.room.free()
                    host.awaitReplica(bootstrap)
                    if (bootstrap) host.awaitLeadership()
                }
            }
        }

    @TestFactory
    fun `a removed replica whose disk is full joins under another identity once there is room`() =
        (0..3).map { writes ->
            dynamicTest("full after $writes writes") {
                val host = OneHost("removed-$writes")
                val old = host.awaitReplica(bootstrap = true)
                host.awaitLeadership()
                host.room.fill(afterWrites = writes)
                host.member.handleRemoval(old)
                host.await("a refused write") { host.room.refusals.get() > 0 }
                host.room.free()
                expectThat(host.awaitReplica(bootstrap = false, old)).isNotEqualTo(old)
                expectThat(host.member.joinRequest()?.fresh).isEqualTo(true)
            }
        }

    @TestFactory
    fun `every change of a leader whose disk is full is answered, and later ones are committed`() =
        (0..3).map { writes ->
            dynamicTest("full after $writes writes") {
                val host = OneHost("leader-$writes")
                host.awaitReplica(bootstrap = true)
                host.awaitLeadership()
                host.room.fill(afterWrites = writes)
                val calls =
                    (1L..5L).map { version ->
                        host.propose(version).also { it.get(TIMEOUT_SECONDS, TimeUnit.SECONDS) }
                    }
                expectThat(calls.all { it.isDone }).isTrue()
                host.await("a refused write") { host.room.refusals.get() > 1 }
                host.room.free()
                host.awaitLeadership()
                expectThat(host.propose(6).get(TIMEOUT_SECONDS, TimeUnit.SECONDS).isOk).isTrue()
            }
        }

    @TestFactory
    fun `a folder is opened again after any read has failed`() = listOf("founder", "term", "identity").map { file ->
        dynamicTest(file) {
            val host = OneHost("read-$file")
            val old = host.awaitReplica(bootstrap = true)
            host.awaitLeadership()
            val failed = AtomicInteger()
            host.room.beforeRead = { name ->
                if (name == file && failed.getAndIncrement() < 2) throw IOException("injected: read of $name")
            }
            host.member.handleRemoval(old)
            host.awaitReplica(bootstrap = false, old)
        }
    }

    @Test
    fun `a replica that halts while it is removed leaves one attempt to open its folder`() {
        val host = OneHost("halting")
        val old = host.awaitReplica(bootstrap = true)
        host.awaitLeadership()
        val writing = CountDownLatch(1)
        val removed = CountDownLatch(1)
        host.room.beforeWrite = {
            writing.countDown()
            removed.await()
        }
        host.room.fill()
        val call = host.propose(1)
        writing.await()
        host.member.handleRemoval(old)
        host.room.beforeWrite = {}
        removed.countDown()
        call.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
        host.room.free()
        host.awaitReplica(bootstrap = false, old)
        val locked = host.lockedOut.get()
        host.storage.schedule({}, 10_000, TimeUnit.MILLISECONDS).get()
        expectThat(host.lockedOut.get()).isEqualTo(locked)
    }
}
