/*
 * The admission queue: who runs next, who is refused and with which error kind, and what cancellation and draining
 * leave behind.
 */
package io.carawaytrack.limits

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.Priority
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.random.Random

@OptIn(ExperimentalCoroutinesApi::class)
class AdmissionQueueTest {
    private class Bench(
        val scope: TestScope,
        settings: AdmissionSettings = AdmissionSettings(),
    ) {
        var permits = 1
        val queue = AdmissionQueue(settings, { scope.currentTime }) { permits }
        val tickets = ArrayDeque<Ticket>()
        val order = mutableListOf<String>()
        val refused = mutableMapOf<String, Failure>()

        fun enter(
            name: String,
            request: AdmissionRequest,
        ) = scope
            .launch { note(name, queue.acquire(request)) }
            .also { scope.runCurrent() }

        fun enter(name: String) = enter(name, request(name.substringBefore(' ')))

        fun endOldest() {
            tickets.removeFirst().close()
            scope.runCurrent()
        }

        fun endAll() {
            while (tickets.isNotEmpty()) endOldest()
        }

        private fun note(
            name: String,
            answer: Result<Ticket, Failure>,
        ) {
            answer.component1()?.let {
                order += name
                tickets += it
            }
            answer.getError()?.let { refused[name] = it }
        }
    }

    private fun bench(
        settings: AdmissionSettings = AdmissionSettings(),
        steps: Bench.() -> Unit,
    ) = runTest { Bench(this, settings).steps() }

    private data class OrderCase(
        val name: String,
        val requests: List<Pair<String, AdmissionRequest>>,
        val order: List<String>,
    )

    private val orderCases =
        listOf(
            OrderCase(
                "one organisation runs in order of arrival",
                listOf("a1" to request("a"), "a2" to request("a"), "a3" to request("a")),
                listOf("a1", "a2", "a3"),
            ),
            OrderCase(
                "two organisations take turns",
                listOf("a1" to request("a"), "a2" to request("a"), "a3" to request("a"), "b1" to request("b")),
                listOf("a1", "b1", "a2", "a3"),
            ),
            OrderCase(
                "a larger share gets more turns",
                listOf(
                    "a1" to request("a"),
                    "a2" to request("a"),
                    "a3" to request("a"),
                    "b1" to request("b", share = 4),
                    "b2" to request("b", share = 4),
                    "b3" to request("b", share = 4),
                ),
                listOf("a1", "b1", "b2", "b3", "a2", "a3"),
            ),
            OrderCase(
                "a costly request makes its organisation wait longer",
                listOf(
                    "a1" to request("a", cost = 10),
                    "a2" to request("a"),
                    "b1" to request("b"),
                    "b2" to request("b"),
                ),
                listOf("a1", "b1", "b2", "a2"),
            ),
            OrderCase(
                "priority comes before share",
                listOf(
                    "b1" to request("b", priority = Priority.Batch),
                    "a1" to request("a"),
                    "a2" to request("a"),
                ),
                listOf("a1", "a2", "b1"),
            ),
        )

    @TestFactory
    fun `waiting requests run by priority and fair share`(): List<DynamicTest> = orderCases.map { case ->
        dynamicTest(case.name) {
            bench {
                enter("holder", request("z", cost = 0))
                case.requests.forEach { (name, request) -> enter(name, request) }
                endAll()
                expectThat(order.drop(1)).isEqualTo(case.order)
            }
        }
    }

    private data class RefusalCase(
        val name: String,
        val settings: AdmissionSettings,
        val kinds: Map<String, ErrorKind>,
        val steps: Bench.() -> Unit,
    )

