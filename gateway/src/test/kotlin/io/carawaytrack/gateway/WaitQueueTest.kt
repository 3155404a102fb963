/*
 * Queued requests and the order in which they are dispatched.
 */
package io.carawaytrack.gateway

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

class WaitQueueTest {
    private var nowMillis = 1_000L

    private data class Request(
        val name: String,
        override val rank: Int = 1,
        override val queuedSinceMillis: Long = 0,
        override val onTimeUntilMillis: Long = 10_000,
        override val maxWaitMillis: Long = 5_000,
    ) : QueuedRequest

    @TestFactory
    fun `queued requests are offered in order`(): List<DynamicTest> = listOf(
        "by arrival" to listOf(Request("b", queuedSinceMillis = 2), Request("a", queuedSinceMillis = 1)),
        "urgent requests first" to listOf(Request("b", rank = 2), Request("a", rank = 0, queuedSinceMillis = 9)),
        "late requests last" to listOf(Request("b", onTimeUntilMillis = 500), Request("a", queuedSinceMillis = 9)),
    ).map { (name, requests) ->
        dynamicTest(name) {
            val queue = WaitQueue<Request> { nowMillis }
            requests.forEach { queue.add(it) }
            val offered = ArrayList<String>()
            queue.offer { offered.add(it.name) }
            expectThat(offered).containsExactly("a", "b")
        }
    }

    @Test
    fun `requests that aren't accepted stay queued, as does one added during the offer`() {
        val queue = WaitQueue<Request> { nowMillis }
        queue.add(Request("a"))
        queue.add(Request("b", queuedSinceMillis = 1))
        queue.offer { request ->
            if (request.name == "a") queue.add(Request("c", queuedSinceMillis = 2))
            request.name == "a"
        }
        val remaining = ArrayList<String>()
        queue.offer { remaining.add(it.name) }
        expectThat(remaining).containsExactly("b", "c")
    }

    @Test
    fun `a request is removed after its maximum wait`() {
        val queue = WaitQueue<Request> { nowMillis }
        queue.add(Request("short", maxWaitMillis = 500))
        queue.add(Request("long"))
        expectThat(queue.expired().map { it.name }).containsExactly("short")
        expectThat(queue.size).isEqualTo(1)
    }
}
