/*
 * How often a host may send a request to an upstream once more. All hosts together have one budget for each service;
 * each takes its part by its own requests, so that no host has to ask another.
 */
package io.carawaytrack.gateway

import io.carawaytrack.limits.RetryBudget
import io.carawaytrack.limits.RetrySettings
import io.carawaytrack.model.PoolName

/** Part of the fleet's budget for repeats after failures. */
private const val FAILURE_RETRY_RATIO = 0.3

/** Part of it for answers by a larger model; the rest covers the hosts' uneven shares of the requests. */
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

    /** Counts a request to [pool], when it arrives. */
    fun recordRequest(pool: PoolName) = budgetsOf(pool).let {
        it.retries.requested()
        it.escalations.requested()
    }

    /** Takes one repeat after a failure; returns false when there is none. */
    fun tryRetry(pool: PoolName): Boolean = budgetsOf(pool).retries.tryRetry()

    /** Takes one further answer by a larger model; returns false when there is none. */
    fun tryEscalation(pool: PoolName): Boolean = budgetsOf(pool).escalations.tryRetry()

    private fun budgetsOf(pool: PoolName) = budgets.getOrPut(pool) {
        Budgets(budget(FAILURE_RETRY_RATIO), budget(ESCALATION_RATIO))
    }

    private fun budget(ratio: Double): RetryBudget {
        val hostSettings =
            settings.copy(
                retryRatio = settings.retryRatio * ratio,
                leastRetries = maxOf(1, (settings.leastRetries * ratio / hosts()).toInt()),
            )
        return RetryBudget(hostSettings, nowMillis)
    }
}
