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
 * @property loadRatio share of the deployment's peak rate at which requests arrive
 * @property measuredMillis length of the measured part
 */
@Serializable
public enum class Scenario(
    public val loadRatio: Double,
    public val measuredMillis: Long,
) {
    QuietHour(loadRatio = 0.2, measuredMillis = 3_600_000),
    Peak(loadRatio = 1.0, measuredMillis = 600_000),
    BadAtTen(loadRatio = 0.6, measuredMillis = 600_000),
    BadAtFifty(loadRatio = 0.6, measuredMillis = 600_000),
    ZoneOut(loadRatio = 0.7, measuredMillis = 600_000),
    ColdStart(loadRatio = 0.7, measuredMillis = 600_000),
    SlowReaders(loadRatio = 0.5, measuredMillis = 600_000),
    PoolsDry(loadRatio = 2.0, measuredMillis = 300_000),
    Flood(loadRatio = 0.5, measuredMillis = 600_000),
    ;

    /** Time for which requests arrive before anything is measured. */
    public val warmUpMillis: Long get() = WARM_UP_MILLIS

    /** Name on the command line. */
    public val commandLineName: String get() = name.replace(Regex("(?<=[a-z])(?=[A-Z])"), "-").lowercase()

    public companion object {
        private const val WARM_UP_MILLIS = 600_000L
    }
}
