/*
 * How an entry handles the messages of its agents: whether it retries a request on another upstream, and which answer
 * or failure the caller receives. The agents are scripted and time is virtual.
 */
package io.carawaytrack.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.carawaytrack.fakes.FakeLink
import io.carawaytrack.fakes.testPeer
import io.carawaytrack.limits.MemoryBudget
import io.carawaytrack.limits.MemorySettings
import io.carawaytrack.limits.RetryBudget
import io.carawaytrack.limits.RetrySettings
import io.carawaytrack.membership.Lease
import io.carawaytrack.model.Announcement
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.Membership
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.Organisation
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.Pool
import io.carawaytrack.model.PoolMember
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.RequestId
import io.carawaytrack.model.Route
import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.Tables
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.model.ZoneName
import io.carawaytrack.model.notRun
import io.carawaytrack.routing.UpstreamChooser
import io.carawaytrack.telemetry.EntryMetrics
import io.carawaytrack.telemetry.MemoryMetrics
import io.carawaytrack.wire.AnswerChunk
import io.carawaytrack.wire.AnswerEnd
import io.carawaytrack.wire.AnswerFailed
import io.carawaytrack.wire.AnswerHead
import io.carawaytrack.wire.AttemptRefused
import io.carawaytrack.wire.CancelAttempt
import io.carawaytrack.wire.Message
import io.carawaytrack.wire.OpenAttempt
import io.carawaytrack.wire.Usage
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.random.Random

private const val TIMEOUT_MILLIS = 10_000L
private const val MEMORY_BYTES = 1_000_000L
private val load = UpstreamLoad(4, 0)
private val stock = ModelVersion("stock", ModelVersion.SERVICE_VERSION)
private val pool = PoolName("stock")
private val route = Route("stock", ServiceKind.Service, listOf("POST"), "/", null, listOf("*"), pool)
private val configuration =
    Configuration(
        number = 1,
        tables = Tables(pools = listOf(Pool(pool, ServiceKind.Service, listOf(PoolMember(stock))))),
    )
private val mayHaveRun = Failure(ErrorKind.UpstreamFailed, Execution.MayHaveRun)

/** Messages that an agent sends in reply to an attempt; null closes its link. */
private typealias Script = (OpenAttempt) -> List<Message?>

private val neverReplies: Script = { emptyList() }
private val closesLink: Script = { listOf(null) }
private val refuses: Script = { listOf(AttemptRefused(it.attempt, ErrorKind.StaleConfiguration.notRun(), load)) }
private val fails: Script = { listOf(AnswerFailed(it.attempt, mayHaveRun, load)) }
private val answers: Script = { listOf(head(it), chunk(it, 0), end(it, 1)) }

private fun head(request: OpenAttempt) = AnswerHead(request.attempt, 200, emptyList())

private fun chunk(
    request: OpenAttempt,
    sequence: Long,
    attempt: Long = request.attempt,
) = AnswerChunk(attempt, sequence, "$sequence".encodeToByteArray())

private fun end(
    request: OpenAttempt,
    chunks: Long,
) = AnswerEnd(request.attempt, chunks, Usage(), load)

