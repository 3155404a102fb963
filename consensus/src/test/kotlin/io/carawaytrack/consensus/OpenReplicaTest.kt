/*
 * A replica with its own thread, as opened by the control hosts. The group has one member, and every read of the clock
 * advances it by 100 ms.
 */
package io.carawaytrack.consensus

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.unwrap
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.NodeId
import io.carawaytrack.storage.FolderIdentity
import io.carawaytrack.storage.initialiseFolder
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

class OpenReplicaTest {
    private val node = NodeId("c1")
    private val disk = MemoryDisk()
    private val clock = AtomicLong()
    private val halts = LinkedBlockingQueue<Failure>()
    private lateinit var stateMachine: RecordingStateMachine

    @Test
    fun `concurrent calls all succeed and their commands survive a restart`() = runTest {
        initialise()
        open().use { replica ->
            awaitLeadership(replica)
            val replies = (1..200).map { async { replica.propose("w$it".toByteArray()) } }.awaitAll()
            expectThat(replies.all { it.isOk }).isTrue()
            expectThat(replica.confirmLeadership().isOk).isTrue()
        }
        val appliedBefore = stateMachine.applied
        open().use { replica ->
            awaitLeadership(replica)
            expectThat(stateMachine.applied).isEqualTo(appliedBefore)
            expectThat(stateMachine.applied).containsExactlyInAnyOrder((1..200).map { "w$it" })
        }
    }

    @Test
    fun `a folder that was never initialised is refused`() {
        expectThat(tryOpen().getError()).isNotNull().get { kind }.isEqualTo(ErrorKind.StorageFailed)
    }

    @Test
    fun `a command over the size limit is refused`() = runTest {
        initialise()
        open().use { replica ->
            awaitLeadership(replica)
            val failure = replica.propose(ByteArray(ReplicaSettings().maxCommandBytes + 1)).getError()
            expectThat(failure)
                .isNotNull()
                .get { kind to execution }
                .isEqualTo(ErrorKind.BodyTooLarge to Execution.NotRun)
        }
    }

    @Test
    fun `a closed replica refuses every call and reports why it halted`() = runTest {
        initialise()
        val replica = open()
        awaitLeadership(replica)
        replica.close()
        val failures =
            listOf(
                replica.propose("late".toByteArray()).getError(),
                replica.confirmLeadership().getError(),
                replica.changeMembers(MemberChange.AddLearner(NodeId("c2"))).getError(),
            )
        failures.forEach {
            expectThat(it)
                .isNotNull()
                .get { kind to execution }
                .isEqualTo(ErrorKind.ShuttingDown to Execution.NotRun)
        }
        expectThat(halts.poll(10, TimeUnit.SECONDS)?.kind).isEqualTo(ErrorKind.ShuttingDown)
    }

    @Test
    fun `a state machine that throws halts its replica and the call fails`() = runTest {
        initialise()
        open().use { replica ->
            awaitLeadership(replica)
            val failure = replica.propose("poison".toByteArray()).getError()
            expectThat(failure)
                .isNotNull()
                .get { kind to execution }
                .isEqualTo(ErrorKind.Internal to Execution.MayHaveRun)
            expectThat(halts.poll(10, TimeUnit.SECONDS)?.kind).isEqualTo(ErrorKind.Internal)
            expectThat(replica.confirmLeadership().getError()?.kind).isEqualTo(ErrorKind.Internal)
        }
    }

    private fun initialise() = initialiseFolder(disk, FolderIdentity("test", node, incarnation = 1)).unwrap()

    private fun open() = tryOpen().unwrap()

    private fun tryOpen(): Result<GroupReplica, Failure> {
        stateMachine = RecordingStateMachine { _, command -> check(command != "poison") { "injected: $command" } }
        return openReplica(
            group = ReplicaGroup("test", node, listOf(node)),
            disk = disk,
            stateMachine = stateMachine,
            send = { _, _ -> },
            nowMillis = { clock.addAndGet(100) },
            random = Random(1),
            onHalt = halts::add,
        )
    }

    /** Calls the replica until it is the leader; every call advances the clock. */
    private suspend fun awaitLeadership(replica: Replica) {
        repeat(1_000) { if (replica.confirmLeadership().isOk) return }
        error("expected $node to become the leader within 1000 calls, got ${replica.status()}")
    }
}
