/*
 * Who holds a lease and what the agents announced, as the leading control host has heard it. Nothing of it is
 * replicated: it is rebuilt from the heartbeats within a second or two of a change of leader.
 */
package io.carawaytrack.control

import io.carawaytrack.model.Announcement
import io.carawaytrack.model.HolderStatus
import io.carawaytrack.model.Membership
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.SuspectReport
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.wire.Heartbeat
import io.carawaytrack.wire.PeerIdentity
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Silence after which an upstream counts as gone, in milliseconds. */
internal const val UPSTREAM_SILENCE_MILLIS = 2_000L

/** Silence after which a holder is no longer shown, in milliseconds. */
private const val HOLDER_FORGOTTEN_MILLIS = 60_000L

private data class HolderRecord(
    val peer: PeerIdentity,
    val configurationNumber: Long,
    val heardAtMillis: Long,
)

private data class UpstreamRecord(
    val announcement: Announcement,
    val heardAtMillis: Long,
    val changeNumber: Long,
    val gone: Boolean,
)

private data class SuspectRecord(
    val report: SuspectReport,
    val changeNumber: Long,
)

internal data class SuspectNews(
    val number: Long,
    val reports: List<SuspectReport>,
)

internal class HolderRegistry(
    private val nowMillis: () -> Long,
) {
    private val lock = ReentrantLock()
    private val holders = HashMap<NodeId, HolderRecord>()
    private val upstreams = HashMap<UpstreamId, UpstreamRecord>()
    private val suspects = HashMap<NodeId, SuspectRecord>()
    private var changeNumber = 0L
    private var leadingSinceMillis: Long? = null

    /** Starts anew when this host begins to lead: what an earlier leader heard is out of date. */
    fun lead(leading: Boolean): Unit = lock.withLock {
        if (leading == (leadingSinceMillis != null)) return
        leadingSinceMillis = if (leading) nowMillis() else null
        upstreams.clear()
        holders.clear()
    }

    fun heard(
        peer: PeerIdentity,
        heartbeat: Heartbeat,
    ): Unit = lock.withLock {
        holders[peer.node] = HolderRecord(peer, heartbeat.configurationNumber, nowMillis())
        heartbeat.announcement?.let(::announced)
        heartbeat.suspects?.let { suspects[it.origin] = SuspectRecord(it, ++changeNumber) }
    }

    /** Returns the suspects reported after the change [number], and the number to ask from next. */
    fun suspectsSince(number: Long): SuspectNews = lock.withLock {
        SuspectNews(changeNumber, suspects.values.filter { it.changeNumber > number }.map { it.report })
    }

    private fun announced(announcement: Announcement) {
        val known = upstreams[announcement.upstream]
        if (known != null && known.announcement.incarnation > announcement.incarnation) return
        val same = known != null && !known.gone && known.announcement == announcement
        val number = if (same) known.changeNumber else ++changeNumber
        upstreams[announcement.upstream] = UpstreamRecord(announcement, nowMillis(), number, gone = false)
    }

    /** Returns what has changed since [number], or null when nothing has. */
    fun membershipSince(number: Long): Membership? = lock.withLock {
        markSilent()
        val changed = upstreams.values.filter { it.changeNumber > number }
        if (changed.isEmpty() && number > 0) return null
        Membership(
            number = changeNumber,
            complete = number == 0L && complete(),
            upstreams = changed.filterNot(UpstreamRecord::gone).map(UpstreamRecord::announcement),
            removed = changed.filter(UpstreamRecord::gone).map { it.announcement.upstream },
        )
    }

    // A delta adds and removes by name; a full list replaces all, which it may only once every agent has had its turn.
    private fun complete(): Boolean {
        val since = leadingSinceMillis ?: return false
        return nowMillis() - since > UPSTREAM_SILENCE_MILLIS
    }

    private fun markSilent() {
        val oldest = nowMillis() - UPSTREAM_SILENCE_MILLIS
        upstreams.replaceAll { _, record ->
            if (record.gone || record.heardAtMillis >= oldest) return@replaceAll record
            record.copy(gone = true, changeNumber = ++changeNumber)
        }
    }

    fun announcements(): List<Announcement> = lock.withLock {
        markSilent()
        upstreams.values.filterNot(UpstreamRecord::gone).map(UpstreamRecord::announcement)
    }

    fun statuses(): List<HolderStatus> = lock.withLock {
        val now = nowMillis()
        holders.values.removeIf { now - it.heardAtMillis > HOLDER_FORGOTTEN_MILLIS }
        holders.values
            .filter { it.peer.role != NodeRole.Control }
            .map { it.toStatus(now) }
            .sortedBy { it.node.value }
    }

    private fun HolderRecord.toStatus(now: Long) =
        HolderStatus(peer.node, peer.role, peer.zone, configurationNumber, now - heardAtMillis)
}
