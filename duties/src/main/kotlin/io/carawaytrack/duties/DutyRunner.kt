/*
 * Exercises the exclusive duties on the host that leads the replicated log: acquires the grant, fixes and reports the
 * usage of the organisations, and orders replicas. Decides for every load; the calls are bounded by their rate limit.
 */
package io.carawaytrack.duties

import io.carawaytrack.model.PoolName
import io.carawaytrack.model.ZoneName

/** Interval at which [DutyRunner.tick] is to be called. */
public const val DUTY_TICK_MILLIS: Long = 400

/**
 * What a host does for the duties.
 *
 * @property token token of the grant; null unless this host holds the duties
 * @property oldestUnreportedAgeMillis time since the end of the oldest unreported window; null if there is none, or
 * unless this host holds the duties
 * @property failedCalls calls that the platform has refused or not answered, since the start
 * @property orderedReplicas newest orders that the platform has accepted from this holder
 */
public data class DutyStatus(
    val token: Long?,
    val oldestUnreportedAgeMillis: Long?,
    val failedCalls: Long,
    val orderedReplicas: Map<Pair<PoolName, ZoneName>, Int> = emptyMap(),
)

/** Exercises the duties of one host; must only be used on the event loop. */
public interface DutyRunner {
    /** What this host does for the duties at the moment. */
    public val status: DutyStatus

    /** Acquires the duties if this host leads, and makes the calls that are due. */
    public fun tick()
}

/** Creates the runner; [nowMillis] reads the monotonic clock and [wallMillis] this host's wall clock. */
public fun DutyRunner(
    settings: DutySettings,
    ports: DutyPorts,
    nowMillis: () -> Long,
    wallMillis: () -> Long,
): DutyRunner = LeaderDutyRunner(settings, ports, TwoClocks(nowMillis, wallMillis))

private class LeaderDutyRunner(
    private val settings: DutySettings,
    ports: DutyPorts,
    clocks: TwoClocks,
) : DutyRunner {
    private val hold = DutyHold(settings, ports, clocks)
    private val caller = DutyCaller(settings, ports, hold, clocks)
    private val usage = UsageReporter(settings, ports, hold, caller, clocks)
    private val orders = ReplicaOrders(ports, hold, caller, clocks.nowMillis)
    private var ordersFirst = false

    override val status: DutyStatus
        get() {
            val age = if (hold.token != null && settings.reportsUsage) usage.oldestUnreportedAgeMillis else null
            val orders = if (hold.token != null) orders.accepted else emptyMap()
            return DutyStatus(hold.token, age, caller.failedCalls, orders)
        }

    override fun tick() {
        hold.tick()
        val token = hold.token ?: return
        // One call is in flight at a time, so both take turns: neither is to keep the other from the platform.
        ordersFirst = !ordersFirst
        if (settings.ordersReplicas && ordersFirst) orders.tick(token)
        if (settings.reportsUsage) usage.tick(token)
        if (settings.ordersReplicas && !ordersFirst) orders.tick(token)
    }
}
