/*
 * Measures a group of three replicas in one process with real files and syncs, and the time to open a long log. Runs
 * only if selected by name:
 * `mvn -o -B -pl consensus -am test -Dtest=ReplicationBenchmark -Dsurefire.failIfNoSpecifiedTests=false`
 */
package io.carawaytrack.consensus

import com.github.michaelbull.result.unwrap
import io.carawaytrack.model.NodeId
import io.carawaytrack.storage.FolderIdentity
import io.carawaytrack.storage.initialiseFolder
import io.carawaytrack.storage.openFileDisk
import io.carawaytrack.storage.openLogStore
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

class ReplicationBenchmark {
    private class CountingStateMachine : StateMachine {
        private var count = 0L

        override fun apply(
            index: Long,
            command: ByteArray,
        ) = (++count).toString().toByteArray()

        override fun snapshot() = count.toString().toByteArray()

        override fun restore(snapshot: ByteArray) {
            count = String(snapshot).toLong()
        }
    }

    private val folder: Path = Files.createTempDirectory(Path.of("target").toAbsolutePath(), "benchmark")
    private val nodes = (1..3).map { NodeId("c$it") }
    private val replicas = ConcurrentHashMap<NodeId, GroupReplica>()

    @Test
    fun `proposals per second and latency by number of callers, then the time to open the log`() =
        runBlocking(Dispatchers.Default) {
            nodes.forEach { replicas[it] = open(it, initialise = true) }
            val leader = awaitLeader()
            measure(leader, callers = 16, proposals = 2_000)
            println("callers | proposals | proposals/s | p50 ms | p99 ms | max ms")
            listOf(1 to 1_000, 16 to 16_000, 128 to 60_000).forEach { (callers, proposals) ->
                println(measure(leader, callers, proposals))
            }
            measure(leader, callers = 256, proposals = 100_000 - leader.status().appliedIndex.toInt())
            replicas.values.forEach { it.close() }
            println("entries | open log ms | replica applies all ms")
            println(measureOpening(leader.status().node))
            folder.toFile().deleteRecursively()
            Unit
        }

    private fun open(
        node: NodeId,
        initialise: Boolean,
    ): GroupReplica {
        val disk = openFileDisk(folder.resolve(node.value)).unwrap()
        if (initialise) initialiseFolder(disk, FolderIdentity("benchmark", node, Random.nextLong())).unwrap()
        return openReplica(
            group = ReplicaGroup("benchmark", node, nodes),
            disk = disk,
            stateMachine = CountingStateMachine(),
            send = { to, payload -> replicas[to]?.receive(node, payload) },
            nowMillis = { System.nanoTime() / 1_000_000 },
            random = Random.Default,
            onHalt = {},
            settings = ReplicaSettings(snapshotEveryEntries = Int.MAX_VALUE, snapshotEveryBytes = Long.MAX_VALUE),
        ).unwrap()
    }

    private suspend fun awaitLeader(): GroupReplica {
        while (true) replicas.values.firstOrNull { it.confirmLeadership().isOk }?.let { return it }
    }

    private suspend fun measure(
        leader: GroupReplica,
        callers: Int,
        proposals: Int,
    ): String {
        val command = ByteArray(200) { it.toByte() }
        val next = AtomicInteger()
        val latenciesNanos = LongArray(proposals)
        val startNanos = System.nanoTime()
        coroutineScope {
            repeat(callers) {
                launch {
                    while (true) {
                        val number = next.getAndIncrement()
                        if (number >= proposals) break
                        val sentNanos = System.nanoTime()
                        leader.propose(command).unwrap()
                        latenciesNanos[number] = System.nanoTime() - sentNanos
                    }
                }
            }
        }
        val seconds = (System.nanoTime() - startNanos) / 1e9
        latenciesNanos.sort()
        val millis = listOf(0.5, 0.99, 1.0).map { latenciesNanos[(it * (proposals - 1)).toInt()] / 1e6 }
        return "%d | %d | %.0f | %.2f | %.2f | %.2f".format(
            callers,
            proposals,
            proposals / seconds,
            millis[0],
            millis[1],
            millis[2],
        )
    }

    private suspend fun measureOpening(node: NodeId): String {
        val startNanos = System.nanoTime()
        val opened = openLogStore(openFileDisk(folder.resolve(node.value)).unwrap(), "benchmark", node).unwrap()
        val openMillis = (System.nanoTime() - startNanos) / 1e6
        val entries = opened.recovered.entries.size
        opened.store.close()
        val restartNanos = System.nanoTime()
        nodes.forEach { replicas[it] = open(it, initialise = false) }
        val leader = awaitLeader()
        val appliedMillis = (System.nanoTime() - restartNanos) / 1e6
        check(leader.status().appliedIndex >= entries) { "expected $entries entries applied, got ${leader.status()}" }
        replicas.values.forEach { it.close() }
        return "%d | %.0f | %.0f".format(entries, openMillis, appliedMillis)
    }
}
