/*
 * Orders replicas from the platform: once for each pool and zone by a new holder, and then when the count changes.
 */
package io.carawaytrack.duties

import io.carawaytrack.model.PoolName
import io.carawaytrack.model.ZoneName
import io.carawaytrack.telemetry.event
import io.github.oshai.kotlinlogging.KotlinLogging

private val logger = KotlinLogging.logger {}

/**
 * Time after which a new holder places its first order: upstreams announce themselves about every 2,500 ms, and a host
 * that does not know them yet would order too few.
 */
private const val FIRST_ORDER_DELAY_MILLIS = 5_000L

internal class ReplicaOrders(
    private val ports: DutyPorts,
    private val hold: DutyHold,
    private val caller: DutyCaller,
    private val nowMillis: () -> Long,
) {
    private val targets = LinkedHashMap<Pair<PoolName, ZoneName>, ReplicaTarget>()
    private var token: Long? = null

    /** Newest counts that the platform has accepted from this holder. */
    val accepted: Map<Pair<PoolName, ZoneName>, Int>
        get() = targets.mapNotNull { (place, target) -> target.accepted?.let { place to it } }.toMap()

    fun tick(token: Long) {
        if (token != this.token) targets.clear()
        this.token = token
        if (hold.heldMillis < FIRST_ORDER_DELAY_MILLIS) return
        val demands = ports.demands()
        targets.keys.retainAll(demands.mapTo(HashSet()) { it.pool to it.zone })
        val orders = demands.map { ReplicaOrder(it.pool, it.zone, targetOf(it).update(it)) }
        orders.firstOrNull { targets[it.pool to it.zone]?.accepted != it.count }?.let { order(token, it) }
    }

    private fun targetOf(demand: ReplicaDemand) =
        targets.getOrPut(demand.pool to demand.zone) { ReplicaTarget(nowMillis) }

    private fun order(
        token: Long,
        order: ReplicaOrder,
    ) {
        if (!caller.isReady()) return
        caller.call(token, DutyMessage.Scale(order)) { outcome ->
            if (outcome == CallOutcome.Delivered && token == this.token) {
                targets[order.pool to order.zone]?.accepted = order.count
                val fields = mapOf("pool" to order.pool.value, "zone" to order.zone.value, "count" to order.count)
                logger.event("replicas_ordered", fields + mapOf("token" to token))
            }
        }
    }
}
