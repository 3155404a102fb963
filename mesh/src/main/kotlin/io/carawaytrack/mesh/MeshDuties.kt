/*
 * What the mesh does for exclusive duties: the agreed time and the exchange of usage counts.
 */
package io.carawaytrack.mesh

import io.carawaytrack.fleet.UsageWindow

/** The part of the mesh that exclusive duties need. */
public interface MeshDuties {
    /**
     * Returns the time on which the hosts agree, the median of their wall clocks, if duties are on; otherwise that of
     * this host's wall clock. It may go back by the differences between correct clocks.
     */
    public fun agreedNowMillis(): Long

    /**
     * Reports this host's cumulative counts of all its unfixed [windows] to the hosts with a disk; ignored without
     * duties. To be called before each [Mesh.tick], which sends them when they are due.
     */
    public fun reportUsage(windows: List<UsageWindow>)

    /** Returns the sum of the counts that this host knows of all hosts for [windowId]; empty once it is fixed. */
    public fun usageOf(windowId: Long): UsageWindow
}

/** Messages of the mesh for duties; they are off without [MeshSettings.dutyIncarnation]. */
internal class LinkedMeshDuties(
    settings: MeshSettings,
    nowMillis: () -> Long,
) : MeshDuties {
    private val clock =
        settings.dutyIncarnation?.let { AgreedClock(settings.self.core, nowMillis, System::currentTimeMillis) }
    private val usage = UsageExchange(settings.self.address, settings.dutyIncarnation, nowMillis)

    /** Clocks to send with a heartbeat; null if duties are off. */
    val reading: ClockReading? get() = clock?.reading()

    override fun agreedNowMillis(): Long = clock?.agreedNowMillis() ?: System.currentTimeMillis()

    override fun reportUsage(windows: List<UsageWindow>) = usage.report(windows)

    override fun usageOf(windowId: Long): UsageWindow = usage.usageOf(windowId)

    /** Drops the counts of the windows up to [fixedThrough]. */
    fun windowsFixed(fixedThrough: Long) {
        usage.fixedThrough = fixedThrough
    }

    /** Updates the agreed time, and sends the counts to [coreLinks] if they are due. */
    fun tick(coreLinks: () -> List<MeshLink>) {
        clock?.update()
        val encoded = usage.takeDue()?.encode() ?: return
        coreLinks().forEach { it.send(encoded) }
    }

    fun receive(
        link: MeshLink,
        message: MeshMessage.Usage,
    ) {
        link.peer?.let { usage.receive(it.address, message) }
    }

    /** Records the clocks in a heartbeat, if there are any. */
    fun receive(
        link: MeshLink,
        heartbeat: MeshMessage.Heartbeat,
    ) {
        val peer = link.peer ?: return
        val wallMillis = heartbeat.wallMillis ?: return
        clock?.record(peer.address, ClockReading(wallMillis, heartbeat.agreedMillis))
    }
}
