/*
 * The side of an entry or agent that talks to the control hosts: it finds the leading one, sends heartbeats, takes in
 * configurations and memberships, and commits ledger commands. A configuration is taken in only when its number is
 * higher than the one held, whichever way it comes.
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

/** Interval between two heartbeats, in milliseconds. */
public const val HEARTBEAT_INTERVAL_MILLIS: Long = 500

/** Time after which an unanswered heartbeat sends the holder to another control host, in milliseconds. */
public const val CONTROL_TIMEOUT_MILLIS: Long = 1_500

private const val RECONNECT_MILLIS = 100L

/** Connects a process to the control hosts. */
public interface ControlClient : AutoCloseable {
    /** Configuration in force, as far as this process knows. */
    public val configuration: Configuration

    /** Lease under which this process places new work. */
    public val lease: Lease

    /** Begins to look for the leading control host. */
    public fun start()

    /** Sends a heartbeat now instead of at the next interval, for news that should not wait. */
    public fun sendHeartbeatNow()

    /**
     * Commits a ledger [command], trying again until [timeoutMillis] have passed; the command must be idempotent. Fails
     * with `ControlUnavailable`, which says `MayHaveRun` once the command may have reached a control host.
     */
    public suspend fun commit(
        command: ByteArray,
        timeoutMillis: Long,
    ): Result<ByteArray, Failure>
}

/**
 * Holds what the client needs from the process around it.
 *
 * @property announcement what an agent tells of its upstream; null for an entry
 * @property suspects what an agent holds against requests; null for an entry
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

/** Creates a client of the control hosts at [addresses]; it does nothing until it is started. */
public fun ControlClient(
    addresses: List<HostPort>,
    ports: ControlClientPorts,
): ControlClient = ReconnectingControlClient(addresses, ports)

private class ReconnectingControlClient(
    private val addresses: List<HostPort>,
    private val ports: ControlClientPorts,
) : ControlClient {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val held = AtomicReference(Configuration())
    private val renewable = RenewableLease(ports.nowMillis)
    private val current = AtomicReference<ControlSession?>(null)
    private val calls = AtomicLong()

    @Volatile
    private var membershipNumber = 0L

    override val configuration: Configuration get() = held.get()
    override val lease: Lease get() = renewable

    override fun start() {
        scope.launch { stayConnected() }
    }

    private suspend fun stayConnected() {
        var next = 0
        var hint: HostPort? = null
        while (scope.isActive) {
            val address = hint ?: addresses[next++ % addresses.size]
            hint = ports.connect(address).mapOrNull { link -> link.use { serve(it) } }
            if (hint == null) delay(RECONNECT_MILLIS)
        }
    }

    private suspend fun serve(link: Link): HostPort? = coroutineScope {
        val session = ControlSession(link, ports.nowMillis)
        val beating = launch { beat(session) }
        current.set(session)
        try {
            receiveAll(session)
        } finally {
            current.compareAndSet(session, null)
            session.fail()
            beating.cancel()
        }
    }

    /** Takes in messages until the link closes; returns the leader's address when this host does not lead. */
    private suspend fun receiveAll(session: ControlSession): HostPort? {
        while (true) {
            when (val message = session.link.receive() ?: return null) {
                is LeaseGrant -> grant(session, message)
                is ConfigurationPush -> accept(message.configuration)
                is LedgerReply -> session.complete(message)
                is NotLeading -> return message.leader
                else ->
                    logger.warn {
                        "ignored an unexpected ${message::class.simpleName} from ${session.link.peer.node}"
                    }
            }
        }
    }

    private fun grant(
        session: ControlSession,
        message: LeaseGrant,
    ) {
        val sentAtMillis = session.answered(message.sequence) ?: return
        message.configuration?.let(::accept)
        message.membership?.let { membership ->
            membershipNumber = membership.number
            ports.onMembership(membership)
        }
        message.suspects.forEach(ports.onSuspects)
        // A grant speaks for the configuration it names; without that one the holder would place work on an older one.
        if (configuration.number < message.configurationNumber) return
        renewable.renew(sentAtMillis, message.durationMillis)
    }

    private fun accept(configuration: Configuration) {
        val accepted = held.updateAndGet { if (configuration.number > it.number) configuration else it }
        if (accepted === configuration) ports.onConfiguration(configuration)
    }

    private suspend fun beat(session: ControlSession) {
        while (true) {
            if (session.silentMillis() > CONTROL_TIMEOUT_MILLIS) {
                logger.warn {
                    "expected a lease from ${session.link.peer.node} within $CONTROL_TIMEOUT_MILLIS ms, trying others"
                }
                session.link.close()
                return
            }
            session.link.send(heartbeat(session))
            withTimeoutOrNull(HEARTBEAT_INTERVAL_MILLIS) { session.hurried.receive() }
        }
    }

    private fun heartbeat(session: ControlSession) = Heartbeat(
        sequence = session.sent(),
        configurationNumber = configuration.number,
        announcement = ports.announcement(),
        membershipNumber = session.membershipNumber(membershipNumber),
        suspects = ports.suspects()?.let(session::ifNews),
    )

    override fun sendHeartbeatNow() {
        current.get()?.hurried?.trySend(Unit)
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
                    if (answer == null) delay(RECONNECT_MILLIS)
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
            current.get()?.let { return it }
            delay(RECONNECT_MILLIS)
        }
    }

    private suspend fun call(
        session: ControlSession,
        command: ByteArray,
    ): ByteArray? {
        val id = calls.incrementAndGet()
        val waiting = session.await(id)
        if (!session.link.send(LedgerCall(id, command))) return null
        return waiting.await()
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
