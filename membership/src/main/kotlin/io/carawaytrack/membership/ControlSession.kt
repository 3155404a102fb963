/*
 * State of one connection to a control host: unanswered heartbeats, pending ledger calls and the last suspect report
 * sent.
 */
package io.carawaytrack.membership

import io.carawaytrack.model.SuspectReport
import io.carawaytrack.wire.LedgerReply
import io.carawaytrack.wire.Link
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

internal class ControlSession(
    val link: Link,
    private val nowMillis: () -> Long,
) {
    val heartbeatRequests = Channel<Unit>(Channel.CONFLATED)
    private val sentAtMillis = ConcurrentHashMap<Long, Long>()
    private val pendingCalls = ConcurrentHashMap<Long, CompletableDeferred<ByteArray?>>()
    private val lastSequence = AtomicLong()

    @Volatile
    private var lastGrantAtMillis = nowMillis()

    @Volatile
    private var failed = false

    @Volatile
    private var hasMembership = false

    private var lastSuspectsSequence = 0L

    fun startHeartbeat(): Long {
        val sequence = lastSequence.incrementAndGet()
        sentAtMillis[sequence] = nowMillis()
        return sequence
    }

    /**
     * Returns when the heartbeat [sequence] was sent, or null if it was never sent or if it or a later one has already
     * been answered.
     */
    fun completeHeartbeat(sequence: Long): Long? {
        lastGrantAtMillis = nowMillis()
        val heartbeatSentAtMillis = sentAtMillis.remove(sequence)
        sentAtMillis.keys.removeIf { it < sequence }
        hasMembership = true
        return heartbeatSentAtMillis
    }

    fun millisSinceLastGrant(): Long = nowMillis() - lastGrantAtMillis

    /** Returns [number], or 0 until this host has sent a grant, since each leader numbers memberships on its own. */
    fun membershipNumber(number: Long): Long = if (hasMembership) number else 0

    /** Returns [report] unless it was the last one sent on this link, so that an unchanged report is not sent again. */
    fun takeIfNew(report: SuspectReport): SuspectReport? {
        if (report.sequence == lastSuspectsSequence) return null
        lastSuspectsSequence = report.sequence
        return report
    }

    fun registerCall(call: Long): CompletableDeferred<ByteArray?> {
        val reply = CompletableDeferred<ByteArray?>()
        pendingCalls[call] = reply
        if (failed) fail()
        return reply
    }

    fun complete(reply: LedgerReply) {
        pendingCalls.remove(reply.call)?.complete(reply.reply)
    }

    fun fail() {
        failed = true
        pendingCalls.values.forEach { it.complete(null) }
        pendingCalls.clear()
    }
}
