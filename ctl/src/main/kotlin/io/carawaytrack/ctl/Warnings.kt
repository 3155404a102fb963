/*
 * Warnings about effects of an accepted change that its operator may not have intended. Control accepts names that no
 * process or upstream has at the moment, because a zone may be taken out before its first process starts; a misspelt
 * name looks the same.
 */
package io.carawaytrack.ctl

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ConfigurationChange
import io.carawaytrack.model.StatusReport
import io.carawaytrack.tables.checkVersionStates
import kotlinx.coroutines.withTimeoutOrNull

/** Time limit for collecting warnings. */
private const val WARNINGS_TIMEOUT_MILLIS = 1_000L

/** Returns warnings about the accepted [change]; empty when control does not answer in time. */
internal suspend fun AdminClient.warningsAbout(change: ConfigurationChange): List<String> =
    withTimeoutOrNull(WARNINGS_TIMEOUT_MILLIS) { unknownNames(change) + unservedRoutes(change) }.orEmpty()

private suspend fun AdminClient.unknownNames(change: ConfigurationChange): List<String> = when (change) {
    is ConfigurationChange.SetZone,
    is ConfigurationChange.SetUpstream,
    is ConfigurationChange.SetVersion,
    -> status().map { listOfNotNull(unknownName(change, it)) }.fold({ it }, { emptyList() })
    else -> emptyList()
}

private fun unknownName(
    change: ConfigurationChange,
    status: StatusReport,
): String? = when (change) {
    is ConfigurationChange.SetZone -> {
        val zones = status.holders.map { it.zone } + status.upstreams.map { it.zone }
        "no process is in zone ${change.zone}".takeIf { change.zone !in zones }
    }
    is ConfigurationChange.SetUpstream ->
        "no upstream ${change.upstream} is announced".takeIf {
            status.upstreams.none {
                it.upstream ==
                    change.upstream
            }
        }
    is ConfigurationChange.SetVersion ->
        "no upstream serves ${change.version}".takeIf { status.upstreams.none { change.version in it.versions } }
    else -> null
}

private suspend fun AdminClient.unservedRoutes(change: ConfigurationChange): List<String> = when (change) {
    is ConfigurationChange.SetVersion,
    is ConfigurationChange.ApplyTables,
    is ConfigurationChange.RollbackTo,
    -> configuration().map(::unservedRoutes).fold({ it }, { emptyList() })
    else -> emptyList()
}

private fun unservedRoutes(configuration: Configuration): List<String> =
    checkVersionStates(configuration.tables, configuration::stateOf)
        .map { "a route is left without an allowed serving version: $it" }
