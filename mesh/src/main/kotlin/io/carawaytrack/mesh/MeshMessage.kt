/*
 * Messages between the hosts of a fleet, encoded as CBOR. Both sides of a link first send a [MeshMessage.Hello], then
 * heartbeats at a fixed interval, which also show whether the other side has newer state.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package io.carawaytrack.mesh

import io.carawaytrack.consensus.decodeOrNull
import io.carawaytrack.fleet.CrashReport
import io.carawaytrack.fleet.Deregistration
import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.FleetView
import io.carawaytrack.fleet.RolloutTally
import io.carawaytrack.fleet.UpstreamLoad
import io.carawaytrack.fleet.UsageWindow
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.ZoneName
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/**
 * Describes a host to its peers.
 *
 * @property address address on which it accepts links
 * @property core whether it has a disk and therefore keeps a copy of the replicated state
 */
@Serializable
public data class PeerInfo(
    val address: HostPort,
    val zone: ZoneName,
    val core: Boolean,
)

/** Announcement of an upstream, made [ageMillis] before the message was sent. */
@Serializable
internal data class RelayedUpstream(
    val upstream: FleetUpstream,
    val ageMillis: Long,
)

@Serializable
internal sealed interface MeshMessage {
    /** First message on a link; [cores] are the hosts with a disk that the sender knows. */
    @Serializable
    @SerialName("h")
    class Hello(
        val self: PeerInfo,
        val cores: List<PeerInfo>,
    ) : MeshMessage

    /**
     * Shows that the sender is alive.
     *
     * @property viewIndex log index of its view of the replicated state
     * @property leader replica that it follows in [term]
     * @property hostCount number of hosts that it knows, including itself
     * @property lowestCore lowest address of a host with a disk that it knows; only set while the first group forms
     * @property wallMillis time on its wall clock; only set if duties are on
     * @property agreedMillis median of the wall clocks that it knows; only set by a host with a disk, if duties are on
     */
    @Serializable
    @SerialName("p")
    class Heartbeat(
        val viewIndex: Long,
        val leader: NodeId?,
        val term: Long,
        @SerialName("hosts") val hostCount: Int,
        val lowestCore: HostPort? = null,
        val wallMillis: Long? = null,
        val agreedMillis: Long? = null,
    ) : MeshMessage

    /** Newly discovered hosts with a disk. */
    @Serializable
    @SerialName("c")
    class Cores(
        val cores: List<PeerInfo>,
    ) : MeshMessage

    /** Message about upstreams that is passed on to all hosts. */
    @Serializable
    sealed interface Disseminated : MeshMessage

    /** Announcements and deregistrations of upstreams; the receiver forwards them to its peers if [relay] is set. */
    @Serializable
    @SerialName("u")
    class Upstreams(
        val upstreams: List<RelayedUpstream>,
        @SerialName("departures") val deregistrations: List<Deregistration> = emptyList(),
        val relay: Boolean = false,
    ) : Disseminated {
        val isEmpty: Boolean get() = upstreams.isEmpty() && deregistrations.isEmpty()
    }

    /** Load reports of upstreams; the receiver forwards them to its peers if [relay] is set. */
    @Serializable
    @SerialName("l")
    class Loads(
        val loads: List<UpstreamLoad>,
        val relay: Boolean = false,
    ) : MeshMessage

    /** Report of crashed upstreams; the receiver forwards it to its peers if [relay] is set. */
    @Serializable
    @SerialName("k")
    class Crashes(
        val report: CrashReport,
        val relay: Boolean = false,
    ) : Disseminated

    /** Requests a view newer than [haveIndex]. */
    @Serializable
    @SerialName("q")
    class ViewRequest(
        val haveIndex: Long,
    ) : MeshMessage

    /** The sender's [view]; [rolloutElapsedMillis] holds the time since each roll-out in it began. */
    @Serializable
    @SerialName("v")
    class View(
        val view: FleetView,
        val rolloutElapsedMillis: Map<Long, Long> = emptyMap(),
    ) : MeshMessage

    /** Message of the replicated log. */
    @Serializable
    @SerialName("r")
    class Replication(
        val from: NodeId,
        val to: NodeId,
        @ByteString val payload: ByteArray,
    ) : MeshMessage

    /** Requests the leader to add the replica [node] to the group; [fresh] while its log is empty. */
    @Serializable
    @SerialName("j")
    class Join(
        val node: NodeId,
        val fresh: Boolean,
    ) : MeshMessage

    /** Notifies the replica [node] of its removal from the group; it may rejoin under another identity. */
    @Serializable
    @SerialName("x")
    class Removed(
        val node: NodeId,
    ) : MeshMessage

    /** Reports the sender's tallies of the roll-outs to the leader. */
    @Serializable
    @SerialName("t")
    class Tallies(
        val tallies: List<RolloutTally>,
    ) : MeshMessage

    /**
     * Requests that have begun to run at the sender, by window; only sent if duties are on.
     *
     * @property incarnation start of the sender's process; the counts are cumulative within it
     */
    @Serializable
    @SerialName("w")
    class Usage(
        val incarnation: Long,
        val windows: List<UsageWindow>,
    ) : MeshMessage
}

private val meshCbor =
    Cbor {
        ignoreUnknownKeys = true
        alwaysUseByteString = true
    }

internal fun MeshMessage.encode(): ByteArray = meshCbor.encodeToByteArray(this)

/** Returns the message in [bytes], or null if it cannot be decoded, as another version may have encoded it. */
internal fun decodeMeshMessage(bytes: ByteArray): MeshMessage? =
    decodeOrNull { meshCbor.decodeFromByteArray<MeshMessage>(bytes) }
