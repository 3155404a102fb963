/*
 * One attempt on an engine from its placement to its end. It counts as unread work of the engine until its first event.
 */
package io.carawaytrack.routing.load

/**
 * The attempt.
 *
 * @property tokens its unread tokens, weighed by model
 * @property expectedMillis expected time to its first event
 * @property usualMillis the same without momentary slowness
 */
public class PlacedWork internal constructor(
    public val engine: EngineLoad,
    public val work: PromptWork,
    public val placedAtMillis: Long,
    internal val tokens: Double,
    public val expectedMillis: Double,
    internal val usualMillis: Double,
) {
    internal var remainingTokens = tokens
    internal var isRead = false

    /** Records the first event of the attempt. */
    public fun firstEvent(nowMillis: Long): Unit = engine.read(this, nowMillis)

    /** Records the end of the attempt. */
    public fun ended(nowMillis: Long): Unit = engine.ended(this, nowMillis)
}
