/*
 * Registry of the announced upstreams. Announcements reach a host directly or through other hosts, and may be delayed,
 * duplicated or reordered. The registry keeps the newest announcement of each upstream and distinguishes the current
 * owner of an address from an earlier one.
 */
package io.carawaytrack.fleet

import io.carawaytrack.model.HostPort
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.ZoneName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Time without an announcement after which an upstream is evicted: over ten announcements at the platform's rate. */
public const val UPSTREAM_EXPIRY_MILLIS: Long = 30_000

/** Number of deregistrations kept, so that a delayed announcement does not register a stopped upstream again. */
private const val MAX_DEREGISTRATIONS = 1_024

/**
 * Announcement of an upstream.
 *
 * @property version version of the software that it runs
 * @property slots maximum number of concurrent requests
 * @property draining whether it will stop soon and accepts no new requests
 * @property coldMillis time for which it stays cold, counted from the announcement
 * @property sequence increases with each announcement of the same start
 * @property startedAtMillis start time on its own clock; distinguishes two starts under the same identifier
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
    /** Returns whether the same upstream made this announcement after [other]. */
    public fun isNewerThan(other: FleetUpstream): Boolean =
        compareValuesBy(this, other, FleetUpstream::startedAtMillis, FleetUpstream::sequence) > 0
}

/** Deregistration of the start [startedAtMillis] of an upstream; null stands for the start that is known. */
@Serializable
public data class Deregistration(
    val id: UpstreamId,
    val startedAtMillis: Long?,
)

/**
 * Holds an upstream's newest announcement.
 *
 * @property announcedAtMillis time of the announcement on this host's clock
 */
public data class KnownUpstream(
    val upstream: FleetUpstream,
    val announcedAtMillis: Long,
) {
    /** Time until which the upstream is cold, on this host's clock. */
    public val coldUntilMillis: Long get() = announcedAtMillis + upstream.coldMillis
}

/** Describes the effect of an announcement on the registry. */
public enum class RegistryUpdate {
    /** The announcement is outdated or a duplicate. */
    Ignored,

    /** Only the time of the last announcement changed. */
    Refreshed,

    /** A property that affects routing changed. */
    Changed,
}

/** Keeps the newest announcement of each upstream; not thread-safe. */
public interface UpstreamRegistry {
    /** All upstreams that have neither deregistered nor expired. */
    public val upstreams: Collection<KnownUpstream>

    /** The newest deregistration of each upstream; the oldest ones are forgotten first. */
    public val deregistrations: List<Deregistration>

    /** Returns the upstream [id], or null when it is not among [upstreams]. */
    public fun find(id: UpstreamId): KnownUpstream?

    /** Records the announcement [announced], made [ageMillis] ago. */
    public fun record(
        announced: FleetUpstream,
        ageMillis: Long = 0,
    ): RegistryUpdate

    /**
     * Deregisters an upstream; returns whether the deregistration was not known yet. Without a start, it applies to the
     * start that is known or, if there is none, to one that was announced before the deregistration.
     */
    public fun deregister(deregistration: Deregistration): Boolean

    /** Removes and returns the upstreams without an announcement for [UPSTREAM_EXPIRY_MILLIS]. */
    public fun evictExpired(): List<KnownUpstream>
}

/** Creates an empty registry. */
public fun UpstreamRegistry(nowMillis: () -> Long): UpstreamRegistry = NewestAnnouncementRegistry(nowMillis)

