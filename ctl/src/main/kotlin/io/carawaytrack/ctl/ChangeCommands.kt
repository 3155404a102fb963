/*
 * Commands that change the configuration in force. Each submits one change; with `--wait` it then polls the status
 * until every process holds the change.
 */
package io.carawaytrack.ctl

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import io.carawaytrack.model.ChangeRequest
import io.carawaytrack.model.ConfigurationChange
import io.carawaytrack.model.HolderStatus
import io.carawaytrack.model.IN_FORCE_BOUND_MILLIS
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.Rollout
import io.carawaytrack.model.RolloutPhase
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.VersionState
import io.carawaytrack.model.ZoneName
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters

/** Delay between two polls of the status with `--wait`. */
private const val POLL_INTERVAL_MILLIS = 200L

private val percentRange = 0..100

/** Holds the options that all commands for changes share. */
internal class ChangeOptions {
    @Option(
        names = ["--base"],
        paramLabel = "N",
        description = ["Number of the configuration you saw; refused when another change has been accepted since."],
    )
    var base: Long? = null

    @Option(
        names = ["--operation-id"],
        paramLabel = "ID",
        description = [
            "Identifies the change; to retry a change, give the id of the earlier attempt (default: a new id).",
        ],
    )
    var operationId: String? = null

    @Option(
        names = ["--wait"],
        description = [
            "Waits until every process has the change, at most $IN_FORCE_BOUND_MILLIS ms;",
            "fails and names the processes that are behind.",
        ],
    )
    var wait: Boolean = false
}

/**
 * Reports an accepted change.
 *
 * @property inForce whether every process holds it; null without `--wait`
 * @property behind processes that did not hold it at the last poll
 * @property lastError why the last poll of the status failed, null when it succeeded
 * @property warnings effects of the change that the operator may not have intended
 */
@Serializable
internal data class ChangeReport(
    val operationId: String,
    val number: Long,
    val repeated: Boolean,
    val inForce: Boolean? = null,
    val behind: List<HolderStatus> = emptyList(),
    val lastError: String? = null,
    val warnings: List<String> = emptyList(),
)

/** Submits one change. */
internal abstract class ChangeCommand : Action {
    @Mixin
    lateinit var options: ChangeOptions

    /** Returns the change that the command line describes. */
    abstract fun change(): Result<ConfigurationChange, CtlError>

    override suspend fun run(session: Session): Result<Report, CtlError> {
        val client = session.client().getOrElse { return Err(it) }
        val request = request(session).getOrElse { return Err(it) }
        val reply = client.change(request).getOrElse { return Err(it) }
        val accepted = ChangeReport(request.operationId, reply.number, reply.repeated)
        val result = if (options.wait) client.awaitInForce(accepted) else accepted
        if (result.inForce == false) return Ok(notInForceReport(result))
        return Ok(acceptedReport(result.copy(warnings = client.warningsAbout(request.change))))
    }

    private fun request(session: Session): Result<ChangeRequest, CtlError> = change().map { change ->
        ChangeRequest(
            operationId = options.operationId ?: session.context.newOperationId(),
            baseNumber = options.base,
            change = change,
        )
    }
}

private fun acceptedReport(accepted: ChangeReport): Report {
    val inForce = if (accepted.inForce == true) ", in force everywhere" else ""
    val repeated = if (accepted.repeated) " (accepted before under this operation id)" else ""
    val lines = listOf("configuration ${accepted.number}$inForce$repeated") + accepted.warnings.map { "warning: $it" }
    return Report(accepted, lines.joinToString("\n"))
}

private fun notInForceReport(accepted: ChangeReport): Report {
    val reason = accepted.lastError ?: behindText(accepted.behind)
    val text = "configuration ${accepted.number}, not in force everywhere after $IN_FORCE_BOUND_MILLIS ms; $reason"
    return Report(accepted, text, ExitCode.NotInForce)
}

