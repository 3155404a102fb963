/*
 * Lease that bounds how long a process partitioned from the control hosts may place new work. Its duration is measured
 * from the time at which the heartbeat was sent, on the holder's own monotonic clock, so that a delayed grant or a
 * paused process can only shorten it.
 */
package io.carawaytrack.membership

/** Permission for its holder to place new work for a limited time. */
public interface Lease {
    /** Returns the remaining time in milliseconds, or 0 if no lease is held. */
    public fun remainingMillis(): Long

    /** Whether the lease is currently held. */
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

    /** Extends the lease to [durationMillis] after [sentAtMillis]; a grant that ends earlier has no effect. */
    @Synchronized
    fun renew(
        sentAtMillis: Long,
        durationMillis: Long,
    ) {
        expiresAtMillis = maxOf(expiresAtMillis, sentAtMillis + durationMillis)
    }
}
