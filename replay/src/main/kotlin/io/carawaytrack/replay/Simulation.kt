/*
 * Plays one trace against one policy: entries, agents and control hosts as small stand-ins around the decision code,
 * and the events of the trace's scenario.
 */
package io.carawaytrack.replay

import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.UpstreamId
import kotlin.random.Random

/**
 * Holds what came out of one run.
 *
 * @property doneTokens tokens of work that each upstream did
 * @property refusedAtGate requests that an agent turned away because the entry had thought it had room
 * @property tippedOver times that a cold engine got more than it can bear
 */
internal class RunResult(
    val policy: String,
    val trace: Trace,
    val outcomes: List<Outcome>,
    val doneTokens: Map<UpstreamId, Double>,
    val refusedAtGate: Int,
    val tippedOver: Int,
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
    private val world = World(spec, events, seed)
    private val random = Random(seed)
    private val entries =
        spec.zones.map { zone ->
            EntryModel(
                zone = zone,
                planner = policy.planner(Random(random.nextLong())),
                chooser = policy.chooser(zone, { events.nowMillis.toLong() }, Random(random.nextLong())),
                world = world,
                onObservation = { version, observation -> rollouts.observe(version, observation) },
            )
        }
    private val control = ControlModel(world, entries, Random(random.nextLong()))
    private val rollouts: RolloutDriver = RolloutDriver(world, control, policy.rolloutRule)
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
            outcomes = world.outcomes.filter { it.request.atMillis >= trace.header.warmUpMillis } + unfinished(),
            doneTokens = world.agents.mapValues { it.value.engine.doneTokens },
            refusedAtGate = world.agents.values.sumOf { it.refused },
            tippedOver = world.agents.values.sumOf { it.engine.tippedOver },
        )
    }

    /** Counts requests that never ended as failed. */
    private fun unfinished(): List<Outcome> {
        val ended = world.outcomes.map { it.request.id }.toSet()
        return trace.requests
            .filter { it.id !in ended && it.atMillis >= trace.header.warmUpMillis }
            .map { Outcome(it, Ending.Failed, DRAIN_MILLIS, DRAIN_MILLIS, 0.0, 0.0, emptyList(), exposed = false) }
    }

    private fun scheduleScenario() {
        when (trace.header.scenario) {
            Scenario.ZoneOut -> scheduleZoneMove()
            Scenario.ColdStart -> scheduleRestarts()
            Scenario.BadAtTen -> scheduleBadRollout(percent = 10)
            Scenario.BadAtFifty -> scheduleBadRollout(percent = 50)
            else -> Unit
        }
    }

    private fun scheduleBadRollout(percent: Int) {
        measuredAt(0) { rollouts.start(percent, trace.header.endMillis.toDouble()) }
        measuredAt(BAD_MILLIS) { world.bad += spec.rolloutTo }
    }

    private fun scheduleZoneMove() {
        val zone = spec.zoneToLose
        measuredAt(OUT_MILLIS) { control.change { it.copy(zonesOut = it.zonesOut + zone) } }
        measuredAt(BACK_MILLIS) {
            world.agents.values
                .filter { it.spec.zone == zone }
                .forEach { it.restart() }
            control.change { it.copy(zonesOut = it.zonesOut - zone) }
        }
    }

    /** Restarts every third model upstream without warning, and later every third again, shifted by one. */
    private fun scheduleRestarts() {
        val models = world.agents.values.filter { agent -> agent.spec.versions.any { it in modelVersions() } }
        measuredAt(OUT_MILLIS) { models.filterIndexed { index, _ -> index % RESTARTED == 0 }.forEach { it.restart() } }
        measuredAt(BACK_MILLIS) { models.filterIndexed { index, _ -> index % RESTARTED == 1 }.forEach { it.restart() } }
    }

    private fun modelVersions() = spec.pools
        .filter { it.kind == ServiceKind.Model }
        .flatMap { it.members }
        .map { it.version }
        .toSet()

    private fun measuredAt(
        millis: Long,
        action: () -> Unit,
    ) = events.at((trace.header.warmUpMillis + millis).toDouble(), action)

    private companion object {
        const val DRAIN_MILLIS = 120_000.0
        const val BAD_MILLIS = 30_000L
        const val OUT_MILLIS = 120_000L
        const val BACK_MILLIS = 300_000L
        const val RESTARTED = 3
    }
}
