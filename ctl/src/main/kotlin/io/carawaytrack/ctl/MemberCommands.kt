/*
 * Commands that change the members of the control group. A host that has lost its disk is replaced by a new one, which
 * first replicates the state and then votes.
 */
package io.carawaytrack.ctl

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.MemberAction
import io.carawaytrack.model.MemberReply
import io.carawaytrack.model.MemberRequest
import io.carawaytrack.model.NodeId
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters

/** Adds, promotes or removes one member of the control group. */
internal abstract class MemberChangeCommand(
    private val action: MemberAction,
) : Action {
    @Parameters(index = "0", paramLabel = "NODE", description = ["Node name in the host's settings."])
    lateinit var node: String

    /** Returns the link address of the host, null when the change needs none. */
    protected open fun address(): Result<HostPort?, CtlError> = Ok(null)

    override suspend fun run(session: Session): Result<Report, CtlError> = address()
        .map { MemberRequest(action, NodeId(node), it) }
        .andThen { request -> session.client().andThen { it.member(request) } }
        .map { Report<MemberReply>(it, "${it.node}: ${it.action.name.lowercase()}") }
}

@Command(name = "add", description = ["Adds a new control host, which replicates the state and does not vote yet."])
internal class MemberAddCommand : MemberChangeCommand(MemberAction.Add) {
    @Parameters(index = "1", paramLabel = "HOST:PORT", description = ["Link address of the new host."])
    lateinit var linkAddress: String

    override fun address(): Result<HostPort?, CtlError> {
        val address = HostPort.parse(linkAddress)
        if (address == null) return Err(CtlError.Usage("expected HOST:PORT, got $linkAddress"))
        return Ok(address)
    }
}

@Command(name = "promote", description = ["Makes a control host that has caught up a voter."])
internal class MemberPromoteCommand : MemberChangeCommand(MemberAction.Promote)

@Command(name = "remove", description = ["Removes a control host for good; its name is not used again."])
internal class MemberRemoveCommand : MemberChangeCommand(MemberAction.Remove)

@Command(
    name = "member",
    description = ["Changes the members of the control group."],
    subcommands = [MemberAddCommand::class, MemberPromoteCommand::class, MemberRemoveCommand::class],
)
internal class MemberCommand
