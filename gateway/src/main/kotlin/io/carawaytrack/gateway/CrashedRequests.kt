/*
 * The crashes at which each request was in progress. A request is identified by its content, so its history goes on
 * when the request comes again, however much later; only a complete answer to the same request clears it. The crashes
 * of other requests don't displace the history of one with a series of crashes.
 */
package io.carawaytrack.gateway

/** Time after its last crash for which a request is remembered. */
private const val REQUEST_EXPIRY_MILLIS = 3_600_000L

/** Minimum time between two searches for expired requests. */
private const val EXPIRY_INTERVAL_MILLIS = 60_000L

/** Earlier than any time, and far enough from the smallest number that differences to it don't overflow. */
private const val NEVER_MILLIS = Long.MIN_VALUE / 2

/** Number of remembered requests: the memory that crashes under many different requests may take is some megabytes. */
private const val MAX_REQUESTS = 4_096

/** Number of remembered crashes of one request: several times those of a series. */
private const val MAX_CRASHES_PER_REQUEST = 16

/** A crash at which a request was in progress; [answering] states whether its answer had gone on for some time. */
internal data class RequestCrash(
    val crash: CrashId,
    val atMillis: Long,
    val answering: Boolean,
)

/** The [crashes] of the request with [content] since its last complete answer, in the order of their arrival. */
internal data class CrashedRequestHistory(
    val content: String,
    val crashes: List<RequestCrash>,
)

internal class CrashedRequests(
    private val nowMillis: () -> Long,
) {
    private class History {
        val crashes = LinkedHashMap<CrashId, RequestCrash>()
        var answeredAtMillis = NEVER_MILLIS
    }

    private val histories = LinkedHashMap<String, History>()
    private var expiredAtMillis = NEVER_MILLIS

    val isEmpty: Boolean get() = histories.isEmpty()

    operator fun contains(content: String): Boolean = content in histories

    /** Returns when the request with [content] was last answered completely, or null if that isn't known. */
    fun answeredAtMillis(content: String): Long? = histories[content]?.answeredAtMillis?.takeIf { it > NEVER_MILLIS }

    /**
     * Records a [crash] of the request with [content], whose last complete answer was at [answeredAtMillis]; returns
     * whether the crash is new and no answer has cleared it.
     */
    fun recordCrash(
        content: String,
        crash: RequestCrash,
        answeredAtMillis: Long? = null,
    ): Boolean {
        if (crash.atMillis < nowMillis() - REQUEST_EXPIRY_MILLIS) return false
        val history = histories.getOrPut(content, ::History)
        if (histories.size > MAX_REQUESTS) evictOther(content)
        answeredAtMillis?.let { recordAnswered(content, it) }
        if (isCleared(crash, history.answeredAtMillis)) return false
        if (history.crashes.putIfAbsent(crash.crash, crash) != null) return false
        if (history.crashes.size > MAX_CRASHES_PER_REQUEST) history.crashes.remove(history.crashes.keys.first())
        return true
    }

    /** Records that the request with [content] was answered completely at [atMillis]. */
    fun recordAnswered(
        content: String,
        atMillis: Long,
    ) {
        val history = histories[content] ?: return
        history.answeredAtMillis = maxOf(history.answeredAtMillis, atMillis)
        history.crashes.values.removeIf { isCleared(it, history.answeredAtMillis) }
    }

    /** Returns the requests with at least [count] crashes that no answer has cleared. */
    fun withCrashes(count: Int): List<CrashedRequestHistory> = histories
        .filterValues { it.crashes.size >= count }
        .map { (content, history) -> CrashedRequestHistory(content, history.crashes.values.toList()) }

    /** Forgets the requests whose last crash was long ago; returns whether there were any. */
    fun expire(): Boolean {
        val now = nowMillis()
        if (histories.isEmpty() || now - expiredAtMillis < EXPIRY_INTERVAL_MILLIS) return false
        expiredAtMillis = now
        return histories.values.removeIf { history ->
            history.crashes.values.all { it.atMillis < now - REQUEST_EXPIRY_MILLIS }
        }
    }

    /** Evicts the request that was added first, but one with a series of crashes only if all others have one, too. */
    private fun evictOther(content: String) {
        val others = histories.entries.filter { it.key != content }
        val evicted = others.firstOrNull { it.value.crashes.size < CRASHES_IN_SERIES } ?: others.first()
        histories.remove(evicted.key)
    }

    private fun isCleared(
        crash: RequestCrash,
        answeredAtMillis: Long,
    ) = answeredAtMillis >= crash.atMillis - CLEARED_BEFORE_MILLIS
}
