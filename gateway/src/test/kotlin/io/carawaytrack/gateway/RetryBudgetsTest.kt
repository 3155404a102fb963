/*
 * Retries of all hosts together in sliding windows, in a simulation without network or clock: hosts start again, alone
 * or all at once, callers move between hosts, and requests are retried for any reason. The bound is the platform's.
 */
package io.carawaytrack.gateway

import io.carawaytrack.limits.RetrySettings
import io.carawaytrack.model.PoolName
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

private const val WINDOW_MILLIS = 10_000L
private const val STEP_MILLIS = 50L
private const val DURATION_MILLIS = 40_000L
private const val SEEDS = 60

/** Time for which a host that has just started knows of no other host. */
private const val ALONE_MILLIS = 1_000L

/** Longest wait of a request whose retry has been granted: a seventh of the window. */
private const val MAX_WAIT_MILLIS = WINDOW_MILLIS / 7

private val pool = PoolName("llm")

/** Times of the events of one simulation; in ascending order where windows are asked for. */
private class Times {
    private val millis = ArrayList<Long>()
    val size get() = millis.size

    fun add(atMillis: Long) {
        millis += atMillis
    }

    fun all(): List<Long> = millis

    fun sort() = millis.sort()

    /** Number of events in the window that starts at [fromMillis]. */
    fun inWindow(fromMillis: Long): Int = before(fromMillis + WINDOW_MILLIS) - before(fromMillis)

    private fun before(atMillis: Long): Int {
        var low = 0
        var high = millis.size
        while (low < high) {
            val middle = (low + high) / 2
            if (millis[middle] < atMillis) low = middle + 1 else high = middle
        }
        return low
    }
}

private class FleetSimulation(
    private val hosts: Int,
    private val settings: RetrySettings,
    seed: Int,
    private val maxWaitMillis: Long,
) {
    private val random = Random(seed)
    private val waits = Random(-seed)
    private var nowMillis = 1_000_000L
    private val startedAtMillis = LongArray(hosts) { nowMillis }
    private val budgets = Array(hosts, ::start)
    private val retryRatio = random.nextDouble(0.2, 3.0)
    private val requestsPerStep = random.nextDouble(0.2, 12.0)
    val requests = Times()
    val retries = Times()

    private fun start(host: Int): RetryBudgets {
        startedAtMillis[host] = nowMillis
        val known = { if (nowMillis - startedAtMillis[host] < ALONE_MILLIS) 1 else hosts }
        return RetryBudgets(settings, known, { nowMillis }, random::nextDouble)
    }

    fun run() {
        val endMillis = nowMillis + DURATION_MILLIS
        var serving = (0 until hosts).toList()
        var rate = requestsPerStep
        while (nowMillis < endMillis) {
            nowMillis += STEP_MILLIS
            if (random.nextInt(40) == 0) rate = requestsPerStep * listOf(0.0, 0.3, 1.0, 3.0).random(random)
            if (random.nextInt(60) == 0) serving = (0 until hosts).shuffled(random).take(1 + random.nextInt(hosts))
            restartSome()
            repeat((rate + random.nextDouble()).toInt()) {
                requests.add(nowMillis)
                budgets[serving.random(random)].recordRequest(pool)
            }
            repeat((rate * retryRatio + random.nextDouble()).toInt()) { retry(serving.random(random)) }
            // A fault that ends many requests at once.
            if (random.nextInt(100) == 0) repeat(hosts * 20) { retry(it % hosts) }
        }
        retries.sort()
    }

    private fun restartSome() {
        when (random.nextInt(200)) {
            0 -> repeat(hosts) { budgets[it] = start(it) }
            in 1..4 -> random.nextInt(hosts).let { budgets[it] = start(it) }
        }
    }

    private fun retry(host: Int) {
        val permit = budgets[host].tryAcquire(pool, RetryReason.entries.random(random)) ?: return
        if (random.nextInt(20) == 0) permit.cancel() else retries.add(nowMillis + waits.nextLong(maxWaitMillis + 1))
    }

    /** Highest number of retries in a window beyond those that its requests and the slack allow. */
    fun worstExcess(): Double = retries.all().distinct().maxOfOrNull { from ->
        val counted = listOf(0L, WINDOW_MILLIS / 2, WINDOW_MILLIS).maxOf { requests.inWindow(from - it) }
        retries.inWindow(from) - counted * settings.retryRatio - settings.minRetries
    } ?: 0.0
}

internal class RetryBudgetsTest {
    private class Case(
        val hosts: Int,
        val slack: Int,
        val maxWaitMillis: Long = 0,
    )

    @TestFactory
    fun `all hosts together never retry more than the shared budget allows`(): List<DynamicTest> = listOf(
        Case(hosts = 1, slack = 62),
        Case(hosts = 8, slack = 62),
        Case(hosts = 35, slack = 110),
        Case(hosts = 300, slack = 110),
        Case(hosts = 1, slack = 62, MAX_WAIT_MILLIS),
        Case(hosts = 8, slack = 62, MAX_WAIT_MILLIS),
        Case(hosts = 35, slack = 110, MAX_WAIT_MILLIS),
        Case(hosts = 300, slack = 110, MAX_WAIT_MILLIS),
    ).map { case ->
        dynamicTest("${case.hosts} hosts, slack ${case.slack}, sent after up to ${case.maxWaitMillis} ms") {
            val settings = RetrySettings(retryRatio = 0.9, minRetries = case.slack, windowMillis = WINDOW_MILLIS)
            val simulations =
                List(SEEDS) { seed -> FleetSimulation(case.hosts, settings, seed, case.maxWaitMillis) }
            simulations.forEach { it.run() }
            val worst = simulations.withIndex().maxBy { it.value.worstExcess() }
            expectThat(worst.value.worstExcess())
                .describedAs("excess with seed ${worst.index}")
                .isLessThanOrEqualTo(0.0)
            // The budget is worth having: it grants a good part of what the requests allow.
            val granted = simulations.sumOf { it.retries.size } / simulations.sumOf { it.requests.size }.toDouble()
            expectThat(granted).isGreaterThan(0.2)
        }
    }
}
