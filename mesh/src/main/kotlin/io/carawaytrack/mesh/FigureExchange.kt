/*
 * Exchange of figures of which only the sum over the hosts is meaningful. A host without a disk sends its figures to
 * one host with a disk; each host with a disk sends the sum of its own and the received figures to all its peers. A
 * host adds up the newest sum of each host with a disk. It subtracts exactly what each sum includes of its own, because
 * its current figures can differ from the included ones by a whole prompt. A host with nothing to share sends nothing.
 */
package io.carawaytrack.mesh

import io.carawaytrack.fleet.HostFigures
import io.carawaytrack.fleet.plus
import io.carawaytrack.model.HostPort

/** Interval at which [FigureExchange.share] is called. */
public const val FIGURES_INTERVAL_MILLIS: Long = 400

/** Time after which figures no longer count. */
internal const val FIGURES_EXPIRY_MILLIS = 1_200L

/**
 * Time after which a sum no longer includes the figures of a host. The last sum that includes them is replaced one
 * interval later, so that no figure counts for longer than [FIGURES_EXPIRY_MILLIS].
 */
private const val CONTRIBUTION_EXPIRY_MILLIS = FIGURES_EXPIRY_MILLIS - FIGURES_INTERVAL_MILLIS

/** Number of own figures that are kept to be subtracted: those that an unexpired sum can include, with a margin. */
private const val KEPT_OWN_FIGURES = 8

/** Shares the figures of a fleet's hosts. */
public interface FigureExchange {
    /** Shares this host's figures; called every [FIGURES_INTERVAL_MILLIS]. */
    public fun share(own: HostFigures)

    /** Returns the sum of the figures that the other hosts shared recently. */
    public fun others(): HostFigures
}

/** Sends messages of the exchange. */
internal class FigureLinks(
    val toPeers: (MeshMessage) -> Unit,
    val toCore: (MeshMessage) -> Unit,
    val to: (HostPort, MeshMessage) -> Unit,
)

/** Passes received messages to the exchange that they belong to. */
internal class Exchanges(
    private val loads: MergingLoadExchange,
    private val figures: LinkedFigureExchange,
    private val latency: EchoedZoneLatency,
) {
    /** Handles a message from the host [from], which is unknown until its first message. */
    fun receive(
        from: PeerInfo?,
        message: MeshMessage.Exchanged,
    ) {
        when (message) {
            is MeshMessage.Loads -> loads.receive(message)
            is MeshMessage.Figures -> from?.let { figures.receive(it, message) }
            is MeshMessage.FiguresIncluded -> from?.let { figures.receive(it, message) }
            is MeshMessage.Echo -> from?.let { latency.receive(it, message) }
        }
    }
}

/**
 * Shares this host's figures and adds up those of others. Ages are measured on both clocks, because [nowMillis] may
 * stop while a host is suspended and [wallMillis] may be stepped.
 */
internal class LinkedFigureExchange(
    private val core: Boolean,
    private val links: FigureLinks,
    private val nowMillis: () -> Long,
    private val wallMillis: () -> Long,
) : FigureExchange {
    private inner class Instant {
        private val millis = nowMillis()
        private val wall = wallMillis()

        val ageMillis: Long get() = maxOf(nowMillis() - millis, wallMillis() - wall)
    }

    /** Figures from another host; [ownIncluded] is the part of them that originates from this host. */
    private inner class Received(
        val figures: HostFigures,
        val sequence: Long,
        val ownIncluded: HostFigures,
    ) {
        val receivedAt = Instant()
    }

    private val contributions = HashMap<HostPort, Received>()
    private val sums = HashMap<HostPort, Received>()
    private val includedSequences = HashMap<HostPort, Long>()
    private val ownBySequence = LinkedHashMap<Long, HostFigures>()
    private var sequence = 0L
    private var sharedAt: Instant? = null
    private var resumedAt: Instant? = null
    private var silent = true

    override fun share(own: HostFigures) {
        if (wasPaused) discardAll()
        sharedAt = Instant()
        contributions.values.removeIf { it.receivedAt.ageMillis > CONTRIBUTION_EXPIRY_MILLIS }
        val figures = contributions.values.fold(own.nonzero()) { sum, received -> sum + received.figures }
        // The first empty message after others replaces the last figures; further ones would not change anything.
        if (figures.isEmpty && silent) return
        silent = figures.isEmpty
        if (core) sendSum(figures) else sendOwn(figures)
    }

    private fun sendSum(sum: HostFigures) {
        contributions.forEach { (host, received) -> links.to(host, MeshMessage.FiguresIncluded(received.sequence)) }
        links.toPeers(MeshMessage.Figures(sum))
    }

    private fun sendOwn(own: HostFigures) {
        ownBySequence[++sequence] = own
        ownBySequence.keys.removeIf { it <= sequence - KEPT_OWN_FIGURES }
        links.toCore(MeshMessage.Figures(own, sequence))
    }

    fun receive(
        from: PeerInfo,
        message: MeshMessage.Figures,
    ) {
        val ownIncluded = includedSequences.remove(from.address)?.let(ownBySequence::get) ?: HostFigures()
        // After a pause, the first messages are those that arrived during it; their age is unknown.
        if (wasPaused || resumedAt.isWithin(FIGURES_INTERVAL_MILLIS)) return
        val received = Received(message.figures.nonzero(), message.sequence, ownIncluded)
        if (from.core) {
            sums[from.address] = received
        } else if (core) {
            contributions[from.address] = received
        }
    }

    /** Records which of this host's figures the next sum from the host [from] includes. */
    fun receive(
        from: PeerInfo,
        message: MeshMessage.FiguresIncluded,
    ) {
        includedSequences[from.address] = message.sequence
    }

    override fun others(): HostFigures {
        if (wasPaused) return HostFigures()
        sums.values.removeIf { it.receivedAt.ageMillis > FIGURES_EXPIRY_MILLIS }
        val received = contributions.values.filter { it.receivedAt.ageMillis <= FIGURES_EXPIRY_MILLIS } + sums.values
        return received.fold(HostFigures()) { sum, part -> sum + part.figures.minus(part.ownIncluded) }.nonzero()
    }

    private val wasPaused: Boolean get() = sharedAt?.let { it.ageMillis > FIGURES_EXPIRY_MILLIS } ?: false

    private fun Instant?.isWithin(millis: Long) = this != null && ageMillis < millis

    private fun discardAll() {
        contributions.clear()
        sums.clear()
        includedSequences.clear()
        resumedAt = Instant()
    }
}

private val HostFigures.isEmpty: Boolean get() = unreadTokens.isEmpty() && admittedWork.isEmpty()

/** Returns the figures without those that are zero or, in a faulty message, negative. */
private fun HostFigures.nonzero() =
    HostFigures(unreadTokens.filterValues { it > 0 }, admittedWork.filterValues { it > 0 })

private fun HostFigures.minus(part: HostFigures) = HostFigures(
    unreadTokens.mapValues { (id, tokens) -> maxOf(0, tokens - (part.unreadTokens[id] ?: 0)) },
    admittedWork.mapValues { (name, work) -> maxOf(0, work - (part.admittedWork[name] ?: 0)) },
)
