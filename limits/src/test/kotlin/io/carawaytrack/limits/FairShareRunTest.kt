/*
 * Simulates the waiting time of small organisations while a large one floods the queue, and compares it with a queue
 * that does not distinguish organisations and with the same run without the flood.
 */
package io.carawaytrack.limits

import io.carawaytrack.model.OrganisationName
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import kotlin.math.ln
import kotlin.random.Random

@OptIn(ExperimentalCoroutinesApi::class)
class FairShareRunTest {
    private data class Figures(
        val requests: Int,
        val refused: Int,
        val p50Millis: Long,
        val p99Millis: Long,
    )

    private class Run(
        private val seed: Long,
        private val perOrganisation: Boolean,
        private val floodPerSecond: Double,
    ) {
        private val smallMillis = mutableListOf<Long>()
        private var smallRefused = 0

        fun figures(): Figures {
            runTest { launchCallers() }
            val sorted = smallMillis.sorted()
            val requests = sorted.size + smallRefused
            return Figures(requests, smallRefused, sorted[sorted.size / 2], sorted[sorted.size * 99 / 100])
        }

        private fun TestScope.launchCallers() {
            val queue = AdmissionQueue(AdmissionSettings(maxWaiting = 64), { currentTime }) { PERMIT_COUNT }
            SMALL.forEachIndexed { index, name -> launchLoad(queue, name, SMALL_PER_SECOND, Random(seed * 10 + index)) }
            if (floodPerSecond > 0) launchLoad(queue, "large", floodPerSecond, Random(seed * 10 + SMALL.size))
        }

        private fun TestScope.launchLoad(
            queue: AdmissionQueue,
            name: String,
            perSecond: Double,
            random: Random,
        ) = launch {
            while (currentTime < END_MILLIS) {
                delay((-ln(1 - random.nextDouble()) * 1_000 / perSecond).toLong())
                val holdMillis = random.nextLong(250, 751)
                launch { call(queue, name, holdMillis) }
            }
        }

        private suspend fun TestScope.call(
            queue: AdmissionQueue,
            name: String,
            holdMillis: Long,
        ) {
            val began = currentTime
            val organisation = OrganisationName(if (perOrganisation) name else "all")
            val ticket = queue.acquire(AdmissionRequest(organisation)).component1()
            if (ticket == null && name in SMALL) smallRefused += 1
            ticket?.use { delay(holdMillis) }
            if (ticket != null && name in SMALL) smallMillis += currentTime - began
        }
    }

    private fun figures(
        name: String,
        seed: Long,
        perOrganisation: Boolean,
        floodPerSecond: Double,
    ) = Run(seed, perOrganisation, floodPerSecond).figures().also { println("queue=$name seed=$seed small $it") }

    @TestFactory
    fun `a flood gets no small organisation refused and hardly delays it`(): List<DynamicTest> =
        listOf(1L, 2L, 3L).map { seed ->
            dynamicTest("seed $seed") {
                figures("fair-no-flood", seed, perOrganisation = true, floodPerSecond = 0.0)
                val plain = figures("plain-flood", seed, perOrganisation = false, FLOOD_PER_SECOND)
                val fair = figures("fair-flood", seed, perOrganisation = true, FLOOD_PER_SECOND)
                expectThat(fair.refused).isEqualTo(0)
                expectThat(fair.p99Millis).isLessThan(plain.p50Millis)
            }
        }

    private companion object {
        const val PERMIT_COUNT = 8
        const val END_MILLIS = 120_000L
        const val SMALL_PER_SECOND = 1.0
        const val FLOOD_PER_SECOND = 40.0
        val SMALL = listOf("small-1", "small-2", "small-3")
    }
}