/** An entry whose agents run their scripts in order, one for each attempt. */
private class TestEntry(
    scope: TestScope,
    private val agents: CoroutineScope,
    private val scripts: Map<String, List<Script>>,
    leaseMillis: Long,
    private val onCancel: Execution? = null,
) {
    var runs = 0
    var cancels = 0
    private val nowMillis = { scope.testScheduler.currentTime }
    private val registry = PrometheusRegistry()
    private val budget = MemoryBudget(MemorySettings(MEMORY_BYTES, streamBytes = MEMORY_BYTES / 2), nowMillis)
    private val memory = AnswerMemoryLimiter(budget, MemoryMetrics(registry, MEMORY_BYTES, budget::usedBytes))
    private val chooser = UpstreamChooser(ZoneName("z1"), nowMillis, Random(1)).also { it.update(membership()) }
    private val dispatcher =
        Dispatcher(
            chooser = chooser,
            links = AgentLinks(agents, { connect(names[it.port - 1]) }, memory),
            lease =
                object : Lease {
                    override fun remainingMillis() = leaseMillis
                },
            configuration = { configuration },
            nowMillis = nowMillis,
            windowBytes = 1_000,
            retryBudget = RetryBudget(RetrySettings(minRetries = 100), nowMillis),
            metrics = EntryMetrics(registry),
        )
    private val names get() = scripts.keys.toList()
    private val pendingScripts = scripts.mapValues { ArrayDeque(it.value) }

    private fun membership() = Membership(1, true, names.mapIndexed { index, name -> announcement(name, index + 1) })

    private fun announcement(
        name: String,
        port: Int,
    ) = Announcement(UpstreamId(name), ZoneName("z1"), "127.0.0.1", port, 1, listOf(stock), load)

    private fun connect(name: String): Result<FakeLink, Failure> {
        val script = pendingScripts.getValue(name)
        if (script.isEmpty()) return Err(ErrorKind.ControlUnavailable.notRun("connection refused"))
        val link = FakeLink(testPeer(name, NodeRole.Agent))
        agents.launch { run(link, script) }
        return Ok(link)
    }

    private suspend fun run(
        link: FakeLink,
        script: ArrayDeque<Script>,
    ) {
        while (true) {
            val message = link.awaitSent()
            if (message is CancelAttempt) onCancelAttempt(link, message)
            if (message !is OpenAttempt) continue
            val replies = script.removeFirst()(message)
            if (replies.none { it is AttemptRefused }) runs++
            replies.forEach { if (it == null) link.close() else link.deliver(it) }
        }
    }

    private fun onCancelAttempt(
        link: FakeLink,
        message: CancelAttempt,
    ) {
        cancels++
        if (onCancel != Execution.NotRun) return
        link.deliver(AttemptRefused(message.attempt, ErrorKind.CallerGone.notRun(), load))
    }

    suspend fun send(repeatable: Boolean): Result<Answer, Failure> {
        val methods = if (repeatable) listOf("POST") else emptyList()
        val request =
            CallerRequest(
                id = RequestId("r1"),
                organisation = Organisation(OrganisationName("market"), emptyList(), listOf("*@*")),
                route = route.copy(repeatableMethods = methods),
                method = "POST",
                path = "/",
                headers = emptyList(),
                body = ByteArray(0),
                chat = null,
                session = null,
                idempotencyKey = null,
                traceparent = null,
                deadlineAtMillis = nowMillis() + TIMEOUT_MILLIS,
            )
        return dispatcher.open(request, stock, pinned = false)
    }
}

class DispatchTest {
    private class Case(
        val name: String,
        val scripts: List<Script>,
        val runs: Int,
        val execution: Execution?,
        val repeatable: Boolean = false,
        val leaseMillis: Long = 1,
    )

    private val cases =
        listOf(
            Case("an answer", listOf(answers), runs = 1, execution = null),
            Case("a refusal, then an answer", listOf(refuses, answers), runs = 1, execution = null),
            Case("may have run, not repeatable", listOf(fails, answers), 1, Execution.MayHaveRun),
            Case("may have run, repeatable", listOf(fails, answers), 2, execution = null, repeatable = true),
            Case("may have run twice", listOf(fails, fails, answers), 2, Execution.MayHaveRun, repeatable = true),
            Case("may have run, then refusals", listOf(fails, refuses), 1, Execution.MayHaveRun, repeatable = true),
            Case("a link closed before the head", listOf(closesLink, answers), 1, Execution.MayHaveRun),
            Case("a link closed, repeatable", listOf(closesLink, answers), 2, execution = null, repeatable = true),
            Case("only refusals", listOf(refuses), runs = 0, Execution.NotRun),
            Case("a lapsed lease", listOf(answers), runs = 0, Execution.NotRun, leaseMillis = 0),
            Case("no reply", listOf(neverReplies, answers), runs = 1, Execution.MayHaveRun),
            Case("no reachable agent", emptyList(), runs = 0, Execution.NotRun),
        )

