/*
 * One connection to a control host: which heartbeats are unanswered, which ledger calls are waiting, and what the host
 * has been told.
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
    val hurried = Channel<Unit>(Channel.CONFLATED)
    private val sentAtMillis = ConcurrentHashMap<Long, Long>()
    private val pending = ConcurrentHashMap<Long, CompletableDeferred<ByteArray?>>()
    private val sequence = AtomicLong()

    @Volatile
    private var heardAtMillis = nowMillis()

    @Volatile
    private var failed = false

    @Volatile
    private var hasMembership = false

    private var suspectsSequence = 0L

    fun sent(): Long {
        val number = sequence.incrementAndGet()
        sentAtMillis[number] = nowMillis()
        return number
    }

    /** Returns when the heartbeat [sequence] was sent, once; later answers to the same one count for nothing. */
    fun answered(sequence: Long): Long? {
        heardAtMillis = nowMillis()
        val sentAt = sentAtMillis.remove(sequence)
        sentAtMillis.keys.removeIf { it < sequence }
        hasMembership = true
        return sentAt
    }

    fun silentMillis(): Long = nowMillis() - heardAtMillis

    /** Numbers of memberships are one leader's own, so a new connection starts from none. */
    fun membershipNumber(number: Long): Long = if (hasMembership) number else 0

    /** Returns [report] the first time that it is seen on this link, so that a steady state costs nothing. */
    fun ifNews(report: SuspectReport): SuspectReport? {
        if (report.sequence == suspectsSequence) return null
        suspectsSequence = report.sequence
        return report
    }

    fun await(call: Long): CompletableDeferred<ByteArray?> {
        val waiting = CompletableDeferred<ByteArray?>()
        pending[call] = waiting
        if (failed) fail()
        return waiting
    }

    fun complete(reply: LedgerReply) {
        pending.remove(reply.call)?.complete(reply.reply)
    }

    fun fail() {
        failed = true
        pending.values.forEach { it.complete(null) }
        pending.clear()
    }
}
