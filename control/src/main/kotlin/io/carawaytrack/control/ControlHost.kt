/*
 * Assembles the components of a control host and runs them from start to graceful shutdown.
 */
package io.carawaytrack.control

import com.github.michaelbull.result.getOrElse
import io.carawaytrack.consensus.GroupReplica
import io.carawaytrack.consensus.ReplicaGroup
import io.carawaytrack.consensus.ReplicaStatus
import io.carawaytrack.consensus.openReplica
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.process.monotonicMillis
import io.carawaytrack.process.openTelemetry
import io.carawaytrack.telemetry.ControlMetrics
import io.carawaytrack.telemetry.ControlSources
import io.carawaytrack.telemetry.LedgerStatus
import io.carawaytrack.telemetry.LogStatus
import io.carawaytrack.telemetry.ObservabilityServer
import io.carawaytrack.wire.LinkHub
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import java.security.SecureRandom
import kotlin.random.Random
import kotlin.system.exitProcess

private val logger = KotlinLogging.logger {}

/** Exit code of a control host whose data folder is unusable. */
internal const val STORAGE_EXIT_CODE = 3

internal class ControlHost(
    private val settings: ControlSettings,
) {
    private val process = settings.process
    private val telemetry = process.openTelemetry(NodeRole.Control)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val hub = LinkHub(process.identity(NodeRole.Control), process.sharedSecret(), ::monotonicMillis)
    private val registry = HolderRegistry(::monotonicMillis)
    private val peers = Peers(hub, scope, process.node)
    private val state = ControlState(onConfiguration = { service?.push(it) }, onMembers = ::connectPeers)

    // Null until the replica is open. No holder is connected before then, so recovered configurations are not pushed.
    @Volatile
    private var service: HolderService? = null

    suspend fun run(awaitStop: suspend () -> Unit) {
        connectPeers(emptyMap())
        openReplica().use { replica ->
            val metrics = ControlMetrics(telemetry.registry, sources(replica))
            val holderService = HolderService(replica, state, registry, ::memberAddresses, metrics)
            service = holderService
            hub.listen(settings.linkAddress, holderService::serve)
            serve(replica, metrics, awaitStop)
        }
        hub.drain()
        hub.close()
        scope.cancel()
        telemetry.close()
    }

    private suspend fun serve(
        replica: GroupReplica,
        metrics: ControlMetrics,
        awaitStop: suspend () -> Unit,
    ) {
        val expiry = Expiry(replica, state, settings.retentionMillis, System::currentTimeMillis)
        scope.launch { expiry.run() }
        val api = AdministrationApi(replica, state, registry, settings.operators, metrics, System::currentTimeMillis)
        val server = api.start(settings.adminAddress)
        val ready = { replica.status().leader != null }
        ObservabilityServer(process.observability, telemetry.registry, ready).use {
            logger.info { "control host ${process.node} listens on ${settings.linkAddress}" }
            awaitStop()
        }
        server.stop()
    }

    /** Returns the addresses from the settings and those of members that have joined since. */
    private fun memberAddresses(): Map<NodeId, HostPort> = settings.members + state.memberAddresses

    private fun connectPeers(joined: Map<NodeId, HostPort>): Unit = peers.connect(settings.members + joined)

    private fun sources(replica: GroupReplica) = ControlSources(
        log = { replica.status().toLogStatus() },
        ledger = ::ledgerStatus,
        configurationNumber = { state.configuration.number },
        holders = registry::statuses,
        upstreams = registry::announcements,
    )

    private fun ledgerStatus(): LedgerStatus {
        val size = state.ledger.size()
        return LedgerStatus(openIntents = size.openRequests.toLong(), sessions = size.sessions.toLong())
    }

    private fun openReplica(): GroupReplica {
        val disk = openFolder(settings).getOrElse { exitWith(it.detail) }
        val members: List<NodeId> = if (settings.joining) emptyList() else settings.members.keys.toList()
        return openReplica(
            group = ReplicaGroup(settings.clusterId, process.node, members),
            disk = disk,
            stateMachine = state,
            send = peers::send,
            nowMillis = ::monotonicMillis,
            random = Random(SecureRandom().nextLong()),
            onHalt = ::handleHalt,
        ).getOrElse { exitWith(it.detail) }
    }

    /** Ends the process when the replica can no longer persist what it acknowledges; the platform restarts it. */
    private fun handleHalt(failure: Failure) {
        if (failure.kind == ErrorKind.ShuttingDown) return
        System.err.println(failure.detail)
        // An orderly exit would deadlock, since it waits for the thread that runs this function.
        Runtime.getRuntime().halt(STORAGE_EXIT_CODE)
    }

    private fun exitWith(detail: String): Nothing {
        System.err.println(detail)
        exitProcess(STORAGE_EXIT_CODE)
    }
}

private fun ReplicaStatus.toLogStatus() =
    LogStatus(leading, term, lastIndex = commitIndex, commitIndex = commitIndex, appliedIndex = appliedIndex)
