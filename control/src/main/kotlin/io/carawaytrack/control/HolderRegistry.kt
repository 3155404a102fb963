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
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.wire.Heartbeat
import io.carawaytrack.wire.PeerIdentity
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.math.abs

/** Silence after which an upstream counts as gone, in milliseconds. */
internal const val UPSTREAM_SILENCE_MILLIS = 2_000L

/** Longest time for which entries are not told of a load that has moved a little, in milliseconds. */
private const val LOAD_REFRESH_MILLIS = 2_000L

/** Part of the permits by which a load must move to be told at once. */
private const val MATERIAL_SHARE = 4

/** Silence after which a holder is no longer shown, in milliseconds. */
private const val HOLDER_FORGOTTEN_MILLIS = 60_000L

private data class HolderRecord(
    val peer: PeerIdentity,
    val configurationNumber: Long,
    val heardAtMillis: Long,
)

/** An upstream as the entries have been told of it; [announcement] may lag behind what was heard last. */
private data class UpstreamRecord(
    val announcement: Announcement,
    val heardAtMillis: Long,
    val toldAtMillis: Long,
    val changeNumber: Long,
    val gone: Boolean,
)

/** Returns whether entries are to be told of [next]: at once when it matters, else after [LOAD_REFRESH_MILLIS]. */
private fun UpstreamRecord.isOutdatedBy(
    next: Announcement,
    nowMillis: Long,
): Boolean {
    if (gone || announcement.copy(load = next.load) != next) return true
    if (announcement.load == next.load) return false
    return nowMillis - toldAtMillis >= LOAD_REFRESH_MILLIS || announcement.load.differsMuchFrom(next.load)
}

private fun UpstreamLoad.differsMuchFrom(next: UpstreamLoad): Boolean {
    val material = maxOf(permits, 1) / MATERIAL_SHARE
    return abs(next.running - running) > material || abs(next.permits - permits) > material
}

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

    /** No upstream falls silent before this moment; heartbeats only move it on. */
    private var nextSilenceAtMillis = Long.MAX_VALUE
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
        val now = nowMillis()
        val told =
            if (known == null || known.isOutdatedBy(announcement, now)) {
                UpstreamRecord(announcement, now, toldAtMillis = now, ++changeNumber, gone = false)
            } else {
                known.copy(heardAtMillis = now)
            }
        upstreams[announcement.upstream] = told
        nextSilenceAtMillis = minOf(nextSilenceAtMillis, now + UPSTREAM_SILENCE_MILLIS)
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
        val now = nowMillis()
        if (now <= nextSilenceAtMillis) return
        val oldest = now - UPSTREAM_SILENCE_MILLIS
        upstreams.replaceAll { _, record ->
            if (record.gone || record.heardAtMillis >= oldest) return@replaceAll record
            record.copy(gone = true, changeNumber = ++changeNumber)
        }
        val heard = upstreams.values.filterNot(UpstreamRecord::gone).minOfOrNull(UpstreamRecord::heardAtMillis)
        nextSilenceAtMillis = heard?.plus(UPSTREAM_SILENCE_MILLIS) ?: Long.MAX_VALUE
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
