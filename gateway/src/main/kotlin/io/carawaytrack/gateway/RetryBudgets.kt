/*
 * Limits on how often a host may send a request to an upstream again. All hosts share one budget for each service; each
 * host has a part of it, so that the hosts need no coordination.
 */
package io.carawaytrack.gateway

import io.carawaytrack.limits.RetrySettings
import io.carawaytrack.model.PoolName
import kotlin.random.Random

/**
 * Part of the budget that escalations to a larger model may use. The rest is left to failures and rejections, so that a
 * fleet in trouble doesn't spend all of its retries on larger models.
 */
private const val ESCALATION_SHARE = 0.75

internal class RetryBudgets(
    private val settings: RetrySettings,
    private val hosts: () -> Int,
    private val nowMillis: () -> Long,
    private val random: () -> Double = Random::nextDouble,
) {
    private class Budgets(
        val all: SharedRetryBudget,
        val escalations: SharedRetryBudget,
    )

    private val startedAtMillis = nowMillis()
    private val budgets = HashMap<PoolName, Budgets>()

    /** Counts an arriving request to [pool]. */
    fun recordRequest(pool: PoolName) = budgetsOf(pool).let {
        it.all.recordRequest()
        it.escalations.recordRequest()
    }

    /** Takes one retry for [reason] from the budget; returns null when the budget is exhausted. */
    fun tryAcquire(
        pool: PoolName,
        reason: RetryReason,
    ): RetryPermit? {
        val budgets = budgetsOf(pool)
        if (reason != RetryReason.Escalation) return budgets.all.tryAcquire()
        val escalation = budgets.escalations.tryAcquire() ?: return null
        val retry = budgets.all.tryAcquire()
        if (retry == null) {
            escalation.cancel()
            return null
        }
        return RetryPermit {
            escalation.cancel()
            retry.cancel()
        }
    }

    private fun budgetsOf(pool: PoolName) = budgets.getOrPut(pool) { Budgets(budget(1.0), budget(ESCALATION_SHARE)) }

    private fun budget(share: Double) = SharedRetryBudget(settings, share, hosts, startedAtMillis, nowMillis, random)
}
