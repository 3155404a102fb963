/*
 * Whether an engine is alive, judged by all that is known of it. An engine that reads long prompts is as silent to one
 * host as a dead one: tens of hosts share its answers, and each has only a few requests on it. The load is tens of
 * engines with 15 to 30 unread prompts each. Judged by silence alone, 985 of 6,771 attempts left their engine in 24 s,
 * although only 13 engines were down, for 2 to 4 s.
 */
package io.carawaytrack.routing.load

/** Age up to which a sign of life shows that an engine is alive; load reports of other hosts take up to 500 ms. */
private const val SIGN_VALID_MILLIS = 600L

/** Time without any sign of life after which an engine that is late is checked; a check then ends before 900 ms. */
private const val CHECK_AFTER_MILLIS = 400L

/** Time without any sign of life after which an engine is checked even if it is not late yet. */
private const val CHECK_UNCONDITIONALLY_AFTER_MILLIS = 800L

/** Time without any sign of life after which an engine with outstanding requests receives no more of them. */
private const val SUSPECT_AFTER_MILLIS = 900L

/** Longest time without an event from an engine on which this host has a stream that has begun. */
private const val MAX_EVENT_GAP_MILLIS = 300L

/** Time without an event or a load report after which an engine that only answers health checks is stalled. */
private const val STALLED_AFTER_MILLIS = 1_350L

/** Age of an announcement that shows that several were missed; engines announce themselves every 1,200 ms. */
private const val MISSED_ANNOUNCEMENTS_MILLIS = 3_700L

/** What is known about whether an engine is alive. */
public enum class Liveness {
    /** Some host has heard from it within a short time. */
    Alive,

    /** It has not been heard for a while, and no health check has ended since. */
    Unproven,

    /** It answers health checks, but neither this host's running streams nor any other host's requests. */
    Stalled,

    /** It has not answered a health check since it was last heard. */
    Dead,
}

/**
 * Signs of life of an engine, as times in milliseconds until now.
 *
 * @property unansweredMillis time since the last byte while this host's requests are outstanding; 0 without any
 * @property lastByteMillis time since its last byte to this host
 * @property streams number of this host's streams on it that have begun
 * @property reportMillis time since its newest load report to any host; null if there is none
 * @property announcementMillis time since its last announcement
 * @property answeredCheckMillis time since its last answer to a health check; null if there is none
 * @property failedCheckMillis time since the start of the last health check if that was not answered
 */
public data class LifeSigns(
    val unansweredMillis: Long,
    val lastByteMillis: Long,
    val streams: Int,
    val reportMillis: Long?,
    val announcementMillis: Long,
    val answeredCheckMillis: Long? = null,
    val failedCheckMillis: Long? = null,
) {
    /** Time since it last processed a request, as far as this host knows. */
    private val workMillis: Long get() = minOf(lastByteMillis, reportMillis ?: Long.MAX_VALUE)

    /** Time since the newest sign of life. */
    public val newestMillis: Long get() = minOf(workMillis, answeredCheckMillis ?: Long.MAX_VALUE)

    /** Whether it has processed requests of any host lately. */
    public val isWorking: Boolean get() = workMillis < STALLED_AFTER_MILLIS

    public val liveness: Liveness
        get() =
            when {
                failedCheckMillis != null && failedCheckMillis < newestMillis -> Liveness.Dead
                newestMillis >= STALLED_AFTER_MILLIS && announcementMillis >= MISSED_ANNOUNCEMENTS_MILLIS ->
                    if (unansweredMillis > 0) Liveness.Dead else Liveness.Unproven
                streams > 0 && minOf(workMillis, unansweredMillis) >= STALLED_AFTER_MILLIS -> stalledOrUnproven()
                newestMillis < SIGN_VALID_MILLIS -> Liveness.Alive
                else -> Liveness.Unproven
            }

    /** Whether further requests should avoid the engine. */
    public val isSuspect: Boolean
        get() =
            when (liveness) {
                Liveness.Alive -> false
                Liveness.Unproven -> minOf(unansweredMillis, newestMillis) > SUSPECT_AFTER_MILLIS
                Liveness.Stalled, Liveness.Dead -> true
            }

    private fun stalledOrUnproven() = if (answeredCheckMillis != null) Liveness.Stalled else Liveness.Unproven

    /**
     * Returns whether the engine's health is to be checked, given that the answer which a request awaits is
     * [lateMillis] late; null if it is unknown when it is due.
     */
    public fun needsCheck(lateMillis: Double?): Boolean {
        val silentMillis = minOf(unansweredMillis, newestMillis)
        val streamOverdue = streams > 0 && unansweredMillis > MAX_EVENT_GAP_MILLIS
        val late = streamOverdue || lateMillis == null || lateMillis > 0
        return silentMillis >= if (late) CHECK_AFTER_MILLIS else CHECK_UNCONDITIONALLY_AFTER_MILLIS
    }
}
