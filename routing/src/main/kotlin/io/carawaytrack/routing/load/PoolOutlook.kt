/*
 * What the placement expects of a pool of engines, for the decisions that depend on it: which model serves a request,
 * whether an engine is late, and whether a queued request can still be served in time.
 */
package io.carawaytrack.routing.load

/**
 * Work that one attempt causes on an engine.
 *
 * @property unreadTokens prompt tokens that the engine has not cached for [model]
 * @property outputTokens expected number of generated tokens
 * @property urgency scheduling urgency of the attempt, 0 is the most urgent
 */
public data class PromptWork(
    val unreadTokens: Int,
    val outputTokens: Int,
    val model: String,
    val urgency: Int,
)

/** Outlook of one pool at this moment; unknown figures are null. */
public interface PoolOutlook {
    /** Part of the pool's reading capacity that accepted work takes; above 1, the work ahead of a request grows. */
    public val busyRatio: Double

    /** Returns the expected time until the first event of [work] on the engine that serves it soonest. */
    public fun firstEventMillis(work: PromptWork): Double?

    /** Returns the time that an engine without other work takes to read [work]. */
    public fun readMillis(work: PromptWork): Double?
}