    private val refusalCases =
        listOf(
            RefusalCase(
                "a full queue refuses its only organisation for want of room",
                AdmissionSettings(maxWaiting = 1),
                mapOf("a 3" to ErrorKind.PoolExhausted),
            ) { listOf("a 1", "a 2", "a 3").forEach(::enter) },
            RefusalCase(
                "an organisation that fills the queue gives way to a small one",
                AdmissionSettings(maxWaiting = 2),
                mapOf("a 3" to ErrorKind.OrganisationLimit),
            ) { listOf("a 1", "a 2", "a 3", "b 1").forEach(::enter) },
            RefusalCase(
                "an organisation over its share is told so",
                AdmissionSettings(maxWaiting = 2),
                mapOf("a 3" to ErrorKind.OrganisationLimit),
            ) { listOf("a 1", "a 2", "b 1", "a 3").forEach(::enter) },
            RefusalCase(
                "a batch gives way to a request of higher priority",
                AdmissionSettings(maxWaiting = 1),
                mapOf("batch" to ErrorKind.OrganisationLimit),
            ) {
                enter("a 1")
                enter("batch", request("b", priority = Priority.Batch))
                enter("a 2")
            },
            RefusalCase(
                "what would miss its deadline is refused at once",
                AdmissionSettings(expectedHoldMillis = 1_000),
                mapOf("late" to ErrorKind.PoolExhausted),
            ) {
                enter("a 1")
                enter("late", request("b", deadlineMillis = 500))
                enter("in time", request("b", deadlineMillis = 1_500))
            },
            RefusalCase(
                "what has waited until its deadline is refused then",
                AdmissionSettings(),
                mapOf("late" to ErrorKind.PoolExhausted),
            ) {
                enter("a 1")
                enter("late", request("b", deadlineMillis = 500))
                scope.testScheduler.advanceTimeBy(501)
                scope.runCurrent()
            },
            RefusalCase(
                "a closed queue refuses what is new and serves what waits",
                AdmissionSettings(),
                mapOf("b 1" to ErrorKind.ShuttingDown),
            ) {
                enter("a 1")
                enter("a 2")
                queue.stopAccepting()
                enter("b 1")
                endOldest()
                expectThat(order).containsExactly("a 1", "a 2")
            },
        )

    @TestFactory
    fun `refusals say that nothing ran`(): List<DynamicTest> = refusalCases.map { case ->
        dynamicTest(case.name) {
            bench(case.settings) {
                case.steps(this)
                expectThat(refused.mapValues { it.value.kind }).isEqualTo(case.kinds)
                refused.values.forEach { expectThat(it.execution).isEqualTo(Execution.NotRun) }
                endAll()
                expectThat(queue.running to queue.waiting).isEqualTo(0 to 0)
            }
        }
    }

    @Test
    fun `a waiting request that is cancelled leaves its place and its share`() = bench {
        enter("a 1")
        val cancelled = enter("a 2")
        enter("a 3")
        enter("b 1")
        cancelled.cancel()
        scope.runCurrent()
        endAll()
        expectThat(order).containsExactly("a 1", "b 1", "a 3")
    }

    @Test
    fun `a request that is cancelled as its turn comes passes the ticket on`() = bench {
        enter("a 1")
        val cancelled = enter("a 2")
        enter("a 3")
        tickets.removeFirst().close()
        cancelled.cancel()
        scope.runCurrent()
        expectThat(order).containsExactly("a 1", "a 3")
        expectThat(queue.running).isEqualTo(1)
    }

    @Test
    fun `more permits let in more and fewer end nothing`() = bench {
        listOf("a 1", "a 2", "a 3").forEach(::enter)
        permits = 3
        queue.permitsChanged()
        scope.runCurrent()
        expectThat(queue.running).isEqualTo(3)
        permits = 1
        enter("a 4")
        endOldest()
        expectThat(order).containsExactly("a 1", "a 2", "a 3")
        endAll()
    }

    @Test
    fun `draining ends when the last ticket is closed, and a ticket counts once`() = bench {
        listOf("a 1", "a 2").forEach(::enter)
        queue.stopAccepting()
        val idle = scope.async { queue.awaitIdle() }
        val first = tickets.first()
        endOldest()
        first.close()
        expectThat(idle.isCompleted).isFalse()
        expectThat(queue.running).isEqualTo(1)
        endOldest()
        expectThat(idle.isCompleted).isTrue()
    }

    @TestFactory
    fun `a flood of one organisation does not slow a small one`(): List<DynamicTest> = listOf(1L, 2L, 3L).map { seed ->
        dynamicTest("seed $seed") {
            bench(AdmissionSettings(maxWaiting = 50)) {
                permits = 2
                val random = Random(seed)
                repeat(2_000) {
                    enter("flood $it")
                    if (random.nextInt(10) == 0) enter("small $it")
                    if (random.nextInt(3) == 0 && tickets.isNotEmpty()) endOldest()
                }
                endAll()
                val smallRefused = refused.keys.count { it.startsWith("small") }
                expectThat(smallRefused).isEqualTo(0)
                expectThat(order.count { it.startsWith("small") }).isIn(150..250)
                expectThat(refused.size).isLessThan(2_000)
                expectThat(refused.values.first()).isA<Failure>()
            }
        }
    }

    private companion object {
        fun request(
            organisation: String,
            share: Int = 1,
            cost: Long = 1,
            priority: Priority = Priority.Interactive,
            deadlineMillis: Long? = null,
        ) = AdmissionRequest(OrganisationName(organisation), share, priority, cost, deadlineMillis)
    }
}
