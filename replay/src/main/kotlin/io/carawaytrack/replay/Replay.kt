/*
 * One replay: every policy on the same trace, the reference run that the trace's targets need, and the report.
 */
package io.carawaytrack.replay

/** Holds the report of a replay and the runs behind it. */
internal class Replay(
    val report: Report,
    val runs: List<RunResult>,
)

/** Plays [trace] with those of the policies whose name is in [names]; the current one always runs. */
internal fun replay(
    trace: Trace,
    seed: Long,
    names: Set<String> = policies.map { it.name }.toSet(),
): Replay {
    val runs = policies.filter { it == currentPolicy || it.name in names }.map { simulate(trace, it, seed) }
    val measures = runs.map(::measure)
    val reference = referenceOf(trace)?.let { measure(simulate(it, currentPolicy, seed)) }
    val inputs = TargetInputs(trace.header.scenario, measures.associateBy { it.policy }, reference)
    return Replay(Report(trace.header, seed, measures, reference, checkTargets(inputs)), runs)
}
