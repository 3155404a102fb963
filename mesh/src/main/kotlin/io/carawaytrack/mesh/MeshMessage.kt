/*
 * The messages between the hosts of a fleet, as CBOR. Every link begins with a [MeshMessage.Hello] from both sides;
 * after it each side sends a pulse at a fixed interval, which also shows whether the other side has newer state.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package io.carawaytrack.mesh

import io.carawaytrack.consensus.decodeOrNull
import io.carawaytrack.fleet.Departure
import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.FleetView
import io.carawaytrack.fleet.RolloutTally
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
 * @property address where it accepts links
 * @property core whether it has a disk and so keeps a copy of the agreed state
 */
@Serializable
public data class PeerCard(
    val address: HostPort,
    val zone: ZoneName,
    val core: Boolean,
)

/** Carries an upstream's announcement, made [ageMillis] before the message was sent. */
@Serializable
internal data class RelayedUpstream(
    val upstream: FleetUpstream,
    val ageMillis: Long,
)

@Serializable
internal sealed interface MeshMessage {
    /** Opens a link; [cores] are the hosts with a disk that the sender knows. */
    @Serializable
    @SerialName("h")
    class Hello(
        val self: PeerCard,
        val cores: List<PeerCard>,
    ) : MeshMessage

    /**
     * Shows that the sender is alive.
     *
     * @property viewIndex log index of its view of the agreed state
     * @property leader the replica that it follows, in [term]
     * @property hosts hosts that it counts, itself included
     * @property lowestCore the lowest address of a host with a disk that it knows, while a first group is formed
     */
    @Serializable
    @SerialName("p")
    class Pulse(
        val viewIndex: Long,
        val leader: NodeId?,
        val term: Long,
        val hosts: Int,
        val lowestCore: HostPort? = null,
    ) : MeshMessage

    /** Names hosts with a disk. */
    @Serializable
    @SerialName("c")
    class Cores(
        val cores: List<PeerCard>,
    ) : MeshMessage

    /** Passes announcements and departures on; the receiver passes them on in turn when [relay] is set. */
    @Serializable
    @SerialName("u")
    class Upstreams(
        val upstreams: List<RelayedUpstream>,
        val departures: List<Departure> = emptyList(),
        val relay: Boolean = false,
    ) : MeshMessage

    /** Asks for a view newer than [haveIndex]. */
    @Serializable
    @SerialName("q")
    class ViewRequest(
        val haveIndex: Long,
    ) : MeshMessage

    @Serializable
    @SerialName("v")
    class View(
        val view: FleetView,
    ) : MeshMessage

    /** Carries a message of the replicated log. */
    @Serializable
    @SerialName("r")
    class Replication(
        val from: NodeId,
        val to: NodeId,
        @ByteString val payload: ByteArray,
    ) : MeshMessage

    /** Asks the leader to take the replica [node] into the group; [fresh] while it holds nothing of any log. */
    @Serializable
    @SerialName("j")
    class Join(
        val node: NodeId,
        val fresh: Boolean,
    ) : MeshMessage

    /** Tells the replica [node] that the group has removed it; it may come back under another identity. */
    @Serializable
    @SerialName("x")
    class Removed(
        val node: NodeId,
    ) : MeshMessage

    /** Tells the leader what the sender has seen of the roll-outs so far. */
    @Serializable
    @SerialName("t")
    class Tallies(
        val tallies: List<RolloutTally>,
    ) : MeshMessage
}

private val meshCbor =
    Cbor {
        ignoreUnknownKeys = true
        alwaysUseByteString = true
    }

internal fun MeshMessage.encode(): ByteArray = meshCbor.encodeToByteArray(this)

/** Returns the message in [bytes], or null when another version may have written it. */
internal fun decodeMeshMessage(bytes: ByteArray): MeshMessage? =
    decodeOrNull { meshCbor.decodeFromByteArray<MeshMessage>(bytes) }
