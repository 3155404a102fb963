/*
 * A group of hosts whose disks are full one after another, while changes are proposed. Each host has a real folder and
 * a real replica; the clock and the delays run faster than real time, and messages are handed over in memory.
 */
package io.carawaytrack.mesh

import com.github.michaelbull.result.Result
import io.carawaytrack.fleet.FleetCommand
import io.carawaytrack.fleet.FleetView
import io.carawaytrack.fleet.encode
import io.carawaytrack.model.Failure
import io.carawaytrack.model.HostPort
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.api.parallel.Execution
import org.junit.jupiter.api.parallel.ExecutionMode
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Speed of the hosts' clocks and delays. */
private const val SPEED = 2L

/** Time within which a change must be acknowledged once all disks have had room for a while. */
private const val ACKNOWLEDGE_MILLIS = 4_000L

/** Time after which a call counts as unanswered and is made to the next host. */
private const val CALL_MILLIS = 1_000L

/** Time between the last full disk and the changes that must be acknowledged in time. */
private const val CALM_MILLIS = 5_000L

private const val CHANGE_INTERVAL_MILLIS = 400L
private const val LAST_CHANGES = 10

internal class FullDisksInTurnTest {
    @TempDir
    private lateinit var folder: Path

    private class Play(
        val hosts: Int,
        val requiredVoters: Int,
        val target: Target,
        val seed: Int,
        val fullDisks: Int,
    )

    private enum class Target { TURN, LEADER, ANY }

    @Execution(ExecutionMode.CONCURRENT)
    @TestFactory
    fun `changes are acknowledged after disks were full one after another`() = plays().map { play ->
        dynamicTest("${play.hosts} hosts, ${play.requiredVoters} voters, ${play.target}, seed ${play.seed}") {
            Group(play).use(Group::run)
        }
    }

    private fun plays(): List<Play> {
        val sizes = listOf(3 to 3, 4 to 3, 5 to 3, 5 to 5, 8 to 5)
        val first = Integer.getInteger("fullDisks.firstSeed", 1)
        val count = Integer.getInteger("fullDisks.seeds", 1)
        return (first until first + count).flatMap { seed ->
            val chosen = if (count == 1) sizes.subList(1, 2) else sizes
            chosen.mapIndexed { at, (hosts, voters) ->
                Play(hosts, voters, Target.entries[(seed + at) % 3], seed, fullDisks = if (count == 1) 3 else 6)
            }
        }
    }

