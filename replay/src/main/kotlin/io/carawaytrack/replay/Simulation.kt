/*
 * Discrete-event simulation of one trace under one policy: simplified models of entries, agents and control hosts
 * around the production decision code, plus the events of the trace's scenario.
 */
package io.carawaytrack.replay

import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.UpstreamId
import kotlin.random.Random

/**
 * Result of one simulation run.
 *
 * @property processedTokens tokens processed by each upstream, including prompt tokens weighted by their prefill cost
 * @property rejectedByAgents requests that agents rejected because the entry's view of their load was outdated
 * @property coldOverloads times that a cold engine exceeded its stream limit and restarted
 */
internal class RunResult(
    val policy: String,
    val trace: Trace,
    val outcomes: List<Outcome>,
    val processedTokens: Map<UpstreamId, Double>,
    val rejectedByAgents: Int,
    val coldOverloads: Int,
)

internal fun simulate(
    trace: Trace,
    policy: Policy,
    seed: Long,
): RunResult = Simulation(trace, policy, seed).run()

private class Simulation(
    private val trace: Trace,
    private val policy: Policy,
    private val seed: Long,
) {
    private val spec = specOf(trace.header.deployment)
    private val events = EventQueue()
    private val state = SimulationState(spec, events, seed)
    private val random = Random(seed)
    private val entries =
        spec.zones.map { zone ->
            EntryModel(
                zone = zone,
                planner = policy.planner(Random(random.nextLong())),
                chooser = policy.chooser(zone, { events.nowMillis.toLong() }, Random(random.nextLong())),
                state = state,
                onObservation = { version, observation -> rollouts.observe(version, observation) },
            )
        }
    private val control = ControlModel(state, entries, Random(random.nextLong()))
    private val rollouts: RolloutDriver = RolloutDriver(state, control, policy.rolloutRule)
    private val balancer = Random(random.nextLong())

    fun run(): RunResult {
        val untilMillis = trace.header.endMillis + DRAIN_MILLIS
        control.start(untilMillis)
        scheduleScenario()
        trace.requests.forEach { request ->
            events.at(request.atMillis.toDouble()) { entries.random(balancer).submit(request) }
        }
        events.run(untilMillis)
        return RunResult(
            policy = policy.name,
            trace = trace,
            outcomes = state.outcomes.filter { it.request.atMillis >= trace.header.warmUpMillis } + unfinished(),
            processedTokens = state.agents.mapValues { it.value.engine.processedTokens },
            rejectedByAgents = state.agents.values.sumOf { it.rejected },
            coldOverloads = state.agents.values.sumOf { it.engine.coldOverloads },
        )
    }

    /** Returns a failed outcome for each measured request that was still unfinished after the drain time. */
    private fun unfinished(): List<Outcome> {
        val ended = state.outcomes.map { it.request.id }.toSet()
        return trace.requests
            .filter { it.id !in ended && it.atMillis >= trace.header.warmUpMillis }
            .map {
                Outcome(it, OutcomeStatus.Failed, DRAIN_MILLIS, DRAIN_MILLIS, 0.0, 0.0, emptyList(), exposed = false)
            }
    }

    private fun scheduleScenario() {
        when (trace.header.scenario) {
            Scenario.ZoneOut -> scheduleZoneOutage()
            Scenario.ColdStart -> scheduleRestarts()
            Scenario.BadAtTen -> scheduleDegradedRollout(percent = 10)
            Scenario.BadAtFifty -> scheduleDegradedRollout(percent = 50)
            else -> Unit
        }
    }

    private fun scheduleDegradedRollout(percent: Int) {
        afterWarmUp(0) { rollouts.start(percent, trace.header.endMillis.toDouble()) }
        afterWarmUp(DEGRADATION_MILLIS) { state.degradedVersions += spec.rolloutTo }
    }

    private fun scheduleZoneOutage() {
        val zone = spec.outageZone
        afterWarmUp(FIRST_CHANGE_MILLIS) { control.updateConfiguration { it.copy(zonesOut = it.zonesOut + zone) } }
        afterWarmUp(SECOND_CHANGE_MILLIS) {
            state.agents.values
                .filter { it.spec.zone == zone }
                .forEach { it.restart() }
            control.updateConfiguration { it.copy(zonesOut = it.zonesOut - zone) }
        }
    }

    /** Restarts every third model upstream without prior notice, and later the upstreams that follow these in order. */
    private fun scheduleRestarts() {
        val models = state.agents.values.filter { agent -> agent.spec.versions.any { it in modelVersions() } }
        afterWarmUp(FIRST_CHANGE_MILLIS) {
            models.filterIndexed { index, _ -> index % RESTART_STRIDE == 0 }.forEach { it.restart() }
        }
        afterWarmUp(SECOND_CHANGE_MILLIS) {
            models.filterIndexed { index, _ -> index % RESTART_STRIDE == 1 }.forEach { it.restart() }
        }
    }

    private fun modelVersions() = spec.pools
        .filter { it.kind == ServiceKind.Model }
        .flatMap { it.members }
        .map { it.version }
        .toSet()

    private fun afterWarmUp(
        offsetMillis: Long,
        action: () -> Unit,
    ) = events.at((trace.header.warmUpMillis + offsetMillis).toDouble(), action)

    private companion object {
        const val DRAIN_MILLIS = 120_000.0
        const val DEGRADATION_MILLIS = 30_000L
        const val FIRST_CHANGE_MILLIS = 120_000L
        const val SECOND_CHANGE_MILLIS = 300_000L
        const val RESTART_STRIDE = 3
    }
}
