/*
 * Model selection by confidence and price, and its effect on callers under a load of easy and hard requests.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CatalogPool
import io.carawaytrack.fleet.CatalogRoute
import io.carawaytrack.fleet.EngineTraits
import io.carawaytrack.fleet.ModelPrice
import io.carawaytrack.fleet.PoolShare
import io.carawaytrack.model.PoolName
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.random.Random

class ModelPolicyTest {
    private var nowMillis = 0L

    private val route =
        CatalogRoute(
            name = "drafts",
            host = "shop.example",
            pathPrefix = "/a/",
            idempotent = false,
            streaming = true,
            resumable = true,
            timeoutMillis = 20_000,
            latencyTargetMillis = 2_000,
            pauseTargetMillis = 1_000,
            priority = 0,
            models = listOf("small", "middle", "large"),
            shares = listOf(PoolShare(PoolName("llm"), 1)),
            maxAttempts = 3,
            public = false,
            sticky = true,
        )

    private fun pool(
        small: Double,
        large: Double,
    ) = CatalogPool(
        name = PoolName("llm"),
        healthPath = "/",
        maxConnections = 10,
        coldStartMillis = 0,
        coldRequestsPerSecond = 0.0,
        engine = EngineTraits(64, 1_000, listOf(ModelPrice("small", small), ModelPrice("large", large))),
    )

    private class Case(
        val name: String,
        val promptTokens: Int,
        val outputTokens: Int,
        val confidence: Int,
        val index: Int,
        val remainingMillis: Long,
        val escalationTarget: Int?,
    )

    @TestFactory
    fun `a low-confidence response is replaced by one of the largest model`(): List<DynamicTest> = listOf(
        Case(
            "high confidence",
            1_000,
            300,
            confidence = 90,
            index = 0,
            remainingMillis = 1_900,
            escalationTarget = null,
        ),
        Case(
            "lowest sufficient confidence",
            1_000,
            300,
            confidence = 70,
            index = 0,
            remainingMillis = 1_900,
            escalationTarget = null,
        ),
        Case("low confidence", 1_000, 300, confidence = 65, index = 0, remainingMillis = 1_900, escalationTarget = 2),
        Case(
            "low confidence, but too little time",
            1_000,
            300,
            confidence = 65,
            index = 0,
            remainingMillis = 400,
            escalationTarget = null,
        ),
        Case(
            "low confidence, but already the largest model",
            1_000,
            300,
            confidence = 10,
            index = 2,
            remainingMillis = 1_900,
            escalationTarget = null,
        ),
        Case(
            "slightly low confidence and an expensive second response",
            2_000,
            20,
            confidence = 40,
            index = 0,
            remainingMillis = 1_900,
            escalationTarget = null,
        ),
        Case(
            "very low confidence despite an expensive second response",
            2_000,
            20,
            confidence = 30,
            index = 0,
            remainingMillis = 1_900,
            escalationTarget = 2,
        ),
    ).map { case ->
        dynamicTest(case.name) {
            val policy = ModelPolicy { nowMillis }
            policy.recordOutputLength(route, case.outputTokens)
            val demand = PromptDemand(case.promptTokens, 1_000)
            expectThat(
                policy.escalationTarget(route, case.index, demand, case.confidence, case.remainingMillis),
            ).isEqualTo(case.escalationTarget)
        }
    }

    @Test
    fun `the largest model is used at once when the smallest one is nearly as expensive`() {
        expectThat(ModelPolicy { nowMillis }.firstModel(route, pool(small = 0.02, large = 0.24))).isEqualTo(0)
        expectThat(ModelPolicy { nowMillis }.firstModel(route, pool(small = 0.2, large = 0.24))).isEqualTo(2)
    }

    /**
     * Simulates 2,000 requests of uniformly distributed difficulty; the confidence is off by up to a fifth of its
     * scale.
     */
    @Test
    fun `callers get nearly as many good responses as from the largest model at less than two thirds of its price`() {
        val random = Random(11)
        val policy = ModelPolicy { nowMillis }
        val prices = pool(small = 0.016, large = 0.24)
        val demand = PromptDemand(1_000, 1_000)
        policy.recordOutputLength(route, 300)
        var good = 0
        var cost = 0.0
        repeat(2_000) {
            val margin = 0.6 - random.nextDouble()
            val confidence = (50 + 180 * margin + 40 * (random.nextDouble() - 0.5)).toInt().coerceIn(0, 100)
            val first = policy.firstModel(route, prices)
            policy.recordConfidence(route, first, demand, confidence)
            val escalatedTo = policy.escalationTarget(route, first, demand, confidence, onTimeRemainingMillis = 1_900)
            cost += if (first == 0) 0.016 else 0.24
            if (escalatedTo != null) cost += 0.24
            if (margin > 0 || escalatedTo == 2 || first == 2) good++
        }
        expectThat(good).isGreaterThan(1_950)
        expectThat(cost).isLessThan(2_000 * 0.24 * 2 / 3)
    }

    @Test
    fun `a low-confidence response is kept while the largest model is too slow, and replaced after that`() {
        val policy = ModelPolicy { nowMillis }
        val demand = PromptDemand(1_000, 1_000)
        repeat(20) { policy.recordWait(route, waitMillis = 3_000) }
        expectThat(
            policy.escalationTarget(route, 0, demand, confidence = 20, onTimeRemainingMillis = 1_800),
        ).isEqualTo(null)
        nowMillis += 4_000
        expectThat(
            policy.escalationTarget(route, 0, demand, confidence = 20, onTimeRemainingMillis = 1_800),
        ).isEqualTo(2)
    }

    /** Guards against late answers of the largest model to requests whose answers cannot be replaced. */
    @Test
    fun `the only model is the smallest while the largest one is late, and the largest after that`() {
        val policy = ModelPolicy { nowMillis }
        expectThat(policy.onlyModel(route, load = null)).isEqualTo(2)
        repeat(20) { policy.recordWait(route, waitMillis = 3_000) }
        expectThat(policy.onlyModel(route, load = null)).isEqualTo(0)
        nowMillis += 4_000
        expectThat(policy.onlyModel(route, load = null)).isEqualTo(2)
    }

    /**
     * Simulates 60 s of 10 requests per second, half of them hard, on one engine that starts 4 responses of the largest
     * model per second, sequentially.
     */
    @Test
    fun `callers get more good responses in time under overload than by escalating every hard request`() {
        val (goodWithWaits, _) = simulateOverload(recordWaits = true)
        val (goodWithoutWaits, lateWithoutWaits) = simulateOverload(recordWaits = false)
        expectThat(goodWithWaits).isGreaterThan(goodWithoutWaits)
        expectThat(lateWithoutWaits).isGreaterThan(200)
    }

    private fun simulateOverload(recordWaits: Boolean): Pair<Int, Int> {
        nowMillis = 0
        val random = Random(5)
        val policy = ModelPolicy { nowMillis }
        val started = ArrayList<Pair<Long, Long>>()
        var freeAtMillis = 0L
        var good = 0
        var late = 0
        repeat(600) {
            nowMillis += 100
            if (recordWaits) started.filter { it.first <= nowMillis }.forEach { policy.recordWait(route, it.second) }
            started.removeAll { it.first <= nowMillis }
            val confidence = if (random.nextBoolean()) 90 else 30
            val escalatedTo =
                policy.escalationTarget(
                    route,
                    0,
                    PromptDemand(1_000, 1_000),
                    confidence,
                    onTimeRemainingMillis = 1_900,
                )
            if (escalatedTo == null) {
                if (random.nextInt(100) < confidence) good++
                return@repeat
            }
            freeAtMillis = maxOf(freeAtMillis, nowMillis) + 250
            started += freeAtMillis to freeAtMillis - nowMillis
            if (freeAtMillis - nowMillis <= 1_900) good++ else late++
        }
        return good to late
    }
}
