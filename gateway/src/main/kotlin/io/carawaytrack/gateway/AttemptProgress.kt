/*
 * Progress of an exchange's current attempt: when it was sent, and when it last brought a complete event or, for
 * responses without events, any byte.
 */
package io.carawaytrack.gateway

internal class AttemptProgress {
    var sentAtMillis = 0L
        private set
    var lastProgressAtMillis = 0L
        private set

    /** Whether the current attempt has received complete events. */
    var hasEvents = false
        private set

    /** Confidence of the answer that the current attempt is to replace; null if it replaces none. */
    var replacedConfidence: Int? = null
    private var retryDeniedAtMillis = 0L
    private var watch: EngineWatch? = null

    /** Time since which the next progress is awaited; a denied retry restarts the wait. */
    val awaitedSinceMillis: Long get() = maxOf(lastProgressAtMillis, retryDeniedAtMillis)

    /** Records that an attempt is sent [now] to the upstream that [watch] belongs to. */
    fun sent(
        now: Long,
        watch: EngineWatch,
    ) {
        this.watch = watch
        sentAtMillis = now
        lastProgressAtMillis = now
        hasEvents = false
    }

    fun received(now: Long) {
        lastProgressAtMillis = now
    }

    fun eventsReceived(now: Long) {
        lastProgressAtMillis = now
        if (!hasEvents) watch?.let { it.streams++ }
        hasEvents = true
    }

    fun retryDenied(now: Long) {
        retryDeniedAtMillis = now
    }

    /** Records that the attempt has ended or is abandoned. */
    fun attemptEnded() {
        if (hasEvents) watch?.let { it.streams-- }
        hasEvents = false
        watch = null
    }
}
