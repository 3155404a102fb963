/*
 * Final admission check before an attempt reaches the upstream. It repeats the checks of the entry, whose configuration
 * may be older than this agent's and whose process may have been suspended between its decision and the send.
 */
package io.carawaytrack.agent

import io.carawaytrack.membership.Lease
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.VersionState
import io.carawaytrack.model.ZoneName
import io.carawaytrack.model.notRun
import io.carawaytrack.wire.OpenAttempt

private const val RETRY_AFTER_MILLIS = 200L

/** Decides whether an attempt may go to the upstream of this agent. */
internal class AdmissionCheck(
    private val upstream: UpstreamId,
    private val zone: ZoneName,
    private val versions: List<ModelVersion>,
    private val lease: Lease,
    private val configuration: () -> Configuration,
) {
    /** Set when a planned shutdown begins; every attempt is refused from then on. */
    @Volatile
    var shuttingDown: Boolean = false

    /** Returns why [attempt] may not run, or null when it may. */
    fun refusal(attempt: OpenAttempt): Failure? {
        val inForce = configuration()
        return when {
            shuttingDown -> ErrorKind.ShuttingDown.notRun(retryAfterMillis = 0)
            !lease.held -> ErrorKind.ControlUnavailable.notRun("expected a lease, the agent of $upstream holds none")
            !inForce.inService(upstream, zone) -> outOfService()
            attempt.version !in versions ->
                ErrorKind.NoHealthyUpstream.notRun("$upstream does not serve ${attempt.version}")
            else -> versionRefusal(inForce, attempt) ?: organisationRefusal(inForce, attempt)
        }
    }

    private fun outOfService() =
        ErrorKind.NoHealthyUpstream.notRun("$upstream in $zone is out of service", RETRY_AFTER_MILLIS)

    private fun versionRefusal(
        inForce: Configuration,
        attempt: OpenAttempt,
    ): Failure? = when (inForce.stateOf(attempt.version)) {
        VersionState.Serving -> null
        VersionState.Draining ->
            if (attempt.pinned) null else ErrorKind.StaleConfiguration.notRun("${attempt.version} is draining")
        VersionState.Withdrawn -> ErrorKind.StaleConfiguration.notRun("${attempt.version} is withdrawn")
    }

    private fun organisationRefusal(
        inForce: Configuration,
        attempt: OpenAttempt,
    ): Failure? {
        val organisation = inForce.tables.organisations.find { it.name == attempt.organisation }
        if (organisation != null && organisation.allows(attempt.version)) return null
        return ErrorKind.NotAllowed.notRun("${attempt.organisation} does not allow ${attempt.version}")
    }
}
