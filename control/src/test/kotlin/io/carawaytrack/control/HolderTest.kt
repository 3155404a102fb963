/*
 * Tests leases and membership on the leading control host, with a fake replica and a manual clock.
 */
package io.carawaytrack.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.carawaytrack.consensus.Replica
import io.carawaytrack.consensus.ReplicaStatus
import io.carawaytrack.fakes.FakeLink
import io.carawaytrack.fakes.testPeer
import io.carawaytrack.model.Announcement
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.LEASE_MILLIS
import io.carawaytrack.model.Membership
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.model.ZoneName
import io.carawaytrack.model.notRun
import io.carawaytrack.telemetry.ControlMetrics
import io.carawaytrack.wire.Heartbeat
import io.carawaytrack.wire.LeaseGrant
import io.carawaytrack.wire.NotLeading
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

private val upstream = UpstreamId("engine-1")

private class FakeReplica(
    var leading: Boolean,
) : Replica {
    override suspend fun propose(command: ByteArray): Result<ByteArray, Failure> = Err(ErrorKind.NotLeader.notRun())

    override suspend fun confirmLeadership(): Result<Unit, Failure> =
        if (leading) Ok(Unit) else Err(ErrorKind.NotLeader.notRun())

    override fun receive(
        from: NodeId,
        payload: ByteArray,
    ) = Unit

    // A partitioned host still assumes that it leads.
    override fun status() = ReplicaStatus(NodeId("c1"), NodeId("c2"), 1, 1, 1)

    override fun close() = Unit
}

class HolderTest {
    private var nowMillis = 10_000L
    private val registry = HolderRegistry { nowMillis }

    private fun announce(
        incarnation: Long = 1,
        leaving: Boolean = false,
        running: Int = 0,
    ) = registry.recordHeartbeat(
        testPeer("agent-1", NodeRole.Agent),
        Heartbeat(
            sequence = 1,
            configurationNumber = 0,
            announcement =
                Announcement(
                    upstream,
                    ZoneName("z1"),
                    "127.0.0.1",
                    1,
                    incarnation,
                    emptyList(),
                    UpstreamLoad(1, running),
                    leaving,
                ),
        ),
    )

    private fun Membership?.upstreamIds() = this?.upstreams?.map(Announcement::upstream)

    @Test
    fun `an upstream without heartbeats is removed after two seconds and returns with the next one`() {
        registry.setLeading(leading = true)
        announce()
        val lastNumber = registry.membershipSince(0)!!.number
        nowMillis += UPSTREAM_TIMEOUT_MILLIS
        expectThat(registry.membershipSince(lastNumber)).isNull()
        nowMillis += 1
        val afterExpiry = registry.membershipSince(lastNumber)
        expectThat(afterExpiry?.removed).isEqualTo(listOf(upstream))
        expectThat(registry.announcements()).isEmpty()
        announce()
        expectThat(registry.membershipSince(afterExpiry!!.number).upstreamIds()).isEqualTo(listOf(upstream))
    }

    @Test
    fun `an announced shutdown is reported and cannot be revoked by an earlier incarnation`() {
        registry.setLeading(leading = true)
        announce(incarnation = 2)
        val lastNumber = registry.membershipSince(0)!!.number
        announce(incarnation = 2, leaving = true)
        expectThat(
            registry
                .membershipSince(lastNumber)!!
                .upstreams
                .single()
                .leaving,
        ).isTrue()
        announce(incarnation = 1)
        expectThat(registry.announcements().single()) {
            get { leaving }.isTrue()
            get { incarnation }.isEqualTo(2)
        }
        announce(incarnation = 3)
        expectThat(registry.announcements().single().leaving).isFalse()
    }

    @Test
    fun `a new leader sends a complete list only after every agent had time for a heartbeat`() {
        registry.setLeading(leading = true)
        expectThat(registry.membershipSince(0)!!.complete).isFalse()
        nowMillis += UPSTREAM_TIMEOUT_MILLIS
        announce()
        expectThat(registry.membershipSince(0)!!.complete).isFalse()
        nowMillis += 1
        expectThat(registry.membershipSince(0)) {
            get { this?.complete }.isEqualTo(true)
            get { upstreamIds() }.isEqualTo(listOf(upstream))
        }
        registry.setLeading(leading = false)
        registry.setLeading(leading = true)
        expectThat(registry.membershipSince(0)) {
            get { this?.complete }.isEqualTo(false)
            get { upstreamIds() }.isEqualTo(emptyList())
        }
    }

    @Test
    fun `a lease is granted only after a quorum confirms leadership`() = runTest {
        val replica = FakeReplica(leading = false)
        val leader = HostPort("127.0.0.1", 7)
        val members = { mapOf(NodeId("c2") to leader) }
        val metrics = ControlMetrics(PrometheusRegistry())
        val service = HolderService(replica, ControlState(), registry, members, metrics)
        val link = FakeLink(testPeer("entry-1", NodeRole.Entry))
        val serving = launch { service.serve(link) }
        link.deliver(Heartbeat(1, 0))
        expectThat(link.awaitSent()).isA<NotLeading>().get { this.leader }.isEqualTo(leader)
        expectThat(registry.statuses()).isEmpty()
        replica.leading = true
        link.deliver(Heartbeat(2, 0))
        expectThat(link.awaitSent()).isA<LeaseGrant>().and {
            get { sequence }.isEqualTo(2)
            get { durationMillis }.isEqualTo(LEASE_MILLIS)
            get { membership }.isNotNull()
        }
        expectThat(registry.statuses().map { it.node }).containsExactly(NodeId("entry-1"))
        serving.cancelAndJoin()
    }
}
