/*
 * Counts of the requests that began to run at this host, by window of time and organisation.
 */
package io.carawaytrack.fleet

import io.carawaytrack.model.OrganisationName

/** Number of windows kept until they are fixed: a minute of windows of 5 s while the core has no quorum. */
public const val MAX_UNFIXED_WINDOWS: Int = 12

/**
 * Counts requests in windows of [windowMillis]; not thread-safe. Window k starts at k times its length after 1970, on
 * the clock [agreedNowMillis]. The oldest windows are dropped beyond [MAX_UNFIXED_WINDOWS].
 */
public class UsageCounter(
    private val windowMillis: Long,
    private val agreedNowMillis: () -> Long,
) {
    private val counts = sortedMapOf<Long, HashMap<OrganisationName, Long>>()
    private var fixedThrough = 0L

    /** Counts a request of [organisation] that begins to run now. */
    public fun record(organisation: OrganisationName) {
        // A host whose clock is behind would otherwise add to a window that is no longer reported.
        val windowId = maxOf(agreedNowMillis().floorDiv(windowMillis), fixedThrough + 1)
        counts.getOrPut(windowId, ::HashMap).merge(organisation, 1, Long::plus)
        while (counts.size > MAX_UNFIXED_WINDOWS) counts.remove(counts.firstKey())
    }

    /** Returns the windows after [fixedThrough], the oldest first, and drops the others. */
    public fun unfixed(fixedThrough: Long): List<UsageWindow> {
        this.fixedThrough = maxOf(this.fixedThrough, fixedThrough)
        counts.headMap(this.fixedThrough + 1).clear()
        return counts.map { (windowId, counted) -> UsageWindow(windowId, counted.toMap()) }
    }
}
