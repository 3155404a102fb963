/*
 * How often a host may send a request to an upstream once more. All hosts together have one budget for each service;
 * each takes its part by its own requests, so that no host has to ask another.
 */
package io.carawaytrack.gateway

import io.carawaytrack.limits.RetryBudget
import io.carawaytrack.limits.RetrySettings
import io.carawaytrack.model.PoolName

/** Part of the fleet's budget for repeats after failures. */
private const val REPEATED_PART = 0.3

/** Part of it for answers by a larger model; the rest covers the hosts' uneven shares of the requests. */
private const val ESCALATED_PART = 0.6

internal class RepeatBudgets(
    private val settings: RetrySettings,
    private val hosts: () -> Int,
    private val nowMillis: () -> Long,
) {
    private class Budgets(
        val repeats: RetryBudget,
        val escalations: RetryBudget,
    )

    private val budgets = HashMap<PoolName, Budgets>()

    /** Counts a request to [pool], when it arrives. */
    fun requested(pool: PoolName) = of(pool).let {
        it.repeats.recordRequest()
        it.escalations.recordRequest()
    }

    /** Takes one repeat after a failure; returns false when there is none. */
    fun tryRepeat(pool: PoolName): Boolean = of(pool).repeats.tryAcquire()

    /** Takes one further answer by a larger model; returns false when there is none. */
    fun tryEscalation(pool: PoolName): Boolean = of(pool).escalations.tryAcquire()

    private fun of(pool: PoolName) = budgets.getOrPut(pool) { Budgets(budget(REPEATED_PART), budget(ESCALATED_PART)) }

    private fun budget(part: Double): RetryBudget {
        val own =
            settings.copy(
                retryRatio = settings.retryRatio * part,
                minRetries = maxOf(1, (settings.minRetries * part / hosts()).toInt()),
            )
        return RetryBudget(own, nowMillis)
    }
}
