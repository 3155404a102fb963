/*
 * Limits on how often a host may send a request to an upstream again. All hosts share one budget for each service; each
 * host draws a part in proportion to its own requests, so that the hosts need no coordination.
 */
package io.carawaytrack.gateway

import io.carawaytrack.limits.RetryBudget
import io.carawaytrack.limits.RetrySettings
import io.carawaytrack.model.PoolName

/** Part of the fleet's budget that is reserved for retries after failures. */
private const val FAILURE_RETRY_RATIO = 0.3

/**
 * Part of the fleet's budget that is reserved for escalations to a larger model. The remainder compensates for the
 * uneven distribution of requests over the hosts.
 */
private const val ESCALATION_RATIO = 0.6

internal class RetryBudgets(
    private val settings: RetrySettings,
    private val hosts: () -> Int,
    private val nowMillis: () -> Long,
) {
    private class Budgets(
        val retries: RetryBudget,
        val escalations: RetryBudget,
    )

    private val budgets = HashMap<PoolName, Budgets>()

    /** Counts an arriving request to [pool]. */
    fun recordRequest(pool: PoolName) = budgetsOf(pool).let {
        it.retries.recordRequest()
        it.escalations.recordRequest()
    }

    /** Takes one retry after a failure from the budget; returns false when the budget is exhausted. */
    fun tryRetry(pool: PoolName): Boolean = budgetsOf(pool).retries.tryAcquire()

    /** Takes one escalation to a larger model from the budget; returns false when the budget is exhausted. */
    fun tryEscalation(pool: PoolName): Boolean = budgetsOf(pool).escalations.tryAcquire()

    private fun budgetsOf(pool: PoolName) = budgets.getOrPut(pool) {
        Budgets(budget(FAILURE_RETRY_RATIO), budget(ESCALATION_RATIO))
    }

    private fun budget(ratio: Double): RetryBudget {
        val hostSettings =
            settings.copy(
                retryRatio = settings.retryRatio * ratio,
                minRetries = maxOf(1, (settings.minRetries * ratio / hosts()).toInt()),
            )
        return RetryBudget(hostSettings, nowMillis)
    }
}
