/*
 * Runs the selected policies on the same trace, runs the reference trace that the targets need, and builds the report.
 */
package io.carawaytrack.replay

/** Holds the report of a replay and the runs that it summarizes. */
internal class Replay(
    val report: Report,
    val runs: List<RunResult>,
)

/** Simulates [trace] with the policies named in [policyNames] and always with the current policy. */
internal fun replay(
    trace: Trace,
    seed: Long,
    policyNames: Set<String> = policies.map { it.name }.toSet(),
): Replay {
    val runs = policies.filter { it == currentPolicy || it.name in policyNames }.map { simulate(trace, it, seed) }
    val measures = runs.map(::measure)
    val reference = referenceTraceOf(trace)?.let { measure(simulate(it, currentPolicy, seed)) }
    val inputs = TargetInputs(trace.header.scenario, measures.associateBy { it.policy }, reference)
    return Replay(Report(trace.header, seed, measures, reference, checkTargets(inputs)), runs)
}
