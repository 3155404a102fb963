/*
 * What each change does to a configuration. Pure and deterministic: every control host applies the same changes in the
 * same order.
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

private const val WHOLE_PERCENT = 100

/**
 * Returns the configuration after [change], under the next number. Fails with `NotFound` for a name that does not
 * exist and with `MalformedRequest` for a value out of range; [keptAt] returns a configuration that was in force.
 */
internal fun Configuration.after(
    change: ConfigurationChange,
    keptAt: (Long) -> Configuration?,
): Result<Configuration, Failure> {
    val changed =
        when (change) {
            is ConfigurationChange.ApplyTables -> Ok(copy(tables = change.tables))
            is ConfigurationChange.SetZone -> Ok(copy(zonesOut = zonesOut.with(change.zone, !change.inService)))
            is ConfigurationChange.SetUpstream ->
                Ok(copy(upstreamsOut = upstreamsOut.with(change.upstream, !change.inService)))
            is ConfigurationChange.SetVersion -> Ok(withVersion(change.version, change.state))
            is ConfigurationChange.SetRollout -> withRollout(change.rollout)
            is ConfigurationChange.AdvanceRollout -> advanced(change)
            is ConfigurationChange.RollbackTo -> rolledBack(change.number, keptAt)
        }
    return changed.map { it.copy(number = number + 1) }
}

private fun <T> Set<T>.with(
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
    val pool = tables.pools.find { it.name == rollout.pool } ?: return missing("pool", rollout.pool)
    val members = pool.members.map { it.version }
    if (rollout.percent !in 0..WHOLE_PERCENT) return percentOutOfRange(rollout.percent)
    if (rollout.from !in members) return missing("version in pool ${pool.name}", rollout.from)
    if (rollout.to !in members) return missing("version in pool ${pool.name}", rollout.to)
    return Ok(copy(rollouts = rollouts.filterNot { it.name == rollout.name } + rollout))
}

private fun Configuration.advanced(change: ConfigurationChange.AdvanceRollout): Result<Configuration, Failure> {
    val rollout = rollouts.find { it.name == change.name } ?: return missing("roll-out", change.name)
    val percent =
        when (change.phase) {
            RolloutPhase.Completed -> WHOLE_PERCENT
            RolloutPhase.RolledBack -> 0
            RolloutPhase.Running, RolloutPhase.Paused -> change.percent ?: rollout.percent
        }
    if (percent !in 0..WHOLE_PERCENT) return percentOutOfRange(percent)
    val moved = rollout.copy(phase = change.phase, percent = percent)
    return Ok(copy(rollouts = rollouts.map { if (it.name == change.name) moved else it }))
}

private fun rolledBack(
    number: Long,
    keptAt: (Long) -> Configuration?,
): Result<Configuration, Failure> {
    val earlier = keptAt(number) ?: return missing("kept configuration", number)
    return Ok(earlier)
}

private fun missing(
    what: String,
    name: Any,
): Result<Nothing, Failure> = Err(ErrorKind.NotFound.notRun("expected a $what, $name does not exist"))

private fun percentOutOfRange(percent: Int): Result<Nothing, Failure> =
    Err(ErrorKind.MalformedRequest.notRun("expected a percentage from 0 to $WHOLE_PERCENT, got $percent"))
