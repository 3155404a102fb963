/*
 * The report of a replay, as human-readable text or as JSON.
 */
package io.carawaytrack.replay

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Measures and target checks of the runs on one trace. */
@Serializable
public data class Report(
    val header: TraceHeader,
    val seed: Long,
    val measures: List<Measures>,
    val reference: Measures?,
    val targets: List<TargetCheck>,
)

private val prettyJson = Json { prettyPrint = true }

internal fun Report.asJson(): String = prettyJson.encodeToString(Report.serializer(), this)

internal fun Report.asText(): String = buildString {
    val origin = if (header.origin == TraceOrigin.Seed) "generated from seed ${header.seed}" else "recorded"
    appendLine(
        "${header.deployment.name.lowercase()}, ${header.scenario.commandLineName}, trace $origin, " +
            "simulated with seed $seed",
    )
    appendLine(TABLE_HEADER)
    measures.forEach { appendLine(row(it.policy, it)) }
    reference?.let { appendLine(row("(reference)", it)) }
    measures.firstOrNull()?.let { append(routeLines(it)) }
    targets.forEach { appendLine("${statusLabel(it)}: ${it.target}: ${it.seen}") }
}

private fun row(
    name: String,
    measures: Measures,
): String = ROW_FORMAT.format(
    name,
    measures.requests,
    measures.refused,
    measures.failed,
    measures.cost,
    if (measures.qualityMet) "met" else "missed",
    measures.latency.p50Millis,
    measures.latency.p99Millis,
    measures.firstToken.p50Millis,
    measures.firstToken.p99Millis,
    measures.exposed,
    measures.rejectedByAgents,
    measures.coldOverloads,
    measures.peakUtilization,
)

private fun routeLines(measures: Measures): String = measures.routes.joinToString("") {
    "  %s on %-12s quality %.3f of %.2f, cost %.3f, %d requests%n"
        .format(measures.policy, it.route, it.meanQuality, it.targetQuality, it.meanCost, it.requests)
}

private fun statusLabel(check: TargetCheck): String = when (check.met) {
    true -> "MET"
    false -> "MISSED"
    null -> "NOT CHECKED"
}

private const val TABLE_HEADER =
    "policy            requests refused failed    cost quality  p50 ms  p99 ms  first50  first99 exposed" +
        "  gate-refused tipped busy"
private const val ROW_FORMAT = "%-17s %8d %7d %6d %7.3f %7s %7d %7d %8d %8d %7d %13d %6d %.2f"
