/*
 * Decides when attempts leave upstreams that do not answer. In time-critical pools the decision is based on evidence of
 * life and on the expected time to the first event; in all others on the time without progress alone.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CatalogPool
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.PoolName
import io.carawaytrack.routing.load.AbandonReason
import io.carawaytrack.routing.load.AttemptWait
import io.carawaytrack.routing.load.LifeSigns
import io.carawaytrack.routing.load.Liveness
import io.carawaytrack.routing.load.PoolOutlook
import io.carawaytrack.routing.load.PromptWork

/** Time for which a dead engine is checked again after the last attempt left it: longer than most restarts. */
private const val RECHECK_MILLIS = 10_000L

internal class UnresponsiveUpstreams(
    private val outlookOf: (PoolName) -> PoolOutlook?,
    private val checkHealth: (HostPort, String, (Boolean) -> Unit) -> Unit,
    private val nowMillis: () -> Long,
) {
    private class DeadEngine(
        val healthPath: String,
        val untilMillis: Long,
    )

    private val dead = LinkedHashMap<UpstreamState, DeadEngine>()

    /** Returns why the attempt of [exchange], which may be sent again, is to be abandoned, or null to await it. */
    fun abandonReason(exchange: Exchange): AbandonReason? {
        val upstream = exchange.target ?: return null
        val route = exchange.request.route
        val sinceProgressMillis = nowMillis() - exchange.progress.awaitedSinceMillis
        val pool = exchange.pool
        val outlook = pool?.takeIf { route.streaming }?.let { outlookOf(it.name) }
        if (pool == null || outlook == null) {
            val hasEvents = exchange.events > 0
            val timeoutMillis = route.stallTimeoutMillis(upstream.health, hasEvents, exchange.attempts == 1)
            return AbandonReason.Silent.takeIf { timeoutMillis != null && sinceProgressMillis > timeoutMillis }
        }
        val wait =
            AttemptWait(
                sinceProgressMillis = sinceProgressMillis,
                hasEvents = exchange.progress.hasEvents,
                expectedMillis = exchange.expectedFirstEventMillis,
                targetMillis = route.latencyTargetMillis,
                pauseTargetMillis = route.pauseTargetMillis,
                onTimeRemainingMillis = exchange.onTimeUntilMillis - nowMillis(),
            )
        return abandonReason(upstream, pool, wait, outlook) { exchange.promptWork(exchange.modelIndex) }
    }

    /** Returns why an attempt on [upstream] that has been waiting as in [wait] is to be abandoned. */
    fun abandonReason(
        upstream: UpstreamState,
        pool: CatalogPool,
        wait: AttemptWait,
        outlook: PoolOutlook,
        work: () -> PromptWork,
    ): AbandonReason? {
        if (upstream.departed) {
            return AbandonReason.Departed.takeIf { wait.sinceProgressMillis > AttemptWait.DEPARTED_TIMEOUT_MILLIS }
        }
        val signs = upstream.lifeSigns
        if (signs.needsCheck(wait.lateMillis)) startCheck(upstream, pool.healthPath)
        val reason = wait.abandonReason(signs, outlook, work)
        if (reason == AbandonReason.Dead) dead[upstream] = DeadEngine(pool.healthPath, nowMillis() + RECHECK_MILLIS)
        return reason
    }

    private fun startCheck(
        upstream: UpstreamState,
        healthPath: String,
    ) = upstream.watch.startCheck { done -> checkHealth(upstream.upstream.address, healthPath, done) }

    /** Checks dead engines again, so that no request has to find out whether they are back. */
    fun tick() {
        if (dead.isEmpty()) return
        dead.entries.removeIf { (upstream, engine) ->
            upstream.departed || nowMillis() > engine.untilMillis || upstream.lifeSigns.liveness != Liveness.Dead
        }
        dead.forEach { (upstream, engine) -> startCheck(upstream, engine.healthPath) }
    }

    /** Returns the log fields for an attempt of [exchange] that leaves [upstream] for [reason]. */
    fun logFields(
        exchange: Exchange,
        upstream: UpstreamState,
        reason: AbandonReason,
    ): Map<String, Any?> {
        val owed = mapOf("owedMillis" to upstream.unansweredMillis)
        val outlook = exchange.pool?.let { outlookOf(it.name) } ?: return owed
        val expected =
            mapOf("expectedMillis" to exchange.expectedFirstEventMillis?.toLong(), "busyRatio" to outlook.busyRatio)
        return owed + mapOf("reason" to reason.name) + expected + upstream.lifeSigns.logFields()
    }
}

private fun LifeSigns.logFields(): Map<String, Any?> = mapOf(
    "liveness" to liveness.name,
    "streams" to streams,
    "reportMillisAgo" to reportMillis,
    "checkAnsweredMillisAgo" to answeredCheckMillis,
    "checkFailedMillisAgo" to failedCheckMillis,
)