    private inner class Group(
        private val play: Play,
    ) : AutoCloseable {
        private val random = Random(play.seed)
        private val startNanos = System.nanoTime()
        private val loop = Executors.newSingleThreadScheduledExecutor()
        private val hosts: List<Host> = List(play.hosts, ::Host)
        private val calls = ArrayList<CompletableFuture<Result<ByteArray, Failure>>>()
        private var version = 0L
        private var acknowledged = 0L
        private var lastRefusal = ""

        private fun nowMillis() = (System.nanoTime() - startNanos) / 1_000_000 * SPEED

        private inner class Host(
            val number: Int,
        ) {
            private val data =
                Files.createDirectories(folder.resolve("${play.hosts}-${play.requiredVoters}-${play.seed}/$number"))
            val room = LimitedRoom(data)

            @Volatile
            var view = FleetView()
            private val storage =
                object : ScheduledThreadPoolExecutor(1) {
                    override fun schedule(
                        command: Runnable,
                        delay: Long,
                        unit: TimeUnit,
                    ): ScheduledFuture<*> = super.schedule(command, unit.toMicros(delay) / SPEED, TimeUnit.MICROSECONDS)
                }
            val member: CoreMember =
                CoreMember(
                    CoreSetup(
                        folder = data,
                        address = HostPort("127.0.0.1", number + 1),
                        requiredVoters = play.requiredVoters,
                        send = { from, to, payload ->
                            val host = addressOf(to)?.let { hosts[it.port - 1] }
                            host?.member?.receive(MeshMessage.Replication(from, to, payload))
                        },
                        publish = { view = it },
                        nowMillis = ::nowMillis,
                        onLoop = { if (!loop.isShutdown) loop.execute(it) },
                        openDisk = room::open,
                    ),
                    storage,
                )

            fun tick() {
                if (member.initialised == false) {
                    val founds = number == 0 && version == 0L && hosts.none { it.member.status?.leader != null }
                    if (founds || hosts.any { it.member.status?.leading == true }) member.initialise(founds)
                }
                member.joinRequest()?.let { request ->
                    (hosts - this).forEach { it.member.handleJoin(request, ::answer) }
                }
                member.maintain()
            }

            private fun answer(message: MeshMessage) {
                if (message is MeshMessage.Removed) member.handleRemoval(message.node)
            }
        }

        fun run() {
            hosts.forEach { it.member.open() }
            val period = MESH_TICK_MILLIS * 1_000 / SPEED
            loop.scheduleAtFixedRate({ hosts.forEach { it.tick() } }, 0, period, TimeUnit.MICROSECONDS)
            awaitVoters()
            repeat(play.fullDisks) { turn ->
                val host = next(turn)
                host.room.fill(afterWrites = random.nextInt(4))
                changeFor(random.nextLong(100, 8_000))
                host.room.free()
                changeFor(random.nextLong(0, 5_000))
            }
            changeFor(CALM_MILLIS)
            repeat(LAST_CHANGES) {
                val beganMillis = nowMillis()
                check(
                    change(beganMillis + ACKNOWLEDGE_MILLIS),
                ) { "expected a change to be acknowledged; ${describe()}" }
            }
            await("equal states on all hosts") { hosts.all { it.view.version == version } }
            await("an answer to each call") { calls.all { it.isDone } }
            awaitVoters()
        }

        private fun next(turn: Int) = when (play.target) {
            Target.TURN -> hosts[turn % hosts.size]
            Target.LEADER -> hosts.firstOrNull { it.member.status?.leading == true } ?: hosts.random(random)
            Target.ANY -> hosts.random(random)
        }

        private fun awaitVoters() = await("all hosts as voters") {
            hosts.any { host ->
                val status = host.member.status
                status?.leading == true && status.members.count { it.voter } == hosts.size
            }
        }

        private fun changeFor(millis: Long) {
            val endMillis = nowMillis() + millis
            while (nowMillis() < endMillis) change(minOf(endMillis, nowMillis() + ACKNOWLEDGE_MILLIS))
        }

        /** Makes one change, like an operator who calls host after host; returns whether it was acknowledged. */
        private fun change(deadlineMillis: Long): Boolean {
            val command = FleetCommand.Replace(++version, ByteArray(random.nextInt(20_000))).encode()
            val nextMillis = nowMillis() + CHANGE_INTERVAL_MILLIS
            while (nowMillis() < deadlineMillis) {
                if (!call(hosts.random(random), command)) continue
                acknowledged = version
                hosts.first().run {
                    loop
                        .schedule(
                            {},
                            maxOf(0, nextMillis - nowMillis()) / SPEED,
                            TimeUnit.MILLISECONDS,
                        ).get()
                }
                return true
            }
            return false
        }

        private fun call(
            host: Host,
            command: ByteArray,
        ): Boolean {
            val answer = CompletableFuture<Result<ByteArray, Failure>>()
            calls += answer
            host.member.propose(command) { answer.complete(it) }
            val waited = CompletableFuture.anyOf(answer, timeout())
            waited.get()
            val result = answer.getNow(null) ?: return false
            if (result.isErr) lastRefusal = "${host.number}: $result"
            return result.isOk
        }

        private fun timeout() =
            CompletableFuture<Unit>().completeOnTimeout(Unit, CALL_MILLIS / SPEED, TimeUnit.MILLISECONDS)

        private fun await(
            expected: String,
            condition: () -> Boolean,
        ) {
            val endMillis = nowMillis() + 30_000
            while (!condition()) {
                check(nowMillis() < endMillis) { "expected $expected; ${describe()}" }
                timeout().get()
            }
        }

        private fun describe() = "version $version, acknowledged $acknowledged, last refusal $lastRefusal, " +
            hosts.joinToString { "${it.number}: ${it.view.version} ${it.member.initialised} ${it.member.status}" }

        override fun close() {
            loop.shutdownNow()
            hosts.forEach { it.member.close() }
        }
    }
}
