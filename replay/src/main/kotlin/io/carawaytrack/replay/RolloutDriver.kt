/*
 * Drives a rollout through its stages as control hosts would: aggregates the observations of all entries, evaluates the
 * rule once a second and updates the configuration.
 */
package io.carawaytrack.replay

import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.Rollout
import io.carawaytrack.model.RolloutPhase
import io.carawaytrack.model.VersionState
import io.carawaytrack.routing.Observation
import io.carawaytrack.routing.RolloutDecision
import io.carawaytrack.routing.RolloutEvaluator
import io.carawaytrack.routing.RolloutEvidence
import io.carawaytrack.routing.VersionTally

/** Decides on a rollout from the evidence of each period of its stage and the age of the stage in milliseconds. */
internal typealias RolloutRule = (List<RolloutEvidence>, Double) -> RolloutDecision

/** Evaluates the sequential test once a second. */
internal val sequentialRule: RolloutRule =
    RolloutEvaluator().let { evaluator ->
        { periods, _ -> evaluator.evaluate(periods) }
    }

/** Compares the mean ratings once, five minutes after the start of a stage. */
internal val fixedWindowRule: RolloutRule = { periods, ageMillis ->
    val evidence = periods.fold(RolloutEvidence()) { sum, period -> sum + period }
    when {
        ageMillis < FIXED_WINDOW_MILLIS -> RolloutDecision.Continue
        meanRating(evidence.to) < meanRating(evidence.from) - FIXED_WINDOW_MAX_RATING_LOSS -> RolloutDecision.RollBack
        else -> RolloutDecision.Advance
    }
}

internal class RolloutDriver(
    private val state: SimulationState,
    private val control: ControlModel,
    private val rule: RolloutRule,
) {
    private val events = state.events
    private val periods = ArrayDeque<RolloutEvidence>()
    private var periodStartMillis = 0.0
    private var rollout: Rollout? = null
    private var stagePercent = 0
    private var stageStartMillis = 0.0

    fun start(
        percent: Int,
        untilMillis: Double,
    ) {
        enter(state.spec.rollout.copy(percent = percent, phase = RolloutPhase.Running))
        events.every(EVALUATION_INTERVAL_MILLIS, untilMillis) { evaluate() }
    }

    fun observe(
        version: ModelVersion,
        observation: Observation,
    ) {
        val running = rollout ?: return
        val period = periods.last()
        periods[periods.lastIndex] =
            when (version) {
                running.from -> period.copy(from = period.from.plus(observation, SLOW_MILLIS_PER_TOKEN))
                running.to -> period.copy(to = period.to.plus(observation, SLOW_MILLIS_PER_TOKEN))
                else -> period
            }
    }

    private fun evaluate() {
        val current = rollout ?: return
        if (current.phase == RolloutPhase.RolledBack || current.phase == RolloutPhase.Completed) return
        if (events.nowMillis - periodStartMillis >= PERIOD_MILLIS) beginPeriod()
        when (rule(periods, events.nowMillis - stageStartMillis)) {
            RolloutDecision.Continue -> setPercent(current, stagePercent)
            RolloutDecision.Hold -> setPercent(current, percent = 0)
            RolloutDecision.Advance -> advance(current)
            RolloutDecision.RollBack -> rollBack(current)
        }
    }

    private fun advance(current: Rollout) {
        val next = STAGES.firstOrNull { it > stagePercent }
        if (next == null) update(current.copy(phase = RolloutPhase.Completed)) else enter(current.copy(percent = next))
    }

    private fun rollBack(current: Rollout) {
        update(current.copy(phase = RolloutPhase.RolledBack))
        control.updateConfiguration {
            it.copy(versionStates = it.versionStates + (current.to.toString() to VersionState.Withdrawn))
        }
    }

    private fun enter(stage: Rollout) {
        periods.clear()
        beginPeriod()
        stagePercent = stage.percent
        stageStartMillis = events.nowMillis
        update(stage)
    }

    /** Begins a period; merges the two oldest when there are more than [MAX_PERIODS], to bound their number. */
    private fun beginPeriod() {
        periodStartMillis = events.nowMillis
        periods.addLast(RolloutEvidence())
        if (periods.size > MAX_PERIODS) periods.addFirst(periods.removeFirst() + periods.removeFirst())
    }

    private fun setPercent(
        current: Rollout,
        percent: Int,
    ) {
        if (current.percent != percent) update(current.copy(percent = percent))
    }

    private fun update(updated: Rollout) {
        rollout = updated
        control.updateConfiguration { configuration: Configuration -> configuration.copy(rollouts = listOf(updated)) }
    }

    private companion object {
        const val EVALUATION_INTERVAL_MILLIS = 1_000.0
        const val PERIOD_MILLIS = 30_000.0
        const val MAX_PERIODS = 6
        const val SLOW_MILLIS_PER_TOKEN = 80.0
        val STAGES = listOf(1, 10, 50)
    }
}

private fun meanRating(tally: VersionTally): Double = if (tally.ratings == 0L) 1.0 else tally.ratingSum / tally.ratings

private const val FIXED_WINDOW_MILLIS = 300_000.0
private const val FIXED_WINDOW_MAX_RATING_LOSS = 0.05
