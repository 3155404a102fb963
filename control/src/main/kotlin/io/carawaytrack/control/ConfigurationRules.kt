/*
 * Applies changes to a configuration. The functions are pure and deterministic, since every control host applies the
 * same changes in the same order and must arrive at the same configuration.
 */
package io.carawaytrack.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ConfigurationChange
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.Rollout
import io.carawaytrack.model.RolloutPhase
import io.carawaytrack.model.VersionState
import io.carawaytrack.model.notRun

private const val MAX_PERCENT = 100

/**
 * Returns the configuration after [change], with its number incremented by one. Fails with `NotFound` for a name that
 * does not exist or a configuration that is not retained, and with `MalformedRequest` for a percentage out of range.
 * [configurationAt] returns the retained configuration with the given number, or null if there is none.
 */
internal fun Configuration.after(
    change: ConfigurationChange,
    configurationAt: (Long) -> Configuration?,
): Result<Configuration, Failure> {
    val changed =
        when (change) {
            is ConfigurationChange.ApplyTables -> Ok(copy(tables = change.tables))
            is ConfigurationChange.SetZone -> Ok(copy(zonesOut = zonesOut.withItem(change.zone, !change.inService)))
            is ConfigurationChange.SetUpstream ->
                Ok(copy(upstreamsOut = upstreamsOut.withItem(change.upstream, !change.inService)))
            is ConfigurationChange.SetVersion -> Ok(withVersion(change.version, change.state))
            is ConfigurationChange.SetRollout -> withRollout(change.rollout)
            is ConfigurationChange.AdvanceRollout -> withRolloutPhase(change)
            is ConfigurationChange.RollbackTo -> previousConfiguration(change.number, configurationAt)
        }
    return changed.map { it.copy(number = number + 1) }
}

private fun <T> Set<T>.withItem(
    item: T,
    present: Boolean,
): Set<T> = if (present) this + item else this - item

private fun Configuration.withVersion(
    version: ModelVersion,
    state: VersionState,
): Configuration {
    val name = version.toString()
    if (state == VersionState.Serving) return copy(versionStates = versionStates - name)
    return copy(versionStates = versionStates + (name to state))
}

private fun Configuration.withRollout(rollout: Rollout): Result<Configuration, Failure> {
    val pool = tables.pools.find { it.name == rollout.pool } ?: return notFound("pool", rollout.pool)
    val members = pool.members.map { it.version }
    if (rollout.percent !in 0..MAX_PERCENT) return percentOutOfRange(rollout.percent)
    if (rollout.from !in members) return notFound("version in pool ${pool.name}", rollout.from)
    if (rollout.to !in members) return notFound("version in pool ${pool.name}", rollout.to)
    return Ok(copy(rollouts = rollouts.filterNot { it.name == rollout.name } + rollout))
}

private fun Configuration.withRolloutPhase(
    change: ConfigurationChange.AdvanceRollout,
): Result<Configuration, Failure> {
    val rollout = rollouts.find { it.name == change.name } ?: return notFound("roll-out", change.name)
    val percent =
        when (change.phase) {
            RolloutPhase.Completed -> MAX_PERCENT
            RolloutPhase.RolledBack -> 0
            RolloutPhase.Running, RolloutPhase.Paused -> change.percent ?: rollout.percent
        }
    if (percent !in 0..MAX_PERCENT) return percentOutOfRange(percent)
    val updated = rollout.copy(phase = change.phase, percent = percent)
    return Ok(copy(rollouts = rollouts.map { if (it.name == change.name) updated else it }))
}

private fun previousConfiguration(
    number: Long,
    configurationAt: (Long) -> Configuration?,
): Result<Configuration, Failure> {
    val previous = configurationAt(number) ?: return notFound("retained configuration", number)
    return Ok(previous)
}

private fun notFound(
    what: String,
    name: Any,
): Result<Nothing, Failure> = Err(ErrorKind.NotFound.notRun("expected an existing $what, got $name"))

private fun percentOutOfRange(percent: Int): Result<Nothing, Failure> =
    Err(ErrorKind.MalformedRequest.notRun("expected a percentage from 0 to $MAX_PERCENT, got $percent"))
