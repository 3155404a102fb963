/*
 * Messages of the administration API, sent as JSON over HTTP and shared by the control hosts and the command line
 * client.
 */
package io.carawaytrack.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Describes one change of the configuration. */
@Serializable
public sealed interface ConfigurationChange {
    /** Replaces both tables at once. */
    @Serializable
    @SerialName("apply-tables")
    public data class ApplyTables(
        val tables: Tables,
    ) : ConfigurationChange

    /** Takes an availability zone out of service, or puts it back into service. */
    @Serializable
    @SerialName("set-zone")
    public data class SetZone(
        val zone: ZoneName,
        val inService: Boolean,
    ) : ConfigurationChange

    /** Takes one upstream out of service, or puts it back into service. */
    @Serializable
    @SerialName("set-upstream")
    public data class SetUpstream(
        val upstream: UpstreamId,
        val inService: Boolean,
    ) : ConfigurationChange

    /** Sets which requests a version may receive. */
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

    /** Changes the phase of the roll-out [name], and its percentage if [percent] is set. */
    @Serializable
    @SerialName("advance-rollout")
    public data class AdvanceRollout(
        val name: String,
        val phase: RolloutPhase,
        val percent: Int? = null,
    ) : ConfigurationChange

    /** Restores the configuration [number] as a new change with a new number. */
    @Serializable
    @SerialName("rollback")
    public data class RollbackTo(
        val number: Long,
    ) : ConfigurationChange
}

/**
 * Requests one change.
 *
 * @property operationId chosen by the operator's client; a retry with the same identifier receives the first answer
 * @property baseNumber number of the configuration that the operator has seen; null to change whichever is in force
 */
@Serializable
public data class ChangeRequest(
    val operationId: String,
    val baseNumber: Long? = null,
    val operator: String = "",
    val change: ConfigurationChange,
)

/**
 * Confirms an accepted change.
 *
 * @property number number of the configuration that contains the change
 * @property repeated whether the change had already been accepted by an earlier attempt
 */
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

/** Reports which configuration a lease holder has. */
@Serializable
public data class HolderStatus(
    val node: NodeId,
    val role: NodeRole,
    val zone: ZoneName,
    val configurationNumber: Long,
    val ageMillis: Long,
)

/** Reports the state of a control host. */
@Serializable
public data class ControlStatus(
    val node: NodeId,
    val leading: Boolean,
    val term: Long,
    val appliedIndex: Long,
)

/** Answers `status`: the configuration in force, and the configuration that each control host and holder has. */
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

/** Describes the role of a process in the system. */
@Serializable
public enum class NodeRole { Entry, Agent, Control, Tool, Host }

/**
 * Records what an organisation is charged for one request.
 *
 * @property attempts versions that processed the request, in order; more than one for a cascade
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

/** Describes a change of the control group's members. */
@Serializable
public enum class MemberAction {
    /** Adds a new host as a learner, which receives the log and does not vote. */
    Add,

    /** Turns a learner whose log is up to date into a voter. */
    Promote,

    /** Removes a host. */
    Remove,
}

/**
 * Requests one change of the control group.
 *
 * @property address link address of the host to add
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
