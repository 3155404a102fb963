/*
 * The targets that a replay checks automatically, some of them against a reference run. The bounds are set by the
 * project and must not be adjusted to fit a result.
 */
package io.carawaytrack.replay

import kotlinx.serialization.Serializable

/**
 * Result of checking a run against a target.
 *
 * @property seen measured values, or the reason why the target was not checked
 * @property met null when the target was not checked
 */
@Serializable
public data class TargetCheck(
    val target: String,
    val seen: String,
    val met: Boolean?,
)

/** Measures of the runs that targets are checked against. */
internal class TargetInputs(
    val scenario: Scenario,
    val measuresByPolicy: Map<String, Measures>,
    val reference: Measures?,
) {
    val current: Measures get() = measuresByPolicy.getValue(currentPolicy.name)
}

/** Returns the trace whose run under the current policy is the reference for the targets of [trace], or null. */
internal fun referenceTraceOf(trace: Trace): Trace? = when (trace.header.scenario) {
    Scenario.ZoneOut, Scenario.ColdStart -> quietHourTrace(trace)
    Scenario.Flood -> trace.copy(requests = trace.requests.filterNot { it.flood })
    Scenario.SlowReaders -> trace.copy(requests = trace.requests.map { it.copy(readMillis = 0) })
    else -> null
}

private fun quietHourTrace(trace: Trace): Trace =
    generateTrace(trace.header.deployment, Scenario.QuietHour, trace.header.seed ?: 1)

internal fun checkTargets(inputs: TargetInputs): List<TargetCheck> = when (inputs.scenario) {
    Scenario.QuietHour, Scenario.Peak -> listOf(costCheck(inputs))
    Scenario.BadAtTen, Scenario.BadAtFifty -> listOf(exposureCheck(inputs))
    Scenario.ZoneOut -> listOf(noFailureCheck(inputs), zoneOutLatencyCheck(inputs))
    Scenario.ColdStart -> listOf(coldStartCheck(inputs))
    Scenario.SlowReaders -> listOf(fastReadersCheck(inputs), memoryCheck)
    Scenario.Flood -> listOf(smallOrganisationsCheck(inputs))
    Scenario.PoolsDry -> emptyList()
}

private fun costCheck(inputs: TargetInputs): TargetCheck {
    val strongest = inputs.measuresByPolicy["strongest"] ?: return notChecked(COST_TARGET, "strongest was not run")
    val costRatio = inputs.current.cost / strongest.cost
    val quality = if (inputs.current.qualityMet) "met" else "missed"
    return TargetCheck(
        COST_TARGET,
        "%.1f %% of always-strongest, quality %s on every route".format(costRatio * PERCENT, quality),
        costRatio <= MAX_COST_RATIO && inputs.current.qualityMet,
    )
}

private fun exposureCheck(inputs: TargetInputs): TargetCheck {
    val window =
        inputs.measuresByPolicy["fixed-window"] ?: return notChecked(EXPOSURE_TARGET, "fixed-window was not run")
    val exposed = inputs.current.exposed
    return TargetCheck(
        EXPOSURE_TARGET,
        "$exposed requests exposed, ${window.exposed} with the fixed window",
        exposed <= window.exposed * MAX_EXPOSURE_RATIO,
    )
}

private fun noFailureCheck(inputs: TargetInputs): TargetCheck {
    val current = inputs.current
    return TargetCheck(
        "no failed request while a zone leaves and returns",
        "${current.failed} failed, ${current.refused} refused of ${current.requests}",
        current.failed + current.refused == 0,
    )
}

private fun zoneOutLatencyCheck(inputs: TargetInputs): TargetCheck = latencyCheck(
    "p99 latency at most twice the quiet hour's",
    inputs.current.latency,
    inputs.reference?.latency,
    ZONE_OUT_MAX_LATENCY_RATIO,
)

private fun coldStartCheck(inputs: TargetInputs): TargetCheck = TargetCheck(
    "a cold upstream never gets more than it can bear",
    "${inputs.current.coldOverloads} times exceeded, ${inputs.current.rejectedByAgents} rejected by agents",
    inputs.current.coldOverloads == 0,
)

private fun fastReadersCheck(inputs: TargetInputs): TargetCheck = latencyCheck(
    "fast readers' p99 within 10 % of the run without slow readers",
    inputs.current.fastReaders,
    inputs.reference?.fastReaders,
    FAST_READERS_MAX_LATENCY_RATIO,
).withUnservedLimit(inputs.current.fastReadersUnserved, inputs.reference?.fastReadersUnserved)

private val memoryCheck =
    notChecked("memory held under its budget with half of all readers stalled", "not run: memory is not modelled here")

private fun smallOrganisationsCheck(inputs: TargetInputs): TargetCheck = latencyCheck(
    "small organisations' p99 within 20 % of the run without the flood",
    inputs.current.smallOrganisations,
    inputs.reference?.smallOrganisations,
    SMALL_ORGANISATIONS_MAX_LATENCY_RATIO,
).withUnservedLimit(inputs.current.smallOrganisationsUnserved, inputs.reference?.smallOrganisationsUnserved)

/** Also requires no more unserved requests than in the reference run, because the latency leaves these out. */
private fun TargetCheck.withUnservedLimit(
    unserved: Int,
    referenceUnserved: Int?,
): TargetCheck {
    if (met == null || referenceUnserved == null) return this
    return copy(
        seen = "${this.seen}; unserved $unserved, reference $referenceUnserved",
        met = met && unserved <= referenceUnserved,
    )
}

private fun latencyCheck(
    target: String,
    measured: Quantiles,
    reference: Quantiles?,
    maxRatio: Double,
): TargetCheck {
    if (reference == null) return notChecked(target, "the reference was not run")
    val text = "p99 ${measured.p99Millis} ms, reference ${reference.p99Millis} ms"
    return TargetCheck(target, text, measured.p99Millis <= reference.p99Millis * maxRatio)
}

private fun notChecked(
    target: String,
    reason: String,
) = TargetCheck(target, reason, met = null)

private const val COST_TARGET = "cost at the quality target at most 60 % of always-strongest"
private const val EXPOSURE_TARGET = "exposed to a bad version at most a quarter of a fixed five-minute window's"
private const val MAX_COST_RATIO = 0.6
private const val MAX_EXPOSURE_RATIO = 0.25
private const val ZONE_OUT_MAX_LATENCY_RATIO = 2.0
private const val FAST_READERS_MAX_LATENCY_RATIO = 1.1
private const val SMALL_ORGANISATIONS_MAX_LATENCY_RATIO = 1.2
private const val PERCENT = 100.0
