/*
 * The targets that a replay checks by itself. A target that needs a reference run names it; the bounds are those that
 * the project has set itself and are never moved to fit an outcome.
 */
package io.carawaytrack.replay

import kotlinx.serialization.Serializable

/**
 * States how a run stands against a target.
 *
 * @property met null when the replay can't tell, for the reason in [seen]
 */
@Serializable
public data class TargetCheck(
    val target: String,
    val seen: String,
    val met: Boolean?,
)

/** Gives the measures of the runs that targets are checked against. */
internal class TargetInputs(
    val scenario: Scenario,
    val byPolicy: Map<String, Measures>,
    val reference: Measures?,
) {
    val current: Measures get() = byPolicy.getValue(currentPolicy.name)
}

/** Returns the trace whose run by the current policy the targets of [trace] refer to, null when there is none. */
internal fun referenceOf(trace: Trace): Trace? = when (trace.header.scenario) {
    Scenario.ZoneOut, Scenario.ColdStart -> quietTrace(trace)
    Scenario.Flood -> trace.copy(requests = trace.requests.filterNot { it.flood })
    Scenario.SlowReaders -> trace.copy(requests = trace.requests.map { it.copy(readMillis = 0) })
    else -> null
}

private fun quietTrace(trace: Trace): Trace =
    generateTrace(trace.header.deployment, Scenario.QuietHour, trace.header.seed ?: 1)

internal fun checkTargets(inputs: TargetInputs): List<TargetCheck> = when (inputs.scenario) {
    Scenario.QuietHour, Scenario.Peak -> listOf(costCheck(inputs))
    Scenario.BadAtTen, Scenario.BadAtFifty -> listOf(exposureCheck(inputs))
    Scenario.ZoneOut -> listOf(unfailedCheck(inputs), quietLatencyCheck(inputs))
    Scenario.ColdStart -> listOf(coldStartCheck(inputs))
    Scenario.SlowReaders -> listOf(fastReadersCheck(inputs), memoryCheck)
    Scenario.Flood -> listOf(smallOrganisationsCheck(inputs))
    Scenario.PoolsDry -> emptyList()
}

private fun costCheck(inputs: TargetInputs): TargetCheck {
    val strongest = inputs.byPolicy["strongest"] ?: return unchecked(COST_TARGET, "strongest was not run")
    val share = inputs.current.cost / strongest.cost
    val quality = if (inputs.current.qualityMet) "met" else "missed"
    return TargetCheck(
        COST_TARGET,
        "%.1f %% of always-strongest, quality %s on every route".format(share * PERCENT, quality),
        share <= COST_SHARE && inputs.current.qualityMet,
    )
}

private fun exposureCheck(inputs: TargetInputs): TargetCheck {
    val window = inputs.byPolicy["fixed-window"] ?: return unchecked(EXPOSURE_TARGET, "fixed-window was not run")
    val exposed = inputs.current.exposed
    return TargetCheck(
        EXPOSURE_TARGET,
        "$exposed requests exposed, ${window.exposed} with the fixed window",
        exposed <= window.exposed * EXPOSURE_SHARE,
    )
}

private fun unfailedCheck(inputs: TargetInputs): TargetCheck {
    val current = inputs.current
    return TargetCheck(
        "no failed request while a zone leaves and returns",
        "${current.failed} failed, ${current.refused} refused of ${current.requests}",
        current.failed + current.refused == 0,
    )
}

private fun quietLatencyCheck(inputs: TargetInputs): TargetCheck = latencyCheck(
    "p99 latency at most twice the quiet hour's",
    inputs.current.latency,
    inputs.reference?.latency,
    ZONE_LATENCY_FACTOR,
)

private fun coldStartCheck(inputs: TargetInputs): TargetCheck = TargetCheck(
    "a cold upstream never gets more than it can bear",
    "${inputs.current.tippedOver} times over, ${inputs.current.refusedAtGate} turned away at the last gate",
    inputs.current.tippedOver == 0,
)

private fun fastReadersCheck(inputs: TargetInputs): TargetCheck = latencyCheck(
    "fast readers' p99 within 10 % of the run without slow readers",
    inputs.current.fastReaders,
    inputs.reference?.fastReaders,
    FAST_READERS_FACTOR,
).unlessUnserved(inputs.current.fastReadersUnserved, inputs.reference?.fastReadersUnserved)

private val memoryCheck =
    unchecked("memory held under its budget with half of all readers stalled", "not run: memory is not modelled here")

private fun smallOrganisationsCheck(inputs: TargetInputs): TargetCheck = latencyCheck(
    "small organisations' p99 within 20 % of the run without the flood",
    inputs.current.smallOrganisations,
    inputs.reference?.smallOrganisations,
    SMALL_ORGANISATIONS_FACTOR,
).unlessUnserved(inputs.current.smallOrganisationsUnserved, inputs.reference?.smallOrganisationsUnserved)

/** Misses the target when more requests went unserved than in the reference run, since those have no latency. */
private fun TargetCheck.unlessUnserved(
    seen: Int,
    reference: Int?,
): TargetCheck {
    if (met == null || reference == null) return this
    return copy(seen = "${this.seen}; unserved $seen, reference $reference", met = met && seen <= reference)
}

private fun latencyCheck(
    target: String,
    seen: Quantiles,
    reference: Quantiles?,
    factor: Double,
): TargetCheck {
    if (reference == null) return unchecked(target, "the reference was not run")
    val text = "p99 ${seen.p99Millis} ms, reference ${reference.p99Millis} ms"
    return TargetCheck(target, text, seen.p99Millis <= reference.p99Millis * factor)
}

private fun unchecked(
    target: String,
    reason: String,
) = TargetCheck(target, reason, met = null)

private const val COST_TARGET = "cost at the quality target at most 60 % of always-strongest"
private const val EXPOSURE_TARGET = "exposed to a bad version at most a quarter of a fixed five-minute window's"
private const val COST_SHARE = 0.6
private const val EXPOSURE_SHARE = 0.25
private const val ZONE_LATENCY_FACTOR = 2.0
private const val FAST_READERS_FACTOR = 1.1
private const val SMALL_ORGANISATIONS_FACTOR = 1.2
private const val PERCENT = 100.0