/** Polls the status until every process holds the change or the time limit of [IN_FORCE_BOUND_MILLIS] is over. */
private suspend fun AdminClient.awaitInForce(accepted: ChangeReport): ChangeReport {
    var last = accepted.copy(inForce = false, lastError = "no status within $IN_FORCE_BOUND_MILLIS ms")
    withTimeoutOrNull(IN_FORCE_BOUND_MILLIS) {
        last = poll(last)
        while (last.inForce != true) {
            delay(POLL_INTERVAL_MILLIS)
            last = poll(last)
        }
    }
    return last
}

private suspend fun AdminClient.poll(previous: ChangeReport): ChangeReport = status().fold(
    success = { status ->
        val behind = status.holders.behind(previous.number)
        previous.copy(inForce = behind.isEmpty(), behind = behind, lastError = null)
    },
    failure = { previous.copy(lastError = it.message) },
)

@Command(name = "apply", description = ["Checks both tables and brings them into force."])
internal class ApplyCommand : ChangeCommand() {
    @Mixin
    lateinit var files: TableFiles

    override fun change(): Result<ConfigurationChange, CtlError> = files.read().map(ConfigurationChange::ApplyTables)
}

@Command(name = "rollback", description = ["Restores the configuration with number N, as a new change."])
internal class RollbackCommand : ChangeCommand() {
    @Parameters(paramLabel = "N", description = ["Number to restore; see history."])
    var number: Long = 0

    override fun change(): Result<ConfigurationChange, CtlError> = Ok(ConfigurationChange.RollbackTo(number))
}

/** Takes a zone out of service or brings it back. */
internal abstract class ZoneChange(
    private val inService: Boolean,
) : ChangeCommand() {
    @Parameters(paramLabel = "NAME", description = ["Availability zone."])
    lateinit var zone: String

    override fun change(): Result<ConfigurationChange, CtlError> =
        Ok(ConfigurationChange.SetZone(ZoneName(zone), inService))
}

@Command(name = "out", description = ["Takes an availability zone out of service; it receives no new work."])
internal class ZoneOutCommand : ZoneChange(inService = false)

@Command(name = "in", description = ["Brings an availability zone back into service."])
internal class ZoneInCommand : ZoneChange(inService = true)

@Command(
    name = "zone",
    description = ["Takes availability zones out of service and brings them back."],
    subcommands = [ZoneOutCommand::class, ZoneInCommand::class],
)
internal class ZoneCommand

/** Takes an upstream out of service or brings it back. */
internal abstract class UpstreamChange(
    private val inService: Boolean,
) : ChangeCommand() {
    @Parameters(paramLabel = "ID", description = ["Upstream, as its agent announces it."])
    lateinit var upstream: String

    override fun change(): Result<ConfigurationChange, CtlError> =
        Ok(ConfigurationChange.SetUpstream(UpstreamId(upstream), inService))
}

@Command(name = "out", description = ["Takes an upstream out of service; it receives no new work."])
internal class UpstreamOutCommand : UpstreamChange(inService = false)

@Command(name = "in", description = ["Brings an upstream back into service."])
internal class UpstreamInCommand : UpstreamChange(inService = true)

@Command(
    name = "upstream",
    description = ["Takes upstreams out of service and brings them back."],
    subcommands = [UpstreamOutCommand::class, UpstreamInCommand::class],
)
internal class UpstreamCommand

/** Sets which work a version may receive. */
internal abstract class VersionChange(
    private val state: VersionState,
) : ChangeCommand() {
    @Parameters(
        paramLabel = "MODEL@VERSION",
        description = ["Version of a model, or NAME@service for a plain service."],
    )
    lateinit var version: ModelVersion

    override fun change(): Result<ConfigurationChange, CtlError> = Ok(ConfigurationChange.SetVersion(version, state))
}

@Command(name = "serve", description = ["Lets a version receive all work."])
internal class VersionServeCommand : VersionChange(VersionState.Serving)

@Command(name = "drain", description = ["Lets a version receive requests of its sessions only."])
internal class VersionDrainCommand : VersionChange(VersionState.Draining)

