/*
 * Which hosts with a disk are known, when each is to be dialled, and which of them founds the group of a new fleet.
 */
package io.carawaytrack.mesh

import io.carawaytrack.model.HostPort

/** Pause between two attempts to reach the same host, in milliseconds. */
private const val REDIAL_MILLIS = 500L

/** Time without a link after which a host that is no seed is given up, in milliseconds: longer than any cut. */
private const val GIVEN_UP_MILLIS = 60_000L

internal class Peers(
    private val self: PeerInfo,
    private var seeds: List<HostPort>,
    private val nowMillis: () -> Long,
) {
    private val cores = LinkedHashMap<HostPort, PeerInfo>()
    private val metAtMillis = HashMap<HostPort, Long>()
    private val dialledAtMillis = HashMap<HostPort, Long>()
    private val cards = HashMap<HostPort, PeerInfo>()

    init {
        if (self.core) cores[self.address] = self
        cards[self.address] = self
    }

    fun cores(): List<PeerInfo> = cores.values.toList()

    fun lowestCore(): HostPort? = cores.keys.minByOrNull { it.toString() }

    fun updateSeeds(newSeeds: List<HostPort>) {
        seeds = newSeeds
    }

    fun met(card: PeerInfo) {
        metAtMillis[card.address] = nowMillis()
        cards[card.address] = card
    }

    /** Adds hosts with a disk and returns those that were new. */
    fun learn(told: List<PeerInfo>): List<PeerInfo> {
        val news = told.filter { it.core && it.address !in cores }
        news.forEach {
            cores[it.address] = it
            metAtMillis.putIfAbsent(it.address, nowMillis())
        }
        return news
    }

    /** Returns the hosts to dial now, given those that are linked. */
    fun due(linkedCores: Set<HostPort>): List<HostPort> {
        linkedCores.forEach { metAtMillis[it] = nowMillis() }
        forgetLost(linkedCores)
        val wanted = cores.keys + seeds.filter { linkedCores.isEmpty() || cards[it] == null || it in cores }
        val due = (wanted - linkedCores - self.address).filter { isDue(it) }
        due.forEach { dialledAtMillis[it] = nowMillis() }
        return due
    }

    private fun isDue(address: HostPort) =
        nowMillis() - (dialledAtMillis[address] ?: Long.MIN_VALUE / 2) >= REDIAL_MILLIS

    private fun forgetLost(linked: Set<HostPort>) {
        val oldestMillis = nowMillis() - GIVEN_UP_MILLIS
        cores.keys.removeIf { address ->
            val lost = (metAtMillis[address] ?: 0) < oldestMillis
            lost && address != self.address && address !in linked && address !in seeds
        }
    }

    /**
     * Returns the host that founds the group, or null while that isn't certain: the first seed with a disk, or, where
     * no seed has one, the host that all seeds name as the lowest with a disk.
     */
    fun founder(links: Collection<MeshLink>): HostPort? {
        val seedCards = seeds.map { cards[it] ?: return firstCoreBeforeUnknown() }
        seedCards.firstOrNull { it.core }?.let { return it.address }
        val named = seeds.map { seed -> nameOf(seed, links) ?: return null }.toSet()
        return named.singleOrNull()
    }

    /** A seed that comes after a known one with a disk doesn't matter. */
    private fun firstCoreBeforeUnknown(): HostPort? =
        seeds.takeWhile { cards[it] != null }.firstNotNullOfOrNull { cards[it]?.takeIf(PeerInfo::core) }?.address

    private fun nameOf(
        seed: HostPort,
        links: Collection<MeshLink>,
    ): HostPort? =
        if (seed == self.address) lowestCore() else links.firstOrNull { it.peer?.address == seed }?.pulse?.lowestCore
}
