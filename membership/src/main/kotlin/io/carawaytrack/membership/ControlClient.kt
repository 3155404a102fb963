/*
 * Connects an entry or agent to the control hosts: finds the leader, sends heartbeats, receives configurations and
 * memberships, and commits ledger commands. A configuration replaces the current one only if its number is higher,
 * whether it arrives in a push or in a lease grant.
 */
package io.carawaytrack.membership

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.carawaytrack.model.Announcement
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.Membership
import io.carawaytrack.model.SuspectReport
import io.carawaytrack.model.notRun
import io.carawaytrack.wire.ConfigurationPush
import io.carawaytrack.wire.Heartbeat
import io.carawaytrack.wire.LeaseGrant
import io.carawaytrack.wire.LedgerCall
import io.carawaytrack.wire.LedgerReply
import io.carawaytrack.wire.Link
import io.carawaytrack.wire.NotLeading
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

private val logger = KotlinLogging.logger {}

/** Interval between heartbeats, in milliseconds. */
public const val HEARTBEAT_INTERVAL_MILLIS: Long = 500

/** Time without a lease grant after which the client connects to another control host, in milliseconds. */
public const val CONTROL_TIMEOUT_MILLIS: Long = 1_500

private const val RECONNECT_DELAY_MILLIS = 100L

/** Client of the control hosts. */
public interface ControlClient : AutoCloseable {
    /** Latest configuration that this process has received. */
    public val configuration: Configuration

    /** Lease that permits this process to place new work. */
    public val lease: Lease

    /** Starts connecting to the leading control host. */
    public fun start()

    /** Sends a heartbeat at once instead of at the next interval, for updates that should not be delayed. */
    public fun sendHeartbeatNow()

    /**
     * Commits a ledger [command], with retries until [timeoutMillis] have passed; the command must be idempotent. Fails
     * with `ControlUnavailable`, and with `MayHaveRun` once the command may have reached a control host.
     */
    public suspend fun commit(
        command: ByteArray,
        timeoutMillis: Long,
    ): Result<ByteArray, Failure>
}

/**
 * Connects a [ControlClient] to the process that it runs in.
 *
 * @property announcement returns an agent's announcement of its upstream, or null for an entry
 * @property suspects returns an agent's report of suspect requests, or null for an entry
 */
public data class ControlClientPorts(
    val connect: suspend (HostPort) -> Result<Link, Failure>,
    val nowMillis: () -> Long,
    val announcement: () -> Announcement? = { null },
    val suspects: () -> SuspectReport? = { null },
    val onConfiguration: (Configuration) -> Unit = {},
    val onMembership: (Membership) -> Unit = {},
    val onSuspects: (SuspectReport) -> Unit = {},
)

/** Creates a client of the control hosts at [addresses]. It connects once [ControlClient.start] is called. */
public fun ControlClient(
    addresses: List<HostPort>,
    ports: ControlClientPorts,
): ControlClient = ReconnectingControlClient(addresses, ports)

