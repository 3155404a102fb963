/*
 * Tracks the lease holders and the upstreams announced by agents, as reported to the leader in heartbeats. None of it
 * is replicated: a new leader rebuilds it from heartbeats within one to two seconds.
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

/** Time without a heartbeat after which an upstream expires, in milliseconds. */
internal const val UPSTREAM_TIMEOUT_MILLIS = 2_000L

/** Interval at which an insignificant load change is reported to entries, in milliseconds. */
private const val LOAD_REFRESH_INTERVAL_MILLIS = 2_000L

/** A load change of more than the permits divided by this number is reported to entries at once. */
private const val SIGNIFICANT_CHANGE_DIVISOR = 4

/** Time without a heartbeat after which a holder is no longer listed, in milliseconds. */
private const val HOLDER_RETENTION_MILLIS = 60_000L

private data class HolderRecord(
    val peer: PeerIdentity,
    val configurationNumber: Long,
    val lastHeartbeatAtMillis: Long,
)

/** Upstream as reported to entries. [announcement] may be older than the last one received. */
private data class UpstreamRecord(
    val announcement: Announcement,
    val lastHeartbeatAtMillis: Long,
    val reportedAtMillis: Long,
    val changeNumber: Long,
    val expired: Boolean,
)

/**
 * Returns whether [next] is to be reported to entries. An insignificant load change is reported only after
 * [LOAD_REFRESH_INTERVAL_MILLIS]; every other change is reported at once.
 */
private fun UpstreamRecord.isOutdatedBy(
    next: Announcement,
    nowMillis: Long,
): Boolean {
    if (expired || announcement.copy(load = next.load) != next) return true
    if (announcement.load == next.load) return false
    return nowMillis - reportedAtMillis >= LOAD_REFRESH_INTERVAL_MILLIS ||
        announcement.load.differsSignificantlyFrom(next.load)
}

private fun UpstreamLoad.differsSignificantlyFrom(next: UpstreamLoad): Boolean {
    val threshold = maxOf(permits, 1) / SIGNIFICANT_CHANGE_DIVISOR
    return abs(next.running - running) > threshold || abs(next.permits - permits) > threshold
}

private data class SuspectRecord(
    val report: SuspectReport,
    val changeNumber: Long,
)

internal data class SuspectUpdate(
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

    /** Lower bound of the time at which the next upstream expires. A heartbeat can only move the actual time later. */
    private var earliestExpiryMillis = Long.MAX_VALUE
    private var leadingSinceMillis: Long? = null

    /** Clears holders and upstreams when leadership changes, since heartbeats from an earlier term are out of date. */
    fun setLeading(leading: Boolean): Unit = lock.withLock {
        if (leading == (leadingSinceMillis != null)) return
        leadingSinceMillis = if (leading) nowMillis() else null
        upstreams.clear()
        holders.clear()
    }

    fun recordHeartbeat(
        peer: PeerIdentity,
        heartbeat: Heartbeat,
    ): Unit = lock.withLock {
        holders[peer.node] = HolderRecord(peer, heartbeat.configurationNumber, nowMillis())
        heartbeat.announcement?.let(::recordAnnouncement)
        heartbeat.suspects?.let { suspects[it.origin] = SuspectRecord(it, ++changeNumber) }
    }

    /** Returns the suspect reports received after the change [number], and the number to pass to the next call. */
    fun suspectsSince(number: Long): SuspectUpdate = lock.withLock {
        SuspectUpdate(changeNumber, suspects.values.filter { it.changeNumber > number }.map { it.report })
    }

    private fun recordAnnouncement(announcement: Announcement) {
        val existing = upstreams[announcement.upstream]
        if (existing != null && existing.announcement.incarnation > announcement.incarnation) return
        val now = nowMillis()
        val record =
            if (existing == null || existing.isOutdatedBy(announcement, now)) {
                UpstreamRecord(announcement, now, reportedAtMillis = now, ++changeNumber, expired = false)
            } else {
                existing.copy(lastHeartbeatAtMillis = now)
            }
        upstreams[announcement.upstream] = record
        earliestExpiryMillis = minOf(earliestExpiryMillis, now + UPSTREAM_TIMEOUT_MILLIS)
    }

    /**
     * Returns the upstreams added, changed or removed since the change [number], or null if there are none. For the
     * number 0, the result is never null.
     */
    fun membershipSince(number: Long): Membership? = lock.withLock {
        expireUpstreams()
        val changed = upstreams.values.filter { it.changeNumber > number }
        if (changed.isEmpty() && number > 0) return null
        Membership(
            number = changeNumber,
            complete = number == 0L && canSendCompleteList(),
            upstreams = changed.filterNot(UpstreamRecord::expired).map(UpstreamRecord::announcement),
            removed = changed.filter(UpstreamRecord::expired).map { it.announcement.upstream },
        )
    }

    // A complete list replaces the one that an entry holds, while a delta only adds and removes single upstreams. A new
    // leader may send a complete list only after every live agent has had time to send a heartbeat.
    private fun canSendCompleteList(): Boolean {
        val since = leadingSinceMillis ?: return false
        return nowMillis() - since > UPSTREAM_TIMEOUT_MILLIS
    }

    private fun expireUpstreams() {
        val now = nowMillis()
        if (now <= earliestExpiryMillis) return
        val expiredBeforeMillis = now - UPSTREAM_TIMEOUT_MILLIS
        upstreams.replaceAll { _, record ->
            if (record.expired || record.lastHeartbeatAtMillis >= expiredBeforeMillis) return@replaceAll record
            record.copy(expired = true, changeNumber = ++changeNumber)
        }
        val oldestHeartbeatAtMillis =
            upstreams.values.filterNot(UpstreamRecord::expired).minOfOrNull(UpstreamRecord::lastHeartbeatAtMillis)
        earliestExpiryMillis = oldestHeartbeatAtMillis?.plus(UPSTREAM_TIMEOUT_MILLIS) ?: Long.MAX_VALUE
    }

    fun announcements(): List<Announcement> = lock.withLock {
        expireUpstreams()
        upstreams.values.filterNot(UpstreamRecord::expired).map(UpstreamRecord::announcement)
    }

    fun statuses(): List<HolderStatus> = lock.withLock {
        val now = nowMillis()
        holders.values.removeIf { now - it.lastHeartbeatAtMillis > HOLDER_RETENTION_MILLIS }
        holders.values
            .filter { it.peer.role != NodeRole.Control }
            .map { it.toStatus(now) }
            .sortedBy { it.node.value }
    }

    private fun HolderRecord.toStatus(now: Long) =
        HolderStatus(peer.node, peer.role, peer.zone, configurationNumber, now - lastHeartbeatAtMillis)
}
