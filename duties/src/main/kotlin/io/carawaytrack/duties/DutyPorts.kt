/*
 * What the runner of the duties is given: its settings, and the functions through which it sees the agreed state,
 * changes it, and calls the platform.
 */
package io.carawaytrack.duties

import io.carawaytrack.fleet.DutyGrant
import io.carawaytrack.fleet.UsageWindow
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.ZoneName

/**
 * Settings of the duties.
 *
 * @property holder name of this host
 * @property incarnation start of this process
 * @property reportsUsage whether usage is reported
 * @property ordersReplicas whether replicas are ordered
 * @property callsPerSecond rate limit on the calls of all hosts together
 * @property leaseMillis minimum time between the last call of a holder and the first one of its successor
 * @property windowMillis length of a usage window
 * @property lateMillis time after the end of a window within which its report is due
 */
public data class DutySettings(
    val holder: String,
    val incarnation: Long,
    val reportsUsage: Boolean,
    val ordersReplicas: Boolean,
    val callsPerSecond: Double,
    val leaseMillis: Long,
    val windowMillis: Long,
    val lateMillis: Long,
)

/** Order of [count] replicas of a pool in a zone. */
public data class ReplicaOrder(
    val pool: PoolName,
    val zone: ZoneName,
    val count: Int,
)

/** What a call tells the platform. */
public sealed interface DutyMessage {
    /** Report of a fixed window. */
    public data class Usage(
        val window: UsageWindow,
    ) : DutyMessage

    /** Order of replicas. */
    public data class Scale(
        val order: ReplicaOrder,
    ) : DutyMessage
}

/**
 * A call to the platform.
 *
 * @property timeoutMillis time after which the call must be aborted and its unsent bytes discarded, so that they cannot
 * arrive after a successor's call
 * @property mayBeWritten returns whether the confirmation of the leadership is still recent enough; must be checked
 * directly before the request is written
 */
public class DutyCall(
    public val holder: String,
    public val token: Long,
    public val message: DutyMessage,
    public val timeoutMillis: Long,
    public val mayBeWritten: () -> Boolean,
)

/** Outcome of a [DutyCall]. */
public sealed interface CallOutcome {
    /** The platform has accepted the call. */
    public data object Delivered : CallOutcome

    /** The call was not written, because the confirmation had become too old. */
    public data object Expired : CallOutcome

    /** The platform has refused the call, or it is unknown whether the call was accepted. */
    public data class Failed(
        val reason: String,
    ) : CallOutcome
}

/**
 * Fixes the counts of a window.
 *
 * @property deliveredThrough newest window that needs no report any more
 */
public data class UsageFix(
    val token: Long,
    val window: UsageWindow,
    val deliveredThrough: Long,
)

/**
 * Functions that connect the runner to its host; all are called on the event loop, and so are the callbacks.
 *
 * @property leading returns whether this host leads the replicated log
 * @property grant returns the grant in the agreed state
 * @property fixedWindows returns the newest fixed windows
 * @property deliveredThrough returns the newest window that needs no report according to the agreed state
 * @property confirmLeadership confirms with a quorum that this host leads and that the agreed state is current
 * @property acquire proposes a grant for this host
 * @property fix proposes to fix a window
 * @property usageOf returns the sum of all counts received for a window
 * @property agreedNowMillis returns the time since 1970 on which the hosts agree
 * @property send makes a call and reports its outcome exactly once
 * @property random returns a number from 0 (inclusive) to 1 (exclusive)
 * @property demands returns the work and the replicas of each scaled pool in each zone
 */
public class DutyPorts(
    public val leading: () -> Boolean,
    public val grant: () -> DutyGrant?,
    public val fixedWindows: () -> List<UsageWindow>,
    public val deliveredThrough: () -> Long,
    public val confirmLeadership: (done: (Boolean) -> Unit) -> Unit,
    public val acquire: (done: (Boolean) -> Unit) -> Unit,
    public val fix: (fix: UsageFix, done: (Boolean) -> Unit) -> Unit,
    public val usageOf: (windowId: Long) -> UsageWindow,
    public val agreedNowMillis: () -> Long,
    public val send: (call: DutyCall, done: (CallOutcome) -> Unit) -> Unit,
    public val random: () -> Double,
    public val demands: () -> List<ReplicaDemand> = { emptyList() },
)
