/*
 * What the upstreams have said of themselves. Announcements reach a host directly or through other hosts, late, twice
 * and out of order; the registry keeps the newest for each upstream and tells an address's present holder from an
 * earlier one.
 */
package io.carawaytrack.fleet

import io.carawaytrack.model.HostPort
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.ZoneName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Silence after which an upstream is forgotten, in milliseconds: over ten announcements at the platform's rate. */
public const val UPSTREAM_EXPIRY_MILLIS: Long = 30_000

/** Departures kept, so that an announcement which was overtaken on its way revives nobody. */
private const val KEPT_DEPARTURES = 1_024

/**
 * Announces an upstream.
 *
 * @property version version of the software that it runs
 * @property slots requests that it works on at once
 * @property draining whether it will stop soon and takes no new work
 * @property coldMillis time for which it stays cold, counted from the announcement
 * @property sequence rises with each announcement of one start
 * @property startedAtMillis moment of its start on its own clock; tells two starts under one identifier apart
 */
@Serializable
public data class FleetUpstream(
    val id: UpstreamId,
    val pool: PoolName,
    val address: HostPort,
    val zone: ZoneName,
    val version: String,
    val slots: Int,
    @SerialName("leaving") val draining: Boolean,
    val coldMillis: Long,
    val sequence: Long,
    val startedAtMillis: Long,
) {
    /** Returns whether this was said after [other] by the same upstream. */
    public fun isNewerThan(other: FleetUpstream): Boolean =
        compareValuesBy(this, other, FleetUpstream::startedAtMillis, FleetUpstream::sequence) > 0
}

/** Tells that the start [startedAtMillis] of an upstream has signed off; null stands for any start. */
@Serializable
public data class Deregistration(
    val id: UpstreamId,
    val startedAtMillis: Long?,
)

/**
 * Holds an upstream's newest announcement.
 *
 * @property announcedAtMillis when it was made, on this host's clock
 */
public data class KnownUpstream(
    val upstream: FleetUpstream,
    val announcedAtMillis: Long,
) {
    /** Returns the moment until which the upstream is cold. */
    public val coldUntilMillis: Long get() = announcedAtMillis + upstream.coldMillis
}

/** Says what an announcement changed. */
public enum class RegistryUpdate {
    /** Nothing: an older or repeated announcement. */
    Ignored,

    /** Only the time at which the upstream was last heard. */
    Refreshed,

    /** Something that decides where requests go. */
    Changed,
}

/** Keeps the newest announcement of each upstream; not safe for use by several threads. */
public interface UpstreamRegistry {
    /** All upstreams that have not signed off or fallen silent for long. */
    public val upstreams: Collection<KnownUpstream>

    /** Returns the upstream [id], or null when it is not among [upstreams]. */
    public fun find(id: UpstreamId): KnownUpstream?

    /** Takes in [announced], made [ageMillis] ago. */
    public fun record(
        announced: FleetUpstream,
        ageMillis: Long = 0,
    ): RegistryUpdate

    /** Takes in that an upstream has signed off; returns whether that was news. */
    public fun deregister(departure: Deregistration): Boolean

    /** Drops upstreams that have been silent for [UPSTREAM_EXPIRY_MILLIS] and returns them. */
    public fun evictExpired(): List<KnownUpstream>
}

/** Creates an empty registry. */
public fun UpstreamRegistry(nowMillis: () -> Long): UpstreamRegistry = NewestAnnouncements(nowMillis)

private class NewestAnnouncements(
    private val nowMillis: () -> Long,
) : UpstreamRegistry {
    private val known = LinkedHashMap<UpstreamId, KnownUpstream>()
    private val byAddress = HashMap<HostPort, UpstreamId>()
    private val departed = LinkedHashMap<UpstreamId, Long>()

    override val upstreams: Collection<KnownUpstream> get() = known.values

    override fun find(id: UpstreamId): KnownUpstream? = known[id]

    override fun record(
        announced: FleetUpstream,
        ageMillis: Long,
    ): RegistryUpdate {
        if (hasLeft(announced) || isOvertaken(announced)) return RegistryUpdate.Ignored
        val before = known[announced.id]
        if (before != null && !announced.isNewerThan(before.upstream)) return RegistryUpdate.Ignored
        take(announced, ageMillis)
        return if (before != null && before.upstream.decidesLike(announced)) {
            RegistryUpdate.Refreshed
        } else {
            RegistryUpdate.Changed
        }
    }

    override fun deregister(departure: Deregistration): Boolean {
        val present = known[departure.id]
        val startedAtMillis = departure.startedAtMillis ?: present?.upstream?.startedAtMillis ?: return false
        if (startedAtMillis <= (departed[departure.id] ?: Long.MIN_VALUE)) return false
        departed.remove(departure.id)
        departed[departure.id] = startedAtMillis
        while (departed.size > KEPT_DEPARTURES) departed.remove(departed.keys.first())
        if (present != null && present.upstream.startedAtMillis <= startedAtMillis) remove(present.upstream)
        return true
    }

    override fun evictExpired(): List<KnownUpstream> {
        val oldestMillis = nowMillis() - UPSTREAM_EXPIRY_MILLIS
        val silent = known.values.filter { it.announcedAtMillis < oldestMillis }
        silent.forEach { remove(it.upstream) }
        return silent
    }

    private fun hasLeft(announced: FleetUpstream) =
        announced.startedAtMillis <= (departed[announced.id] ?: Long.MIN_VALUE)

    /** Returns whether a later start of another upstream holds the address. */
    private fun isOvertaken(announced: FleetUpstream): Boolean {
        val holder = byAddress[announced.address]?.let(known::get)?.upstream ?: return false
        return holder.id != announced.id && holder.startedAtMillis > announced.startedAtMillis
    }

    private fun take(
        announced: FleetUpstream,
        ageMillis: Long,
    ) {
        val holder = byAddress[announced.address]
        if (holder != null && holder != announced.id) known.remove(holder)
        known[announced.id]?.let { if (it.upstream.address != announced.address) byAddress -= it.upstream.address }
        known[announced.id] = KnownUpstream(announced, nowMillis() - ageMillis)
        byAddress[announced.address] = announced.id
    }

    private fun remove(upstream: FleetUpstream) {
        known -= upstream.id
        byAddress.remove(upstream.address, upstream.id)
    }
}

private fun FleetUpstream.decidesLike(other: FleetUpstream): Boolean = (coldMillis > 0) == (other.coldMillis > 0) &&
    copy(sequence = 0, coldMillis = 0) == other.copy(sequence = 0, coldMillis = 0)