@Command(name = "withdraw", description = ["Lets a version receive nothing; its sessions are refused."])
internal class VersionWithdrawCommand : VersionChange(VersionState.Withdrawn)

@Command(
    name = "version",
    description = ["Sets which work a version may receive."],
    subcommands = [VersionServeCommand::class, VersionDrainCommand::class, VersionWithdrawCommand::class],
)
internal class VersionCommand

@Command(name = "start", description = ["Starts a roll-out, or replaces the one of the same name."])
internal class RolloutStartCommand : ChangeCommand() {
    @Parameters(paramLabel = "NAME", description = ["Name of the roll-out, chosen by you."])
    lateinit var name: String

    @Option(names = ["--pool"], required = true, paramLabel = "POOL", description = ["Pool whose requests move."])
    lateinit var pool: String

    @Option(
        names = ["--from"],
        required = true,
        paramLabel = "MODEL@VERSION",
        description = ["Version that the requests leave."],
    )
    lateinit var from: ModelVersion

    @Option(
        names = ["--to"],
        required = true,
        paramLabel = "MODEL@VERSION",
        description = ["Version that the requests move to."],
    )
    lateinit var to: ModelVersion

    @Option(
        names = ["--percent"],
        required = true,
        paramLabel = "P",
        description = ["Share of new requests, 0 to 100."],
    )
    var percent: Int = 0

    override fun change(): Result<ConfigurationChange, CtlError> = checkedPercent(percent).map {
        ConfigurationChange.SetRollout(Rollout(name, PoolName(pool), from, to, percent, RolloutPhase.Running))
    }
}

/** Sets the phase of a roll-out. */
internal abstract class RolloutPhaseChange(
    private val phase: RolloutPhase,
) : ChangeCommand() {
    @Parameters(paramLabel = "NAME", description = ["Name of the roll-out."])
    lateinit var name: String

    override fun change(): Result<ConfigurationChange, CtlError> = Ok(ConfigurationChange.AdvanceRollout(name, phase))
}

@Command(name = "advance", description = ["Changes the share of new requests that goes to the new version."])
internal class RolloutAdvanceCommand : ChangeCommand() {
    @Parameters(paramLabel = "NAME", description = ["Name of the roll-out."])
    lateinit var name: String

    @Option(
        names = ["--percent"],
        required = true,
        paramLabel = "P",
        description = ["Share of new requests, 0 to 100."],
    )
    var percent: Int = 0

    override fun change(): Result<ConfigurationChange, CtlError> =
        checkedPercent(percent).map { ConfigurationChange.AdvanceRollout(name, RolloutPhase.Running, it) }
}

@Command(name = "pause", description = ["Pauses a roll-out at its current share."])
internal class RolloutPauseCommand : RolloutPhaseChange(RolloutPhase.Paused)

@Command(name = "resume", description = ["Resumes a paused roll-out."])
internal class RolloutResumeCommand : RolloutPhaseChange(RolloutPhase.Running)

@Command(name = "complete", description = ["Ends a roll-out with all requests on the new version."])
internal class RolloutCompleteCommand : RolloutPhaseChange(RolloutPhase.Completed)

@Command(name = "rollback", description = ["Ends a roll-out with all requests on the old version."])
internal class RolloutRollbackCommand : RolloutPhaseChange(RolloutPhase.RolledBack)

@Command(
    name = "rollout",
    description = ["Moves a pool's requests from one version to another."],
    subcommands = [
        RolloutStartCommand::class,
        RolloutAdvanceCommand::class,
        RolloutPauseCommand::class,
        RolloutResumeCommand::class,
        RolloutCompleteCommand::class,
        RolloutRollbackCommand::class,
    ],
)
internal class RolloutCommand

private fun checkedPercent(percent: Int): Result<Int, CtlError> =
    if (percent in percentRange) Ok(percent) else usageError("--percent: expected a number from 0 to 100, got $percent")
