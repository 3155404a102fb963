/*
 * Tests the client of the control hosts against simulated hosts, message by message. The clock is manual, and every
 * wait is for a message.
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

/** Simulates the control hosts of one client. */
private class FakeControlHosts : AutoCloseable {
    val nowMillis = AtomicLong(1_000)
    val configurations = mutableListOf<Long>()
    val suspects = AtomicReference<SuspectReport>()
    private val memberships = Channel<Membership>(Channel.UNLIMITED)
    private val connections = Channel<Pair<HostPort, FakeLink>>(Channel.UNLIMITED)
    val client =
        ControlClient(
            listOf(firstHost, secondHost),
            ControlClientPorts(
                connect = { address ->
                    val link = FakeLink(testPeer("control-${address.port}", NodeRole.Control))
                    connections.send(address to link)
                    Ok(link)
                },
                nowMillis = nowMillis::get,
                onConfiguration = { configurations += it.number },
                onMembership = { memberships.trySend(it) },
                suspects = suspects::get,
            ),
        )

    suspend fun nextConnection(): Pair<HostPort, FakeLink> = connections.receive()

    /** Delivers [grant] and waits until the client has handled it and every message before it. */
    suspend fun FakeLink.deliverAndWait(
        heartbeat: Heartbeat,
        grant: LeaseGrant,
    ) {
        deliver(grant)
        awaitHandled(heartbeat)
    }

    // Messages are handled in order, so the reply to a call is handled after every message delivered before it.
    suspend fun FakeLink.awaitHandled(heartbeat: Heartbeat) {
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
    configurationNumber: Long = 0,
    includedNumber: Long? = null,
) = LeaseGrant(sequence, LEASE_MILLIS, configurationNumber, includedNumber?.let { Configuration(number = it) })

class ControlClientTest {
    private fun withControlHosts(test: suspend FakeControlHosts.(FakeLink) -> Unit): Unit = runBlocking {
        FakeControlHosts().use { controlHosts ->
            controlHosts.client.start()
            val (_, link) = controlHosts.nextConnection()
            controlHosts.test(link)
        }
    }

    @Test
    fun `a lease starts when its heartbeat was sent`() = withControlHosts { link ->
        val heartbeat = link.awaitSentOf<Heartbeat>()
        nowMillis.addAndGet(1_200)
        link.deliverAndWait(heartbeat, grant(heartbeat.sequence))
        expectThat(client.lease.remainingMillis()).isEqualTo(LEASE_MILLIS - 1_200)
        nowMillis.addAndGet(LEASE_MILLIS - 1_200)
        expectThat(client.lease.held).isEqualTo(false)
    }

    @Test
    fun `a grant received after its lease would have expired gives no lease`() = withControlHosts { link ->
        val heartbeat = link.awaitSentOf<Heartbeat>()
        nowMillis.addAndGet(LEASE_MILLIS)
        link.deliverAndWait(heartbeat, grant(heartbeat.sequence))
        expectThat(client.lease.held).isEqualTo(false)
    }

    private data class GrantCase(
        val name: String,
        val remainingMillis: Long,
        val grants: (first: Long, second: Long) -> List<LeaseGrant>,
    )

    private val grantCases =
        listOf(
            GrantCase("both in order", LEASE_MILLIS - 100) { first, second -> listOf(grant(first), grant(second)) },
            GrantCase("both in reverse order", LEASE_MILLIS - 100) { first, second ->
                listOf(grant(second), grant(first))
            },
            GrantCase(
                "a duplicate of the first",
                LEASE_MILLIS - 600,
            ) { first, _ -> listOf(grant(first), grant(first)) },
            GrantCase("one for a heartbeat that was never sent", 0) { _, second -> listOf(grant(second + 100)) },
            GrantCase("one for a configuration that it does not contain", 0) { _, second ->
                listOf(grant(second, configurationNumber = 7))
            },
            GrantCase("one that contains its configuration", LEASE_MILLIS - 100) { _, second ->
                listOf(grant(second, configurationNumber = 7, includedNumber = 7))
            },
        )

    @TestFactory
    fun `a grant is valid only for its heartbeat and its configuration`(): List<DynamicTest> = grantCases.map { case ->
        dynamicTest(case.name) {
            withControlHosts { link ->
                val first = link.awaitSentOf<Heartbeat>()
                nowMillis.addAndGet(500)
                client.sendHeartbeatNow()
                val second = link.awaitSentOf<Heartbeat>()
                nowMillis.addAndGet(100)
                case.grants(first.sequence, second.sequence).forEach(link::deliver)
                link.awaitHandled(second)
                expectThat(client.lease.remainingMillis()).isEqualTo(case.remainingMillis)
            }
        }
    }