private class ReconnectingControlClient(
    private val addresses: List<HostPort>,
    private val ports: ControlClientPorts,
) : ControlClient {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val currentConfiguration = AtomicReference(Configuration())
    private val renewableLease = RenewableLease(ports.nowMillis)
    private val currentSession = AtomicReference<ControlSession?>(null)
    private val lastCallId = AtomicLong()

    @Volatile
    private var membershipNumber = 0L

    override val configuration: Configuration get() = currentConfiguration.get()
    override val lease: Lease get() = renewableLease

    override fun start() {
        scope.launch { stayConnected() }
    }

    private suspend fun stayConnected() {
        var next = 0
        var hint: HostPort? = null
        while (scope.isActive) {
            val address = hint ?: addresses[next++ % addresses.size]
            hint = ports.connect(address).mapOrNull { link -> link.use { serve(it) } }
            if (hint == null) delay(RECONNECT_DELAY_MILLIS)
        }
    }

    private suspend fun serve(link: Link): HostPort? = coroutineScope {
        val session = ControlSession(link, ports.nowMillis)
        val heartbeats = launch { sendHeartbeats(session) }
        currentSession.set(session)
        try {
            receiveAll(session)
        } finally {
            currentSession.compareAndSet(session, null)
            session.fail()
            heartbeats.cancel()
        }
    }

    /**
     * Handles messages until the link closes or the host reports that it does not lead. Returns the address of the
     * leader if the host has named one.
     */
    private suspend fun receiveAll(session: ControlSession): HostPort? {
        while (true) {
            when (val message = session.link.receive() ?: return null) {
                is LeaseGrant -> handleGrant(session, message)
                is ConfigurationPush -> updateConfiguration(message.configuration)
                is LedgerReply -> session.complete(message)
                is NotLeading -> return message.leader
                else ->
                    logger.warn {
                        "ignored unexpected ${message::class.simpleName} from ${session.link.peer.node}"
                    }
            }
        }
    }

    private fun handleGrant(
        session: ControlSession,
        message: LeaseGrant,
    ) {
        val sentAtMillis = session.completeHeartbeat(message.sequence) ?: return
        message.configuration?.let(::updateConfiguration)
        message.membership?.let { membership ->
            membershipNumber = membership.number
            ports.onMembership(membership)
        }
        message.suspects.forEach(ports.onSuspects)
        // A grant applies only to the configuration it names; without that, new work would use an older configuration.
        if (configuration.number < message.configurationNumber) return
        renewableLease.renew(sentAtMillis, message.durationMillis)
    }

    private fun updateConfiguration(configuration: Configuration) {
        val latest = currentConfiguration.updateAndGet { if (configuration.number > it.number) configuration else it }
        if (latest === configuration) ports.onConfiguration(configuration)
    }

    private suspend fun sendHeartbeats(session: ControlSession) {
        while (true) {
            if (session.millisSinceLastGrant() > CONTROL_TIMEOUT_MILLIS) {
                logger.warn {
                    "no lease grant from ${session.link.peer.node} within $CONTROL_TIMEOUT_MILLIS ms, " +
                        "connecting to another control host"
                }
                session.link.close()
                return
            }
            session.link.send(heartbeat(session))
            withTimeoutOrNull(HEARTBEAT_INTERVAL_MILLIS) { session.heartbeatRequests.receive() }
        }
    }

    private fun heartbeat(session: ControlSession) = Heartbeat(
        sequence = session.startHeartbeat(),
        configurationNumber = configuration.number,
        announcement = ports.announcement(),
        membershipNumber = session.membershipNumber(membershipNumber),
        suspects = ports.suspects()?.let(session::takeIfNew),
    )

    override fun sendHeartbeatNow() {
        currentSession.get()?.heartbeatRequests?.trySend(Unit)
    }

    override suspend fun commit(
        command: ByteArray,
        timeoutMillis: Long,
    ): Result<ByteArray, Failure> {
        var mayHaveRun = false
        val reply =
            withTimeoutOrNull(timeoutMillis) {
                var answer: ByteArray? = null
                while (answer == null) {
                    val session = awaitSession()
                    mayHaveRun = true
                    answer = call(session, command)
                    if (answer == null) delay(RECONNECT_DELAY_MILLIS)
                }
                answer
            }
        if (reply != null) return Ok(reply)
        val detail = "expected a control host to commit within $timeoutMillis ms"
        if (!mayHaveRun) return Err(ErrorKind.ControlUnavailable.notRun(detail))
        return Err(Failure(ErrorKind.ControlUnavailable, Execution.MayHaveRun, detail))
    }

    private suspend fun awaitSession(): ControlSession {
        while (true) {
            currentSession.get()?.let { return it }
            delay(RECONNECT_DELAY_MILLIS)
        }
    }

    private suspend fun call(
        session: ControlSession,
        command: ByteArray,
    ): ByteArray? {
        val id = lastCallId.incrementAndGet()
        val reply = session.registerCall(id)
        if (!session.link.send(LedgerCall(id, command))) return null
        return reply.await()
    }

    override fun close() {
        scope.cancel()
    }
}

private inline fun <V, R> Result<V, Failure>.mapOrNull(transform: (V) -> R?): R? {
    val value =
        getOrElse { failure ->
            logger.debug { failure.detail }
            return null
        }
    return transform(value)
}