    @TestFactory
    fun `a request is retried only where safe, and its failure states whether it may have run`(): List<DynamicTest> =
        cases.map { case ->
            dynamicTest(case.name) {
                runTest {
                    // All upstreams share the scripts, which run in the order of the attempts.
                    val remaining = ArrayDeque(case.scripts)
                    val shared: Script = { open -> remaining.removeFirstOrNull()?.invoke(open) ?: refuses(open) }
                    val scripts = if (case.scripts.isEmpty()) emptyList() else List(100) { shared }
                    val names = listOf("a", "b", "c").associateWith { scripts }
                    val entry = TestEntry(this, backgroundScope, names, case.leaseMillis)
                    val result = entry.send(case.repeatable)
                    expectThat(result.getError()?.execution).isEqualTo(case.execution)
                    expectThat(entry.runs).isEqualTo(case.runs)
                }
            }
        }

    @Test
    fun `a request that times out fails as not run only when its agent reports so`() {
        val expected = mapOf(Execution.NotRun to Execution.NotRun, null to Execution.MayHaveRun)
        expected.forEach { (reportedByAgent, receivedByCaller) ->
            runTest {
                val entry = TestEntry(this, backgroundScope, mapOf("a" to listOf(neverReplies)), 1, reportedByAgent)
                expectThat(entry.send(repeatable = false).getError()?.execution).isEqualTo(receivedByCaller)
                expectThat(entry.cancels).isEqualTo(1)
            }
        }
    }

    private class Delivery(
        val name: String,
        val body: String?,
        val messages: Script,
    )

    private val deliveries =
        listOf(
            Delivery("in order", "01") { listOf(head(it), chunk(it, 0), chunk(it, 1), end(it, 2)) },
            Delivery("a duplicate", "01") { listOf(head(it), chunk(it, 0), chunk(it, 0), chunk(it, 1), end(it, 2)) },
            Delivery("a late duplicate", "01") {
                listOf(head(it), chunk(it, 0), chunk(it, 1), chunk(it, 0), end(it, 2))
            },
            Delivery("a chunk of another attempt", "0") {
                listOf(head(it), chunk(it, 0), chunk(it, 1, attempt = it.attempt + 7), end(it, 1))
            },
            Delivery("a chunk after the end", "0") { listOf(head(it), chunk(it, 0), end(it, 1), chunk(it, 1)) },
            Delivery("a gap", null) { listOf(head(it), chunk(it, 0), chunk(it, 2), end(it, 3)) },
            Delivery("a chunk out of order", null) {
                listOf(head(it), chunk(it, 1), chunk(it, 0), chunk(it, 1), end(it, 2))
            },
            Delivery("a missing last chunk", null) { listOf(head(it), chunk(it, 0), end(it, 2)) },
            Delivery("a closed link", null) { listOf(head(it), chunk(it, 0), null) },
            Delivery("a failure", null) { listOf(head(it), chunk(it, 0), AnswerFailed(it.attempt, mayHaveRun, load)) },
        )

    @TestFactory
    fun `a caller receives the complete answer or a failure`(): List<DynamicTest> = deliveries.map { case ->
        dynamicTest(case.name) {
            runTest {
                val entry = TestEntry(this, backgroundScope, mapOf("a" to listOf(case.messages)), leaseMillis = 1)
                val answer = collect(entry.send(repeatable = false).get()!!)
                expectThat(answer.get()?.body?.decodeToString()).isEqualTo(case.body)
                if (case.body != null) expectThat(answer.getError()).isNull()
                if (case.body == null) expectThat(answer.getError()?.execution).isEqualTo(Execution.MayHaveRun)
            }
        }
    }
}
