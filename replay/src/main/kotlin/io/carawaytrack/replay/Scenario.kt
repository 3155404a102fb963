/*
 * What happens while a trace plays.
 */
package io.carawaytrack.replay

import kotlinx.serialization.Serializable

/** Lists the deployments of which replays exist. */
@Serializable
public enum class Deployment { Penmark, Sajha }

/**
 * Lists the scenarios.
 *
 * @property load share of the deployment's peak rate at which requests arrive
 * @property measuredMillis length of the measured part
 */
@Serializable
public enum class Scenario(
    public val load: Double,
    public val measuredMillis: Long,
) {
    QuietHour(load = 0.2, measuredMillis = 3_600_000),
    Peak(load = 1.0, measuredMillis = 600_000),
    BadAtTen(load = 0.6, measuredMillis = 600_000),
    BadAtFifty(load = 0.6, measuredMillis = 600_000),
    ZoneOut(load = 0.7, measuredMillis = 600_000),
    ColdStart(load = 0.7, measuredMillis = 600_000),
    SlowReaders(load = 0.5, measuredMillis = 600_000),
    PoolsDry(load = 2.0, measuredMillis = 300_000),
    Flood(load = 0.5, measuredMillis = 600_000),
    ;

    /** Time for which requests arrive before anything is measured. */
    public val warmUpMillis: Long get() = WARM_UP_MILLIS

    /** Name on the command line. */
    public val text: String get() = name.replace(Regex("(?<=[a-z])(?=[A-Z])"), "-").lowercase()

    public companion object {
        private const val WARM_UP_MILLIS = 600_000L
    }
}
