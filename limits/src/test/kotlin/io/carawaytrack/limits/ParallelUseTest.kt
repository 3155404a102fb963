/*
 * Tests under concurrent use that the limits hold and that every permit and byte is returned.
 */
package io.carawaytrack.limits

import io.carawaytrack.model.OrganisationName
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

class ParallelUseTest {
    @Test
    fun `concurrent requests do not exceed the permits when some are cancelled`() {
        val queue = AdmissionQueue(AdmissionSettings(maxWaiting = 10_000), { 0 }) { 4 }
        val running = AtomicInteger()
        val peak = AtomicInteger()
        runBlocking(Dispatchers.Default) {
            repeat(2_000) { number ->
                val request = AdmissionRequest(OrganisationName("o${number % 7}"))
                val job =
                    launch {
                        queue.acquire(request).component1()?.use {
                            peak.accumulateAndGet(running.incrementAndGet(), ::maxOf)
                            running.decrementAndGet()
                        }
                    }
                if (number % 3 == 0) job.cancel()
                if (number % 50 == 0) yield()
            }
        }
        expectThat(peak.get()).isLessThanOrEqualTo(4)
        expectThat(queue.running to queue.waiting).isEqualTo(0 to 0)
    }

    @Test
    fun `memory used by concurrent streams stays within the limit and is released`() {
        val budget = MemoryBudget(MemorySettings(hardBytes = 1_000, streamBytes = 200)) { 0 }
        val peakBytes = AtomicLong()
        runBlocking(Dispatchers.Default) {
            repeat(64) { number ->
                launch {
                    val stream = StreamId(number.toLong())
                    budget.open(stream)
                    repeat(500) {
                        if (budget.reserve(stream, 50) == MemoryDecision.Granted) {
                            peakBytes.accumulateAndGet(budget.usedBytes, ::maxOf)
                            yield()
                            budget.release(stream, 50)
                        }
                    }
                    budget.close(stream)
                }
            }
        }
        expectThat(peakBytes.get()).isLessThanOrEqualTo(1_000)
        expectThat(budget.usedBytes).isEqualTo(0)
    }
}
