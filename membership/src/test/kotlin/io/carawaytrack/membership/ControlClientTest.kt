/*
 * The client of the control hosts against hosts that the test plays, message by message. The clock stands still unless
 * the test moves it, and every wait is for a message.
 */
package io.carawaytrack.membership

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.carawaytrack.fakes.FakeLink
import io.carawaytrack.fakes.awaitSentOf
import io.carawaytrack.fakes.testPeer
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.LEASE_MILLIS
import io.carawaytrack.model.Membership
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.SuspectReport
import io.carawaytrack.model.notRun
import io.carawaytrack.wire.ConfigurationPush
import io.carawaytrack.wire.Heartbeat
import io.carawaytrack.wire.LeaseGrant
import io.carawaytrack.wire.LedgerCall
import io.carawaytrack.wire.LedgerReply
import io.carawaytrack.wire.NotLeading
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

private val firstHost = HostPort("127.0.0.1", 1)
private val secondHost = HostPort("127.0.0.1", 2)
private const val COMMIT_TIMEOUT_MILLIS = 60_000L

/** Plays the control hosts of one client. */
private class Hosts : AutoCloseable {
    val nowMillis = AtomicLong(1_000)
    val configurations = mutableListOf<Long>()
    val suspects = AtomicReference<SuspectReport>()
    private val memberships = Channel<Membership>(Channel.UNLIMITED)
    private val dialled = Channel<Pair<HostPort, FakeLink>>(Channel.UNLIMITED)
    val client =
        ControlClient(
            listOf(firstHost, secondHost),
            ControlClientPorts(
                connect = { address ->
                    val link = FakeLink(testPeer("control-${address.port}", NodeRole.Control))
                    dialled.send(address to link)
                    Ok(link)
                },
                nowMillis = nowMillis::get,
                onConfiguration = { configurations += it.number },
                onMembership = { memberships.trySend(it) },
                suspects = suspects::get,
            ),
        )

    suspend fun dialled(): Pair<HostPort, FakeLink> = dialled.receive()

    /** Delivers [grant] and waits until the client has taken in it and everything before it. */
    suspend fun FakeLink.deliverAndWait(
        heartbeat: Heartbeat,
        grant: LeaseGrant,
    ) {
        deliver(grant)
        settle(heartbeat)
    }

    // A reply to a call is taken in after all that was delivered before it.
    suspend fun FakeLink.settle(heartbeat: Heartbeat) {
        check(heartbeat.sequence > 0)
        runBlocking {
            val barrier = async { client.commit(ByteArray(0), COMMIT_TIMEOUT_MILLIS) }
            deliver(LedgerReply(awaitSentOf<LedgerCall>().call, reply = ByteArray(0)))
            barrier.await()
        }
    }

    override fun close() = client.close()
}

private fun grant(
    sequence: Long,
    number: Long = 0,
    carries: Long? = null,
) = LeaseGrant(sequence, LEASE_MILLIS, number, carries?.let { Configuration(number = it) })

class ControlClientTest {
    private fun withHosts(test: suspend Hosts.(FakeLink) -> Unit): Unit = runBlocking {
        Hosts().use { hosts ->
            hosts.client.start()
            val (_, link) = hosts.dialled()
            hosts.test(link)
        }
    }

    @Test
    fun `a lease is counted from the moment at which its heartbeat was sent`() = withHosts { link ->
        val heartbeat = link.awaitSentOf<Heartbeat>()
        nowMillis.addAndGet(1_200)
        link.deliverAndWait(heartbeat, grant(heartbeat.sequence))
        expectThat(client.lease.remainingMillis()).isEqualTo(LEASE_MILLIS - 1_200)
        nowMillis.addAndGet(LEASE_MILLIS - 1_200)
        expectThat(client.lease.held).isEqualTo(false)
    }

    @Test
    fun `a grant that comes after its lease would have ended gives none`() = withHosts { link ->
        val heartbeat = link.awaitSentOf<Heartbeat>()
        nowMillis.addAndGet(LEASE_MILLIS)
        link.deliverAndWait(heartbeat, grant(heartbeat.sequence))
        expectThat(client.lease.held).isEqualTo(false)
    }

    private data class Case(
        val name: String,
        val remainingMillis: Long,
        val grants: (first: Long, second: Long) -> List<LeaseGrant>,
    )

