/*
 * The deployments and scenarios for which traces can be generated and simulated.
 */
package io.carawaytrack.replay

import kotlinx.serialization.Serializable

/** Deployments that can be simulated. */
@Serializable
public enum class Deployment { Penmark, Sajha }

/**
 * Scenarios that can be simulated on a deployment.
 *
 * @property loadRatio arrival rate as a fraction of the deployment's peak rate
 * @property measuredMillis default length of the measured part
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

    /** Default time for which requests arrive before measurement starts. */
    public val warmUpMillis: Long get() = WARM_UP_MILLIS

    /** Name in kebab case, as used on the command line and in reports. */
    public val commandLineName: String get() = name.replace(Regex("(?<=[a-z])(?=[A-Z])"), "-").lowercase()

    public companion object {
        private const val WARM_UP_MILLIS = 600_000L
    }
}