private class NewestAnnouncementRegistry(
    private val nowMillis: () -> Long,
) : UpstreamRegistry {
    private val known = LinkedHashMap<UpstreamId, KnownUpstream>()
    private val idsByAddress = HashMap<HostPort, UpstreamId>()
    private val deregistered = LinkedHashMap<UpstreamId, Long>()

    /** Times of deregistrations without a start of upstreams that were not known then. */
    private val unresolvedAtMillis = LinkedHashMap<UpstreamId, Long>()

    override val upstreams: Collection<KnownUpstream> get() = known.values

    override val deregistrations: List<Deregistration>
        get() = deregistered.map { (id, startedAtMillis) -> Deregistration(id, startedAtMillis) }

    override fun find(id: UpstreamId): KnownUpstream? = known[id]

    override fun record(
        announced: FleetUpstream,
        ageMillis: Long,
    ): RegistryUpdate {
        resolveDeregistration(announced, ageMillis)
        if (isDeregistered(announced) || isSuperseded(announced)) return RegistryUpdate.Ignored
        val previous = known[announced.id]
        if (previous != null && !announced.isNewerThan(previous.upstream)) return RegistryUpdate.Ignored
        store(announced, ageMillis)
        return if (previous != null && previous.upstream.routesLike(announced)) {
            RegistryUpdate.Refreshed
        } else {
            RegistryUpdate.Changed
        }
    }

    override fun deregister(deregistration: Deregistration): Boolean {
        val current = known[deregistration.id]
        val startedAtMillis = deregistration.startedAtMillis ?: current?.upstream?.startedAtMillis
        if (startedAtMillis == null) return unresolvedAtMillis.putNewest(deregistration.id, nowMillis()) == null
        if (startedAtMillis <= (deregistered[deregistration.id] ?: Long.MIN_VALUE)) return false
        deregistered.putNewest(deregistration.id, startedAtMillis)
        if (current != null && current.upstream.startedAtMillis <= startedAtMillis) remove(current.upstream)
        return true
    }

    override fun evictExpired(): List<KnownUpstream> {
        val oldestMillis = nowMillis() - UPSTREAM_EXPIRY_MILLIS
        val expired = known.values.filter { it.announcedAtMillis < oldestMillis }
        expired.forEach { remove(it.upstream) }
        return expired
    }

    /** Applies a deregistration without a start to the start that [announced] names, if it was announced before it. */
    private fun resolveDeregistration(
        announced: FleetUpstream,
        ageMillis: Long,
    ) {
        val deregisteredAtMillis = unresolvedAtMillis[announced.id] ?: return
        if (nowMillis() - ageMillis > deregisteredAtMillis) return
        unresolvedAtMillis -= announced.id
        deregister(Deregistration(announced.id, announced.startedAtMillis))
    }

    private fun isDeregistered(announced: FleetUpstream) =
        announced.startedAtMillis <= (deregistered[announced.id] ?: Long.MIN_VALUE)

    /** Returns whether another upstream that started later owns the address. */
    private fun isSuperseded(announced: FleetUpstream): Boolean {
        val owner = idsByAddress[announced.address]?.let(known::get)?.upstream ?: return false
        return owner.id != announced.id && owner.startedAtMillis > announced.startedAtMillis
    }

    private fun store(
        announced: FleetUpstream,
        ageMillis: Long,
    ) {
        val owner = idsByAddress[announced.address]
        if (owner != null && owner != announced.id) known.remove(owner)
        known[announced.id]?.let { if (it.upstream.address != announced.address) idsByAddress -= it.upstream.address }
        known[announced.id] = KnownUpstream(announced, nowMillis() - ageMillis)
        idsByAddress[announced.address] = announced.id
    }

    private fun remove(upstream: FleetUpstream) {
        known -= upstream.id
        idsByAddress.remove(upstream.address, upstream.id)
    }
}

/** Sets the value of [key], as the newest of at most [MAX_DEREGISTRATIONS] entries, and returns the previous one. */
private fun <K> LinkedHashMap<K, Long>.putNewest(
    key: K,
    value: Long,
): Long? {
    val previous = remove(key)
    put(key, value)
    while (size > MAX_DEREGISTRATIONS) remove(keys.first())
    return previous
}

private fun FleetUpstream.routesLike(other: FleetUpstream): Boolean = (coldMillis > 0) == (other.coldMillis > 0) &&
    copy(sequence = 0, coldMillis = 0) == other.copy(sequence = 0, coldMillis = 0)
