/*
 * Random histories under several faults at once: partitions in one or both directions, message loss, delay, duplication
 * and reordering, crashes with torn writes, pauses, slow and fast clocks, and failed syncs. The group checks its
 * invariants at every step; this test checks that the reads and writes of clients are linearizable.
 */
package io.carawaytrack.consensus

import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory

class HistoryTest {
    /** Records the outcomes that clients received and checks that they are linearizable. */
    private class Client(
        private val group: TestGroup,
    ) {
        private class Write(
            val command: String,
            val call: Call,
        )

        private class Read(
            val host: Host,
            val call: Call,
            val acknowledgedBefore: Set<String>,
            val mostCommandsReadBefore: Int,
        )

        private val writes = ArrayList<Write>()
        private val reads = ArrayList<Read>()
        private val acknowledged = HashSet<String>()
        private var mostCommandsRead = 0
        val acknowledgedCommands: Set<String> get() = acknowledged

        fun write(host: Host) {
            val command = "w${writes.size}"
            writes += Write(command, group.propose(host, command))
        }

        fun read(host: Host) {
            reads += Read(host, group.confirm(host), acknowledged.toSet(), mostCommandsRead)
        }

        fun observe() {
            writes.filter { it.call.succeeded }.forEach { acknowledged += it.command }
            val done = reads.filter { it.call.outcome != null }
            done.filter { it.call.succeeded }.forEach(::checkRead)
            reads.removeAll(done.toSet())
        }

        private fun checkRead(read: Read) {
            val applied = read.host.stateMachine.applied
            val missing = read.acknowledgedBefore - applied.toSet()
            check(
                missing.isEmpty(),
            ) { "expected the read on ${read.host.node} to return $missing, got ${applied.size} commands without them" }
            check(applied.size >= read.mostCommandsReadBefore) {
                "expected at least the ${read.mostCommandsReadBefore} commands of an earlier read, got ${applied.size}"
            }
            mostCommandsRead = maxOf(mostCommandsRead, applied.size)
        }
    }

    @TestFactory
    fun `acknowledged commands survive any history of faults and are returned by reads`() =
        (1..SEED_COUNT).map { seed -> dynamicTest("seed $seed") { runHistory(seed) } }

    private fun runHistory(seed: Int) {
        val settings = testSettings.copy(snapshotEveryEntries = 8, keptEntries = 2)
        val group = TestGroup(seed, size = if (seed % 2 == 0) 3 else 5, settings)
        val client = Client(group)
        repeat(STEP_COUNT) {
            injectFault(group)
            repeat(group.random.nextInt(4)) { client.write(group.hosts.values.random(group.random)) }
            group.leader()?.let(client::write)
            group.hosts.values.forEach(client::read)
            repeat(group.random.nextInt(1, MAX_STEP_MILLIS)) {
                group.run(millis = 1)
                client.observe()
            }
        }
        recover(group)
        group.commit(listOf("after all faults"))
        group.runUntilAllApplied(client.acknowledgedCommands + "after all faults")
        group.checkLogsMatch()
    }

    /** Faults injected between two steps; healing and recovery are listed repeatedly so that the group progresses. */
    private val faults: List<(TestGroup, Host) -> Unit> =
        listOf(
            { group, host -> group.isolate(host) },
            { group, host -> group.block(host, group.hosts.values.random(group.random)) },
            { group, _ -> group.heal() },
            { group, _ -> group.heal() },
            { group, _ -> group.heal() },
            { group, host -> group.restart(host) },
            { group, host -> group.crash(host) },
            { _, host -> host.paused = true },
            { group, _ -> group.hosts.values.forEach { it.paused = false } },
            { _, host -> host.disk.failSync = true },
            { group, host -> host.clockPercent = listOf(50, 200).random(group.random) },
            { group, host -> isolateWithSlowClock(group.leader() ?: host, group) },
            { group, _ -> degradeNetwork(group) },
            { group, _ -> recover(group) },
            { group, _ -> recover(group) },
        )

    private fun injectFault(group: TestGroup) {
        val host = group.hosts.values.random(group.random)
        faults.random(group.random)(group, host)
    }

    private fun degradeNetwork(group: TestGroup) {
        group.maxDelayMillis = group.random.nextLong(1, 120)
        group.lossPercent = group.random.nextInt(15)
        group.duplicatePercent = group.random.nextInt(30)
    }

    /** Isolates [host] and slows its clock, so that a leader does not step down before another one is elected. */
    private fun isolateWithSlowClock(
        host: Host,
        group: TestGroup,
    ) {
        host.clockPercent = 5
        group.isolate(host)
    }

    private fun recover(group: TestGroup) {
        group.heal()
        group.maxDelayMillis = 3
        group.lossPercent = 0
        group.duplicatePercent = 0
        group.hosts.values.forEach { host ->
            host.paused = false
            host.clockPercent = 100
            if (host.driver == null || host.disk.failSync) group.restart(host)
        }
    }

    private companion object {
        const val SEED_COUNT = 200
        const val STEP_COUNT = 40
        const val MAX_STEP_MILLIS = 250
    }
}
