/*
 * The known hosts with a disk, when to dial each, and which of them is the bootstrap node of a new fleet's group.
 */
package io.carawaytrack.mesh

import io.carawaytrack.model.HostPort

/** Interval between two connection attempts to the same host. */
private const val REDIAL_INTERVAL_MILLIS = 500L

/** Time without a link after which a host that is not a seed is forgotten: longer than any network partition. */
private const val LOST_HOST_EXPIRY_MILLIS = 60_000L

internal class Peers(
    private val self: PeerInfo,
    private var seeds: List<HostPort>,
    private val nowMillis: () -> Long,
) {
    private val cores = LinkedHashMap<HostPort, PeerInfo>()
    private val lastContactAtMillis = HashMap<HostPort, Long>()
    private val dialledAtMillis = HashMap<HostPort, Long>()
    private val known = HashMap<HostPort, PeerInfo>()

    init {
        if (self.core) cores[self.address] = self
        known[self.address] = self
    }

    fun cores(): List<PeerInfo> = cores.values.toList()

    fun lowestCore(): HostPort? = cores.keys.minByOrNull { it.toString() }

    fun updateSeeds(newSeeds: List<HostPort>) {
        seeds = newSeeds
    }

    fun recordContact(peer: PeerInfo) {
        lastContactAtMillis[peer.address] = nowMillis()
        known[peer.address] = peer
    }

    /** Adds the hosts with a disk among [received] and returns those that were not known yet. */
    fun addCores(received: List<PeerInfo>): List<PeerInfo> {
        val added = received.filter { it.core && it.address !in cores }
        added.forEach {
            cores[it.address] = it
            lastContactAtMillis.putIfAbsent(it.address, nowMillis())
        }
        return added
    }

    /** Returns the hosts to dial now, given the linked hosts with a disk. */
    fun hostsToDial(linkedCores: Set<HostPort>): List<HostPort> {
        linkedCores.forEach { lastContactAtMillis[it] = nowMillis() }
        evictLost(linkedCores)
        val targets = cores.keys + seeds.filter { linkedCores.isEmpty() || known[it] == null || it in cores }
        val due = (targets - linkedCores - self.address).filter { isDue(it) }
        due.forEach { dialledAtMillis[it] = nowMillis() }
        return due
    }

    private fun isDue(address: HostPort) =
        nowMillis() - (dialledAtMillis[address] ?: Long.MIN_VALUE / 2) >= REDIAL_INTERVAL_MILLIS

    private fun evictLost(linked: Set<HostPort>) {
        val oldestMillis = nowMillis() - LOST_HOST_EXPIRY_MILLIS
        cores.keys.removeIf { address ->
            val lost = (lastContactAtMillis[address] ?: 0) < oldestMillis
            lost && address != self.address && address !in linked && address !in seeds
        }
    }

    /**
     * Returns the host that bootstraps the group, or null while it is undetermined: the first seed with a disk, or, if
     * no seed has one, the host that all seeds report as the lowest one with a disk.
     */
    fun bootstrapNode(links: Collection<MeshLink>): HostPort? {
        val seedPeers = seeds.map { known[it] ?: return firstCoreBeforeUnknown() }
        seedPeers.firstOrNull { it.core }?.let { return it.address }
        val reported = seeds.map { seed -> lowestCoreReportedBy(seed, links) ?: return null }.toSet()
        return reported.singleOrNull()
    }

    /** Unknown seeds after a known one with a disk do not affect the choice. */
    private fun firstCoreBeforeUnknown(): HostPort? =
        seeds.takeWhile { known[it] != null }.firstNotNullOfOrNull { known[it]?.takeIf(PeerInfo::core) }?.address

    private fun lowestCoreReportedBy(
        seed: HostPort,
        links: Collection<MeshLink>,
    ): HostPort? = if (seed == self.address) {
        lowestCore()
    } else {
        links.firstOrNull { it.peer?.address == seed }?.heartbeat?.lowestCore
    }
}
