/*
 * The replicated state of the fleet: the operator's document in force, the roll-outs, and the availability zones that
 * are out of service. Commands go through the replicated log; every host that applies them publishes the same views in
 * the same order.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package io.carawaytrack.fleet

import io.carawaytrack.consensus.StateMachine
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.ZoneName
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Phase of a roll-out. */
@Serializable
public enum class FleetRolloutPhase { Running, Completed, RolledBack }

/**
 * Describes the roll-out of the version [target] to a pool.
 *
 * @property id log index of the command that began the roll-out; higher for a later roll-out of the same pool
 * @property durationMillis time within which the roll-out is completed or rolled back
 * @property beganAtMillis start time on the leader's clock; used only for display and after a restart
 */
@Serializable
public data class FleetRollout(
    val pool: PoolName,
    val target: String,
    @SerialName("order") val id: Long,
    val durationMillis: Long,
    @SerialName("orderedAtMillis") val beganAtMillis: Long,
    val phase: FleetRolloutPhase,
)

/** Command that changes the replicated state. */
@Serializable
public sealed interface FleetCommand {
    /** Puts [document] in force if its version is higher than the one in force. */
    @Serializable
    @SerialName("d")
    public class Replace(
        public val version: Long,
        @ByteString public val document: ByteArray,
    ) : FleetCommand

    /** Begins a roll-out, unless the newest roll-out of the pool already has the same target. */
    @Serializable
    @SerialName("b")
    public data class Begin(
        val pool: PoolName,
        val target: String,
        val durationMillis: Long,
        val atMillis: Long,
    ) : FleetCommand

    /** Ends the roll-out [rolloutId], unless it has already ended or a later one has begun. */
    @Serializable
    @SerialName("e")
    public data class End(
        val pool: PoolName,
        @SerialName("order") val rolloutId: Long,
        val phase: FleetRolloutPhase,
    ) : FleetCommand

    /** Takes a zone out of service or puts it back into service. */
    @Serializable
    @SerialName("z")
    public data class SetZone(
        val zone: ZoneName,
        val out: Boolean,
    ) : FleetCommand

    /** Grants the duties to the process [incarnation] of [holder], unless it already holds them. */
    @Serializable
    @SerialName("a")
    public data class AcquireDuties(
        val holder: String,
        val incarnation: Long,
    ) : FleetCommand

    /**
     * Fixes the counts of [window] if [token] is that of the current grant and no window as new as this one is fixed;
     * records with it that windows up to [deliveredThrough] need not be reported again.
     */
    @Serializable
    @SerialName("f")
    public data class FixUsage(
        val token: Long,
        val window: UsageWindow,
        val deliveredThrough: Long,
    ) : FleetCommand
}

/** Encodes this command for the replicated log. */
public fun FleetCommand.encode(): ByteArray = fleetCbor.encodeToByteArray(this)

/**
 * Snapshot of the replicated state after the log entry [index].
 *
 * @property version version of [document]; zero while there is none
 * @property document the operator's document, compressed, as it was accepted
 * @property zonesOut zones that are out of service
 * @property dutyGrant newest grant of the exclusive duties; null before the first one
 * @property usage newest fixed usage windows, in ascending order
 * @property usageDeliveredThrough newest usage window up to which reports need not be sent again; zero if unknown
 */
@Serializable
public class FleetView(
    public val index: Long = 0,
    public val version: Long = 0,
    @ByteString public val document: ByteArray = ByteArray(0),
    public val rollouts: List<FleetRollout> = emptyList(),
    public val zonesOut: Set<ZoneName> = emptySet(),
    public val dutyGrant: DutyGrant? = null,
    public val usage: List<UsageWindow> = emptyList(),
    public val usageDeliveredThrough: Long = 0,
) {
    /** Newest fixed usage window; zero if none is fixed. */
    public val usageFixedThrough: Long get() = usage.lastOrNull()?.windowId ?: 0

    /** Returns the newest roll-out of [pool], or null if there has been none. */
    public fun rolloutOf(pool: PoolName): FleetRollout? = rollouts.firstOrNull { it.pool == pool }
}

private val fleetCbor = Cbor { ignoreUnknownKeys = true }

/** Applies commands and passes each new view to [publish] on the replica's thread. */
public class FleetState(
    private val publish: (FleetView) -> Unit,
) : StateMachine {
    @Volatile
    private var view = FleetView()

    override fun apply(
        index: Long,
        command: ByteArray,
    ): ByteArray {
        val next = view.after(index, fleetCbor.decodeFromByteArray<FleetCommand>(command))
        if (next != null) {
            view = next
            publish(next)
        }
        return ByteArray(0)
    }

    override fun snapshot(): ByteArray = fleetCbor.encodeToByteArray(view)

    override fun restore(snapshot: ByteArray) {
        view = fleetCbor.decodeFromByteArray(snapshot)
        publish(view)
    }
}

/** Returns the view after [command] at [index], or null if the command has no effect. */
internal fun FleetView.after(
    index: Long,
    command: FleetCommand,
): FleetView? = when (command) {
    is FleetCommand.Replace ->
        if (command.version <= version) null else with(index, version = command.version, document = command.document)
    is FleetCommand.Begin -> begin(index, command)
    is FleetCommand.End -> end(index, command)
    is FleetCommand.SetZone -> setZone(index, command)
    is FleetCommand.AcquireDuties -> acquireDuties(index, command)
    is FleetCommand.FixUsage -> fixUsage(index, command)
}

private fun FleetView.begin(
    index: Long,
    command: FleetCommand.Begin,
): FleetView? {
    if (rolloutOf(command.pool)?.target == command.target) return null
    val begun =
        FleetRollout(
            pool = command.pool,
            target = command.target,
            id = index,
            durationMillis = command.durationMillis,
            beganAtMillis = command.atMillis,
            phase = FleetRolloutPhase.Running,
        )
    return with(index, rollouts = rollouts.filter { it.pool != command.pool } + begun)
}

private fun FleetView.end(
    index: Long,
    command: FleetCommand.End,
): FleetView? {
    val running = rolloutOf(command.pool)?.takeIf { it.id == command.rolloutId } ?: return null
    if (running.phase != FleetRolloutPhase.Running) return null
    return with(index, rollouts = rollouts - running + running.copy(phase = command.phase))
}

private fun FleetView.setZone(
    index: Long,
    command: FleetCommand.SetZone,
): FleetView? {
    val next = if (command.out) zonesOut + command.zone else zonesOut - command.zone
    return if (next == zonesOut) null else with(index, zonesOut = next)
}

internal fun FleetView.with(
    index: Long,
    version: Long = this.version,
    document: ByteArray = this.document,
    rollouts: List<FleetRollout> = this.rollouts,
    zonesOut: Set<ZoneName> = this.zonesOut,
    dutyGrant: DutyGrant? = this.dutyGrant,
    usage: List<UsageWindow> = this.usage,
    usageDeliveredThrough: Long = this.usageDeliveredThrough,
) = FleetView(index, version, document, rollouts, zonesOut, dutyGrant, usage, usageDeliveredThrough)