    @Test
    fun `a suspect report is sent once and again only when it has changed`() = withControlHosts { link ->
        listOf(7L, 8L).map { SuspectReport(NodeId("agent-1"), it, emptyList()) }.forEach { report ->
            suspects.set(report)
            client.sendHeartbeatNow()
            var heartbeat = link.awaitSentOf<Heartbeat>()
            while (heartbeat.suspects == null) heartbeat = link.awaitSentOf<Heartbeat>()
            expectThat(heartbeat.suspects).isEqualTo(report)
            client.sendHeartbeatNow()
            expectThat(link.awaitSentOf<Heartbeat>().suspects).isNull()
        }
    }

    @Test
    fun `the configuration never reverts to a lower number, in pushes or in grants`() = withControlHosts { link ->
        val heartbeat = link.awaitSentOf<Heartbeat>()
        listOf(3L, 2L, 5L, 5L, 4L).forEach { link.deliver(ConfigurationPush(Configuration(number = it))) }
        link.deliverAndWait(heartbeat, grant(heartbeat.sequence, configurationNumber = 4, includedNumber = 4))
        expectThat(client.configuration.number).isEqualTo(5)
        expectThat(configurations.toList()).isEqualTo(listOf(3L, 5L))
        link.close()
        val (_, nextLink) = nextConnection()
        val nextHeartbeat = nextLink.awaitSentOf<Heartbeat>()
        expectThat(nextHeartbeat.configurationNumber).isEqualTo(5)
        nextLink.deliver(ConfigurationPush(Configuration(number = 1)))
        nextLink.deliverAndWait(
            nextHeartbeat,
            grant(nextHeartbeat.sequence, configurationNumber = 1, includedNumber = 1),
        )
        expectThat(client.configuration.number).isEqualTo(5)
    }

    @Test
    fun `the client leaves an unresponsive control host for the next one`() = withControlHosts { link ->
        link.awaitSentOf<Heartbeat>()
        nowMillis.addAndGet(CONTROL_TIMEOUT_MILLIS + 1)
        client.sendHeartbeatNow()
        link.closed.await()
        expectThat(nextConnection().first).isEqualTo(secondHost)
    }

    @Test
    fun `the client leaves a host that does not lead for the leader that it names`() = withControlHosts { link ->
        link.deliver(NotLeading(1, HostPort("127.0.0.1", 9)))
        expectThat(nextConnection().first).isEqualTo(HostPort("127.0.0.1", 9))
    }

    @Test
    fun `a commit is retried on the next link with the same command`() = withControlHosts { link ->
        val command = "finish r1".encodeToByteArray()
        runBlocking {
            val committed = async { client.commit(command, COMMIT_TIMEOUT_MILLIS) }
            expectThat(link.awaitSentOf<LedgerCall>().command).isEqualTo(command)
            link.close()
            val (_, nextLink) = nextConnection()
            val call = nextLink.awaitSentOf<LedgerCall>()
            expectThat(call.command).isEqualTo(command)
            nextLink.deliver(LedgerReply(call.call + 100, reply = byteArrayOf(8)))
            nextLink.deliver(LedgerReply(call.call, failure = ErrorKind.NotLeader.notRun()))
            val retry = nextLink.awaitSentOf<LedgerCall>()
            expectThat(retry.command).isEqualTo(command)
            nextLink.deliver(LedgerReply(retry.call, reply = byteArrayOf(9)))
            expectThat(committed.await().get()).isNotNull().isEqualTo(byteArrayOf(9))
        }
    }

    @Test
    fun `a commit without a reply fails, with MayHaveRun once it was sent`() = withControlHosts { link ->
        runBlocking {
            val committed = async { client.commit(ByteArray(1), timeoutMillis = 1) }
            val failure = committed.await().getError()
            expectThat(failure?.kind).isEqualTo(ErrorKind.ControlUnavailable)
            val sent = generateSequence { link.sentOrNull() }.any { it is LedgerCall }
            if (sent) expectThat(failure?.execution).isEqualTo(Execution.MayHaveRun)
        }
    }
}
