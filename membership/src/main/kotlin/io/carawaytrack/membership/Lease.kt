/*
 * The lease that bounds how long a process that is cut off from the control hosts may go on placing new work. It is
 * counted from the moment at which the heartbeat was sent, on the holder's own monotonic clock, so that a slow answer
 * or a frozen process shortens it and never lengthens it.
 */
package io.carawaytrack.membership

/** Tells whether the holder may place new work. */
public interface Lease {
    /** Returns the time left, in milliseconds; 0 when there is no lease. */
    public fun remainingMillis(): Long

    /** Returns whether the lease is held now. */
    public val held: Boolean get() = remainingMillis() > 0
}

internal class RenewableLease(
    private val nowMillis: () -> Long,
) : Lease {
    @Volatile
    private var expiresAtMillis = Long.MIN_VALUE

    override fun remainingMillis(): Long {
        val expiry = expiresAtMillis
        if (expiry == Long.MIN_VALUE) return 0
        return (expiry - nowMillis()).coerceAtLeast(0)
    }

    /** Extends the lease to [durationMillis] after [sentAtMillis]; an older grant changes nothing. */
    @Synchronized
    fun renew(
        sentAtMillis: Long,
        durationMillis: Long,
    ) {
        expiresAtMillis = maxOf(expiresAtMillis, sentAtMillis + durationMillis)
    }
}
