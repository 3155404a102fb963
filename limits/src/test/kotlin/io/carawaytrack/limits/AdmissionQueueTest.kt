/*
 * Tests the order of admission, the refusals with their error kinds, and the state of the queue after cancellation and
 * draining.
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
    private class Fixture(
        val scope: TestScope,
        settings: AdmissionSettings = AdmissionSettings(),
    ) {
        var permits = 1
        val queue = AdmissionQueue(settings, { scope.currentTime }) { permits }
        val tickets = ArrayDeque<Ticket>()
        val order = mutableListOf<String>()
        val refused = mutableMapOf<String, Failure>()

        fun submit(
            name: String,
            request: AdmissionRequest,
        ) = scope
            .launch { record(name, queue.acquire(request)) }
            .also { scope.runCurrent() }

        fun submit(name: String) = submit(name, request(name.substringBefore(' ')))

        fun closeOldest() {
            tickets.removeFirst().close()
            scope.runCurrent()
        }

        fun closeAll() {
            while (tickets.isNotEmpty()) closeOldest()
        }

        private fun record(
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

    private fun withFixture(
        settings: AdmissionSettings = AdmissionSettings(),
        steps: Fixture.() -> Unit,
    ) = runTest { Fixture(this, settings).steps() }

    private data class OrderCase(
        val name: String,
        val requests: List<Pair<String, AdmissionRequest>>,
        val order: List<String>,
    )

    private val orderCases =
        listOf(
            OrderCase(
                "requests of one organisation run in order of arrival",
                listOf("a1" to request("a"), "a2" to request("a"), "a3" to request("a")),
                listOf("a1", "a2", "a3"),
            ),
            OrderCase(
                "two organisations alternate",
                listOf("a1" to request("a"), "a2" to request("a"), "a3" to request("a"), "b1" to request("b")),
                listOf("a1", "b1", "a2", "a3"),
            ),
            OrderCase(
                "an organisation with a larger share runs more requests",
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
                "an expensive request delays the later ones of its organisation",
                listOf(
                    "a1" to request("a", cost = 10),
                    "a2" to request("a"),
                    "b1" to request("b"),
                    "b2" to request("b"),
                ),
                listOf("a1", "b1", "b2", "a2"),
            ),
            OrderCase(
                "priority takes precedence over share",
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
            withFixture {
                submit("holder", request("z", cost = 0))
                case.requests.forEach { (name, request) -> submit(name, request) }
                closeAll()
                expectThat(order.drop(1)).isEqualTo(case.order)
            }
        }
    }

    private data class RefusalCase(
        val name: String,
        val settings: AdmissionSettings,
        val kinds: Map<String, ErrorKind>,
        val steps: Fixture.() -> Unit,
    )

    private val refusalCases =
        listOf(
            RefusalCase(
                "a full queue refuses its only organisation with PoolExhausted",
                AdmissionSettings(maxWaiting = 1),
                mapOf("a 3" to ErrorKind.PoolExhausted),
            ) { listOf("a 1", "a 2", "a 3").forEach(::submit) },
            RefusalCase(
                "a request of the organisation that fills the queue is evicted for a small one",
                AdmissionSettings(maxWaiting = 2),
                mapOf("a 3" to ErrorKind.OrganisationLimit),
            ) { listOf("a 1", "a 2", "a 3", "b 1").forEach(::submit) },
            RefusalCase(
                "an organisation over its share is refused with OrganisationLimit",
                AdmissionSettings(maxWaiting = 2),
                mapOf("a 3" to ErrorKind.OrganisationLimit),
            ) { listOf("a 1", "a 2", "b 1", "a 3").forEach(::submit) },
            RefusalCase(
                "a batch request is evicted for a request of higher priority",
                AdmissionSettings(maxWaiting = 1),
                mapOf("batch" to ErrorKind.OrganisationLimit),
            ) {
                submit("a 1")
                submit("batch", request("b", priority = Priority.Batch))
                submit("a 2")
            },
            RefusalCase(
                "a request that would miss its deadline is refused immediately",
                AdmissionSettings(initialServiceTimeMillis = 1_000),
                mapOf("late" to ErrorKind.PoolExhausted),
            ) {
                submit("a 1")
                submit("late", request("b", deadlineAtMillis = 500))
                submit("in time", request("b", deadlineAtMillis = 1_500))
            },
            RefusalCase(
                "a request that waits until its deadline is refused at the deadline",
                AdmissionSettings(),
                mapOf("late" to ErrorKind.PoolExhausted),
            ) {
                submit("a 1")
                submit("late", request("b", deadlineAtMillis = 500))
                scope.testScheduler.advanceTimeBy(501)
                scope.runCurrent()
            },
            RefusalCase(
                "a closed queue refuses new requests and runs the waiting ones",
                AdmissionSettings(),
                mapOf("b 1" to ErrorKind.ShuttingDown),
            ) {
                submit("a 1")
                submit("a 2")
                queue.stopAccepting()
                submit("b 1")
                closeOldest()
                expectThat(order).containsExactly("a 1", "a 2")
            },
        )

    @TestFactory
    fun `refusals report NotRun`(): List<DynamicTest> = refusalCases.map { case ->
        dynamicTest(case.name) {
            withFixture(case.settings) {
                case.steps(this)
                expectThat(refused.mapValues { it.value.kind }).isEqualTo(case.kinds)
                refused.values.forEach { expectThat(it.execution).isEqualTo(Execution.NotRun) }
                closeAll()
                expectThat(queue.running to queue.waiting).isEqualTo(0 to 0)
            }
        }
    }

    @Test
    fun `a cancelled waiting request releases its place and its share`() = withFixture {
        submit("a 1")
        val cancelled = submit("a 2")
        submit("a 3")
        submit("b 1")
        cancelled.cancel()
        scope.runCurrent()
        closeAll()
        expectThat(order).containsExactly("a 1", "b 1", "a 3")
    }

    @Test
    fun `a request that is cancelled while it is admitted passes its ticket on`() = withFixture {
        submit("a 1")
        val cancelled = submit("a 2")
        submit("a 3")
        tickets.removeFirst().close()
        cancelled.cancel()
        scope.runCurrent()
        expectThat(order).containsExactly("a 1", "a 3")
        expectThat(queue.running).isEqualTo(1)
    }

    @Test
    fun `more permits admit more requests and fewer permits end none`() = withFixture {
        listOf("a 1", "a 2", "a 3").forEach(::submit)
        permits = 3
        queue.permitsChanged()
        scope.runCurrent()
        expectThat(queue.running).isEqualTo(3)
        permits = 1
        submit("a 4")
        closeOldest()
        expectThat(order).containsExactly("a 1", "a 2", "a 3")
        closeAll()
    }

    @Test
    fun `draining ends when the last ticket is closed, and closing a ticket twice has no effect`() = withFixture {
        listOf("a 1", "a 2").forEach(::submit)
        queue.stopAccepting()
        val idle = scope.async { queue.awaitIdle() }
        val first = tickets.first()
        closeOldest()
        first.close()
        expectThat(idle.isCompleted).isFalse()
        expectThat(queue.running).isEqualTo(1)
        closeOldest()
        expectThat(idle.isCompleted).isTrue()
    }

    @TestFactory
    fun `a flood by one organisation gets no small one refused`(): List<DynamicTest> = listOf(1L, 2L, 3L).map { seed ->
        dynamicTest("seed $seed") {
            withFixture(AdmissionSettings(maxWaiting = 50)) {
                permits = 2
                val random = Random(seed)
                repeat(2_000) {
                    submit("flood $it")
                    if (random.nextInt(10) == 0) submit("small $it")
                    if (random.nextInt(3) == 0 && tickets.isNotEmpty()) closeOldest()
                }
                closeAll()
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
            deadlineAtMillis: Long? = null,
        ) = AdmissionRequest(OrganisationName(organisation), share, priority, cost, deadlineAtMillis)
    }
}
