/*
 * The messages of the administration API, shared by the control hosts that answer them and by the command line that
 * sends them. They travel as JSON over HTTP.
 */
package io.carawaytrack.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Describes one change of what is in force. */
@Serializable
public sealed interface ConfigurationChange {
    /** Replaces both tables at once. */
    @Serializable
    @SerialName("apply-tables")
    public data class ApplyTables(
        val tables: Tables,
    ) : ConfigurationChange

    /** Takes an availability zone out of service or brings it back. */
    @Serializable
    @SerialName("set-zone")
    public data class SetZone(
        val zone: ZoneName,
        val inService: Boolean,
    ) : ConfigurationChange

    /** Takes one upstream out of service or brings it back. */
    @Serializable
    @SerialName("set-upstream")
    public data class SetUpstream(
        val upstream: UpstreamId,
        val inService: Boolean,
    ) : ConfigurationChange

    /** Sets which work a version may receive. */
    @Serializable
    @SerialName("set-version")
    public data class SetVersion(
        val version: ModelVersion,
        val state: VersionState,
    ) : ConfigurationChange

    /** Starts a roll-out, or replaces the roll-out of the same name. */
    @Serializable
    @SerialName("set-rollout")
    public data class SetRollout(
        val rollout: Rollout,
    ) : ConfigurationChange

    /** Moves the roll-out [name] to another phase or percentage. */
    @Serializable
    @SerialName("advance-rollout")
    public data class AdvanceRollout(
        val name: String,
        val phase: RolloutPhase,
        val percent: Int? = null,
    ) : ConfigurationChange

    /** Restores what was in force at [number], as a new change with a new number. */
    @Serializable
    @SerialName("rollback")
    public data class RollbackTo(
        val number: Long,
    ) : ConfigurationChange
}

/**
 * Asks for one change.
 *
 * @property operationId chosen by the operator's client; a resend with the same one gets the first answer
 * @property baseNumber number of the configuration that the operator saw; null applies to whatever is in force
 */
@Serializable
public data class ChangeRequest(
    val operationId: String,
    val baseNumber: Long? = null,
    val operator: String = "",
    val change: ConfigurationChange,
)

/** Answers an accepted change with the number under which it is in force. */
@Serializable
public data class ChangeReply(
    val number: Long,
    val repeated: Boolean = false,
)

/** Records one accepted change. */
@Serializable
public data class HistoryEntry(
    val number: Long,
    val operator: String,
    val atMillis: Long,
    val change: ConfigurationChange,
)

/** Tells what a process of the system holds. */
@Serializable
public data class HolderStatus(
    val node: NodeId,
    val role: NodeRole,
    val zone: ZoneName,
    val configurationNumber: Long,
    val ageMillis: Long,
)

/** Tells how a control host stands. */
@Serializable
public data class ControlStatus(
    val node: NodeId,
    val leading: Boolean,
    val term: Long,
    val appliedIndex: Long,
)

/** Answers `status`: what is in force, where, and who is behind. */
@Serializable
public data class StatusReport(
    val configurationNumber: Long,
    val leader: NodeId?,
    val control: List<ControlStatus>,
    val holders: List<HolderStatus>,
    val upstreams: List<Announcement>,
    val zonesOut: Set<ZoneName>,
    val upstreamsOut: Set<UpstreamId>,
    val versionStates: Map<String, VersionState>,
    val rollouts: List<Rollout>,
)

/** Tells what a process of the system does. */
@Serializable
public enum class NodeRole { Entry, Agent, Control, Tool, Host }

/**
 * Charges an organisation for one request.
 *
 * @property attempts versions that worked on the request, in order; more than one for a cascade
 */
@Serializable
public data class Bill(
    val request: RequestId,
    val organisation: OrganisationName,
    val attempts: List<ModelVersion>,
    val promptTokens: Long,
    val answerTokens: Long,
    val cost: Double,
)

/** Says what is to be done with a member of the control group. */
@Serializable
public enum class MemberAction {
    /** Adds a new host as a learner, which receives the log and does not vote. */
    Add,

    /** Makes a learner that has caught up a voter. */
    Promote,

    /** Removes a host. */
    Remove,
}

/**
 * Asks for one change of the control group.
 *
 * @property address link address of a host to be added
 */
@Serializable
public data class MemberRequest(
    val action: MemberAction,
    val node: NodeId,
    val address: HostPort? = null,
)

/** Confirms a change of the control group. */
@Serializable
public data class MemberReply(
    val node: NodeId,
    val action: MemberAction,
)
