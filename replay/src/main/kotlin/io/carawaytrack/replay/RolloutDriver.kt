/*
 * Moves a roll-out through its stages by a rule, as control hosts would: it adds up what all entries saw, asks the rule
 * once a second and changes the configuration.
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

/** Decides on a roll-out from the evidence of each period of its stage and the age of the stage in milliseconds. */
internal typealias RolloutRule = (List<RolloutEvidence>, Double) -> RolloutDecision

/** Judges after every second by the sequential test. */
internal val sequentialRule: RolloutRule =
    RolloutEvaluator().let { evaluator ->
        { periods, _ -> evaluator.evaluate(periods) }
    }

/** Judges once, five minutes after a stage began, by the means. */
internal val fixedWindowRule: RolloutRule = { periods, ageMillis ->
    val evidence = periods.fold(RolloutEvidence()) { sum, period -> sum + period }
    when {
        ageMillis < FIXED_WINDOW_MILLIS -> RolloutDecision.Continue
        meanRating(evidence.to) < meanRating(evidence.from) - FIXED_WINDOW_LOSS -> RolloutDecision.RollBack
        else -> RolloutDecision.Advance
    }
}

internal class RolloutDriver(
    private val world: World,
    private val control: ControlModel,
    private val rule: RolloutRule,
) {
    private val events = world.events
    private val periods = ArrayDeque<RolloutEvidence>()
    private var periodAtMillis = 0.0
    private var rollout: Rollout? = null
    private var stagePercent = 0
    private var stageAtMillis = 0.0

    fun start(
        percent: Int,
        untilMillis: Double,
    ) {
        enter(world.spec.rollout.copy(percent = percent, phase = RolloutPhase.Running))
        events.every(JUDGE_MILLIS, untilMillis) { judge() }
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

    private fun judge() {
        val current = rollout ?: return
        if (current.phase == RolloutPhase.RolledBack || current.phase == RolloutPhase.Completed) return
        if (events.nowMillis - periodAtMillis >= PERIOD_MILLIS) beginPeriod()
        when (rule(periods, events.nowMillis - stageAtMillis)) {
            RolloutDecision.Continue -> setPercent(current, stagePercent)
            RolloutDecision.Hold -> setPercent(current, percent = 0)
            RolloutDecision.Advance -> advance(current)
            RolloutDecision.RollBack -> rollBack(current)
        }
    }

    private fun advance(current: Rollout) {
        val next = STAGES.firstOrNull { it > stagePercent }
        if (next == null) set(current.copy(phase = RolloutPhase.Completed)) else enter(current.copy(percent = next))
    }

    private fun rollBack(current: Rollout) {
        set(current.copy(phase = RolloutPhase.RolledBack))
        control.change { it.copy(versionStates = it.versionStates + (current.to.toString() to VersionState.Withdrawn)) }
    }

    private fun enter(stage: Rollout) {
        periods.clear()
        beginPeriod()
        stagePercent = stage.percent
        stageAtMillis = events.nowMillis
        set(stage)
    }

    /** Opens a period; the oldest ones grow into one, so that their number stays bounded. */
    private fun beginPeriod() {
        periodAtMillis = events.nowMillis
        periods.addLast(RolloutEvidence())
        if (periods.size > PERIODS_KEPT) periods.addFirst(periods.removeFirst() + periods.removeFirst())
    }

    private fun setPercent(
        current: Rollout,
        percent: Int,
    ) {
        if (current.percent != percent) set(current.copy(percent = percent))
    }

    private fun set(changed: Rollout) {
        rollout = changed
        control.change { configuration: Configuration -> configuration.copy(rollouts = listOf(changed)) }
    }

    private companion object {
        const val JUDGE_MILLIS = 1_000.0
        const val PERIOD_MILLIS = 30_000.0
        const val PERIODS_KEPT = 6
        const val SLOW_MILLIS_PER_TOKEN = 80.0
        val STAGES = listOf(1, 10, 50)
    }
}

private fun meanRating(tally: VersionTally): Double = if (tally.ratings == 0L) 1.0 else tally.ratingSum / tally.ratings

private const val FIXED_WINDOW_MILLIS = 300_000.0
private const val FIXED_WINDOW_LOSS = 0.05
