/*
 * A moment on two clocks. The monotonic clock of a frozen host stops and the wall clock may be stepped, so a time limit
 * holds only if it holds on both.
 */
package io.carawaytrack.duties

internal class TwoClocks(
    val nowMillis: () -> Long,
    private val wallMillis: () -> Long,
) {
    /** Returns the current moment. */
    fun moment() = Moment(nowMillis(), wallMillis())

    /** Returns whether at most [millis] have passed since [moment]; false after the wall clock was set back. */
    fun isWithin(
        moment: Moment,
        millis: Long,
    ): Boolean = nowMillis() - moment.steadyMillis in 0..millis && wallMillis() - moment.wallMillis in 0..millis
}

internal class Moment(
    val steadyMillis: Long,
    val wallMillis: Long,
)