    private val cases =
        listOf(
            Case("both in order", LEASE_MILLIS - 100) { first, second -> listOf(grant(first), grant(second)) },
            Case("both, the later first", LEASE_MILLIS - 100) { first, second ->
                listOf(grant(second), grant(first))
            },
            Case("the first, twice", LEASE_MILLIS - 600) { first, _ -> listOf(grant(first), grant(first)) },
            Case("one that was never asked for", 0) { _, second -> listOf(grant(second + 100)) },
            Case("one for a configuration that it does not bring", 0) { _, second ->
                listOf(grant(second, number = 7))
            },
            Case("one with its configuration", LEASE_MILLIS - 100) { _, second ->
                listOf(grant(second, number = 7, carries = 7))
            },
        )

    @TestFactory
    fun `grants count only for the heartbeat and the configuration they name`(): List<DynamicTest> = cases.map { case ->
        dynamicTest(case.name) {
            withHosts { link ->
                val first = link.awaitSentOf<Heartbeat>()
                nowMillis.addAndGet(500)
                client.hurry()
                val second = link.awaitSentOf<Heartbeat>()
                nowMillis.addAndGet(100)
                case.grants(first.sequence, second.sequence).forEach(link::deliver)
                link.settle(second)
                expectThat(client.lease.remainingMillis()).isEqualTo(case.remainingMillis)
            }
        }
    }

    @Test
    fun `what an agent holds against requests goes out once, and again when it has changed`() = withHosts { link ->
        listOf(7L, 8L).map { SuspectReport(NodeId("agent-1"), it, emptyList()) }.forEach { report ->
            suspects.set(report)
            client.hurry()
            var heartbeat = link.awaitSentOf<Heartbeat>()
            while (heartbeat.suspects == null) heartbeat = link.awaitSentOf<Heartbeat>()
            expectThat(heartbeat.suspects).isEqualTo(report)
            client.hurry()
            expectThat(link.awaitSentOf<Heartbeat>().suspects).isNull()
        }
    }

    @Test
    fun `the configuration never goes back, whichever way it comes`() = withHosts { link ->
        val heartbeat = link.awaitSentOf<Heartbeat>()
        listOf(3L, 2L, 5L, 5L, 4L).forEach { link.deliver(ConfigurationPush(Configuration(number = it))) }
        link.deliverAndWait(heartbeat, grant(heartbeat.sequence, number = 4, carries = 4))
        expectThat(client.configuration.number).isEqualTo(5)
        expectThat(configurations.toList()).isEqualTo(listOf(3L, 5L))
        link.close()
        val (_, other) = dialled()
        val next = other.awaitSentOf<Heartbeat>()
        expectThat(next.configurationNumber).isEqualTo(5)
        other.deliver(ConfigurationPush(Configuration(number = 1)))
        other.deliverAndWait(next, grant(next.sequence, number = 1, carries = 1))
        expectThat(client.configuration.number).isEqualTo(5)
    }

    @Test
    fun `a silent control host is left for another`() = withHosts { link ->
        link.awaitSentOf<Heartbeat>()
        nowMillis.addAndGet(CONTROL_SILENCE_MILLIS + 1)
        client.hurry()
        link.closed.await()
        expectThat(dialled().first).isEqualTo(secondHost)
    }

    @Test
    fun `a host that does not lead is left for the one it names`() = withHosts { link ->
        link.deliver(NotLeading(1, HostPort("127.0.0.1", 9)))
        expectThat(dialled().first).isEqualTo(HostPort("127.0.0.1", 9))
    }

    @Test
    fun `a commit is sent again over the next link with the same command`() = withHosts { link ->
        val command = "finish r1".encodeToByteArray()
        runBlocking {
            val committed = async { client.commit(command, COMMIT_TIMEOUT_MILLIS) }
            expectThat(link.awaitSentOf<LedgerCall>().command).isEqualTo(command)
            link.close()
            val (_, other) = dialled()
            val call = other.awaitSentOf<LedgerCall>()
            expectThat(call.command).isEqualTo(command)
            other.deliver(LedgerReply(call.call + 100, reply = byteArrayOf(8)))
            other.deliver(LedgerReply(call.call, failure = ErrorKind.NotLeader.notRun()))
            val again = other.awaitSentOf<LedgerCall>()
            expectThat(again.command).isEqualTo(command)
            other.deliver(LedgerReply(again.call, reply = byteArrayOf(9)))
            expectThat(committed.await().get()).isNotNull().isEqualTo(byteArrayOf(9))
        }
    }

    @Test
    fun `a commit that no host answers says that it may have run`() = withHosts { link ->
        runBlocking {
            val committed = async { client.commit(ByteArray(1), timeoutMillis = 1) }
            val failure = committed.await().getError()
            expectThat(failure?.kind).isEqualTo(ErrorKind.ControlUnavailable)
            val sent = generateSequence { link.sentOrNull() }.any { it is LedgerCall }
            if (sent) expectThat(failure?.execution).isEqualTo(Execution.MayHaveRun)
        }
    }
}
