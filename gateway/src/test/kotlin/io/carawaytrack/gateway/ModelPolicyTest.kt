/*
 * Opinions, prices and the model that answers; and what callers get from it under a load of easy and hard requests.
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
        val answerTokens: Int,
        val confidence: Int,
        val index: Int,
        val leftMillis: Long,
        val larger: Int?,
    )

    @TestFactory
    fun `a doubtful answer is replaced by the largest model's`(): List<DynamicTest> = listOf(
        Case("confident", 1_000, 300, confidence = 90, index = 0, leftMillis = 1_900, larger = null),
        Case("just confident enough", 1_000, 300, confidence = 70, index = 0, leftMillis = 1_900, larger = null),
        Case("doubtful", 1_000, 300, confidence = 65, index = 0, leftMillis = 1_900, larger = 2),
        Case("doubtful, but hardly any time", 1_000, 300, confidence = 65, index = 0, leftMillis = 400, larger = null),
        Case(
            "doubtful, but already the largest",
            1_000,
            300,
            confidence = 10,
            index = 2,
            leftMillis = 1_900,
            larger = null,
        ),
        Case("a little doubtful, and dear", 2_000, 20, confidence = 40, index = 0, leftMillis = 1_900, larger = null),
        Case("more likely wrong, though dear", 2_000, 20, confidence = 30, index = 0, leftMillis = 1_900, larger = 2),
    ).map { case ->
        dynamicTest(case.name) {
            val policy = ModelPolicy { nowMillis }
            policy.learnLength(route, case.answerTokens)
            val demand = PromptDemand(case.promptTokens, 1_000)
            expectThat(
                policy.larger(route, case.index, demand, case.confidence, case.leftMillis),
            ).isEqualTo(case.larger)
        }
    }

    @Test
    fun `the largest model is asked at once where the smallest is nearly as dear`() {
        expectThat(ModelPolicy { nowMillis }.first(route, pool(small = 0.02, large = 0.24))).isEqualTo(0)
        expectThat(ModelPolicy { nowMillis }.first(route, pool(small = 0.2, large = 0.24))).isEqualTo(2)
    }

    /** Plays 2,000 requests whose difficulty is even; an opinion is off by up to a fifth of its scale. */
    @Test
    fun `callers get nearly as many good answers as from the largest model at less than two thirds of its price`() {
        val random = Random(11)
        val policy = ModelPolicy { nowMillis }
        val prices = pool(small = 0.016, large = 0.24)
        val demand = PromptDemand(1_000, 1_000)
        policy.learnLength(route, 300)
        var good = 0
        var paid = 0.0
        repeat(2_000) {
            val margin = 0.6 - random.nextDouble()
            val opinion = (50 + 180 * margin + 40 * (random.nextDouble() - 0.5)).toInt().coerceIn(0, 100)
            val first = policy.first(route, prices)
            policy.learn(route, first, demand, opinion)
            val larger = policy.larger(route, first, demand, opinion, onTimeLeftMillis = 1_900)
            paid += if (first == 0) 0.016 else 0.24
            if (larger != null) paid += 0.24
            if (margin > 0 || larger == 2 || first == 2) good++
        }
        expectThat(good).isGreaterThan(1_950)
        expectThat(paid).isLessThan(2_000 * 0.24 * 2 / 3)
    }

    @Test
    fun `a doubtful answer is kept while the largest model's would come late, and replaced when that has passed`() {
        val policy = ModelPolicy { nowMillis }
        val demand = PromptDemand(1_000, 1_000)
        repeat(20) { policy.learnWait(route, waitMillis = 3_000) }
        expectThat(policy.larger(route, 0, demand, confidence = 20, onTimeLeftMillis = 1_800)).isEqualTo(null)
        nowMillis += 4_000
        expectThat(policy.larger(route, 0, demand, confidence = 20, onTimeLeftMillis = 1_800)).isEqualTo(2)
    }

    /**
     * Plays 60 s of 10 requests a second, half of them hard, on one engine that begins 4 answers by the largest model a
     * second, one after the other; 15 s of quiet follow.
     */
    @Test
    fun `callers get more good answers in time under overload than by asking the largest model for every hard one`() {
        val (goodWithWait, _) = playOverload(learning = true)
        val (goodWithout, lateWithout) = playOverload(learning = false)
        expectThat(goodWithWait).isGreaterThan(goodWithout)
        expectThat(lateWithout).isGreaterThan(200)
    }

    private fun playOverload(learning: Boolean): Pair<Int, Int> {
        nowMillis = 0
        val random = Random(5)
        val policy = ModelPolicy { nowMillis }
        val begun = ArrayList<Pair<Long, Long>>()
        var freeAtMillis = 0L
        var good = 0
        var late = 0
        repeat(600) {
            nowMillis += 100
            if (learning) begun.filter { it.first <= nowMillis }.forEach { policy.learnWait(route, it.second) }
            begun.removeAll { it.first <= nowMillis }
            val opinion = if (random.nextBoolean()) 90 else 30
            val larger = policy.larger(route, 0, PromptDemand(1_000, 1_000), opinion, onTimeLeftMillis = 1_900)
            if (larger == null) {
                if (random.nextInt(100) < opinion) good++
                return@repeat
            }
            freeAtMillis = maxOf(freeAtMillis, nowMillis) + 250
            begun += freeAtMillis to freeAtMillis - nowMillis
            if (freeAtMillis - nowMillis <= 1_900) good++ else late++
        }
        return good to late
    }
}
