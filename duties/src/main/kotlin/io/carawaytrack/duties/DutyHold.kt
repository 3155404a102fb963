/*
 * Acquisition of the duties and the time from which this host may act on its grant.
 */
package io.carawaytrack.duties

import io.carawaytrack.fleet.DutyGrant
import io.carawaytrack.telemetry.event
import io.github.oshai.kotlinlogging.KotlinLogging

private val logger = KotlinLogging.logger {}

/** Added to the lease before the first call of a new holder; covers the age that a confirmation may have at a call. */
private const val HANDOVER_MARGIN_MILLIS = 1_000L

/** Time after which an unanswered acquisition is repeated; a repeated grant is harmless. */
private const val ACQUISITION_TIMEOUT_MILLIS = 2_000L

internal class DutyHold(
    private val settings: DutySettings,
    private val ports: DutyPorts,
    private val clocks: TwoClocks,
) {
    /** An acquisition that has begun at [since], and the grant that it follows. */
    private class Acquisition(
        val since: Moment,
    ) {
        var confirmed = false
        var previous: DutyGrant? = null
    }

    private var acquisition: Acquisition? = null
    private var knownToken: Long? = null
    private var mayCallAtMillis = 0L
    private var sinceMillis = 0L

    /** Token of this host's grant while it holds the duties. */
    var token: Long? = null
        private set

    /** Whether the previous holder's last call is at least the lease ago. */
    val mayCall: Boolean get() = token != null && clocks.nowMillis() >= mayCallAtMillis

    /** Time since this host became the holder. */
    val heldMillis: Long get() = clocks.nowMillis() - sinceMillis

    /** Compares the grant in force with the one known before; acquires the duties if this host leads. */
    fun tick() {
        val granted = grantedToken()
        if (granted != token) {
            token = granted
            if (granted != null) began(granted) else logger.event("duty_lost", mapOf("reason" to lossReason()))
        }
        if (token == null && ports.leading()) acquire()
    }

    /** Returns whether this host leads and its grant with [token] is in force. */
    fun holds(token: Long): Boolean = grantedToken() == token

    private fun grantedToken(): Long? = ports.grant()?.takeIf { isOwn(it) && ports.leading() }?.token

    private fun isOwn(grant: DutyGrant) = grant.holder == settings.holder && grant.incarnation == settings.incarnation

    private fun lossReason() = if (ports.leading()) "another grant" else "not leading"

    private fun began(granted: Long) {
        sinceMillis = clocks.nowMillis()
        // After a change of leaders without a grant in between, nobody else has acted and the earlier wait still holds.
        if (granted != knownToken) {
            val waitMillis = if (followsOwnGrant()) 0 else settings.leaseMillis + HANDOVER_MARGIN_MILLIS
            mayCallAtMillis = clocks.nowMillis() + waitMillis
            knownToken = granted
        }
        acquisition = null
        val waitMillis = maxOf(0, mayCallAtMillis - clocks.nowMillis())
        logger.event("duty_acquired", mapOf("token" to granted, "waitMillis" to waitMillis))
    }

    /**
     * Returns whether no other host has acted since this node's last grant. The grant before the acquisition was
     * confirmed to be the newest; another one in between could only have led to a call after more than the lease.
     */
    private fun followsOwnGrant(): Boolean {
        val last = acquisition?.takeIf { it.confirmed && clocks.isWithin(it.since, settings.leaseMillis) }
        return last != null && (last.previous == null || last.previous?.holder == settings.holder)
    }

    private fun acquire() {
        acquisition?.let { if (clocks.isWithin(it.since, ACQUISITION_TIMEOUT_MILLIS)) return }
        val begun = Acquisition(clocks.moment())
        acquisition = begun
        // Confirmed first: the state of a new leader may lack the grant of its predecessor.
        ports.confirmLeadership { confirmed ->
            if (acquisition !== begun) return@confirmLeadership
            if (confirmed && grantedToken() == null) propose(begun) else acquisition = null
        }
    }

    private fun propose(begun: Acquisition) {
        begun.confirmed = true
        begun.previous = ports.grant()
        // Kept until the grant is seen; a failed proposal may still be applied later.
        ports.acquire { }
    }
}
