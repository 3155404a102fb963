/*
 * Replies of an agent to an entry: refused attempts, upstream failures, and entries that are slow or disconnect. The
 * link is a fake and time is virtual.
 */
package io.carawaytrack.agent

import io.carawaytrack.fakes.awaitSentOf
import io.carawaytrack.ledger.LedgerCommand
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.RequestId
import io.carawaytrack.model.VersionState
import io.carawaytrack.wire.AnswerChunk
import io.carawaytrack.wire.AnswerEnd
import io.carawaytrack.wire.AnswerFailed
import io.carawaytrack.wire.AttemptRefused
import io.carawaytrack.wire.AttemptSettled
import io.carawaytrack.wire.CancelAttempt
import io.carawaytrack.wire.Credit
import io.carawaytrack.wire.OpenAttempt
import io.carawaytrack.wire.Usage
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import java.io.IOException
import java.net.ConnectException

private val answerBody = """{"usage":{"prompt_tokens":3,"completion_tokens":4}}""".encodeToByteArray()

private val completeAnswer: RunUpstream = { _, sink ->
    sink.head(200, jsonHeaders)
    sink.chunk(answerBody)
}

private suspend fun AnswerSink.event(text: String) = chunk("data: $text\n\n".encodeToByteArray())

class AgentTest {
    private fun withAgent(
        upstream: RunUpstream,
        permits: Int = 8,
        test: suspend TestScope.(TestAgent) -> Unit,
    ) = runTest {
        val agent = TestAgent(backgroundScope, { testScheduler.currentTime }, permits, upstream)
        backgroundScope.launch { agent.entryService.serve(agent.link) }
        test(agent)
    }

    private class Refusal(
        val name: String,
        val kind: ErrorKind?,
        val openAttempt: OpenAttempt = openAttempt(),
        val configuration: Configuration = inForce,
        val leaseMillis: Long = 1,
        val shuttingDown: Boolean = false,
    )

    private val refusals =
        listOf(
            Refusal("serving", kind = null),
            Refusal("a lapsed lease", ErrorKind.ControlUnavailable, leaseMillis = 0),
            Refusal(
                "a zone out of service",
                ErrorKind.NoHealthyUpstream,
                configuration = inForce.copy(zonesOut = setOf(zone)),
            ),
            Refusal(
                "an upstream out of service",
                ErrorKind.NoHealthyUpstream,
                configuration = inForce.copy(upstreamsOut = setOf(upstreamId)),
            ),
            Refusal(
                "a draining version without a pin",
                ErrorKind.StaleConfiguration,
                configuration = inForce.withState(VersionState.Draining),
            ),
            Refusal(
                "a draining version with a pin",
                kind = null,
                openAttempt(pinned = true),
                inForce.withState(VersionState.Draining),
            ),
            Refusal(
                "a withdrawn version",
                ErrorKind.StaleConfiguration,
                configuration = inForce.withState(VersionState.Withdrawn),
            ),
            Refusal(
                "a withdrawn version with a pin",
                ErrorKind.StaleConfiguration,
                openAttempt(pinned = true),
                inForce.withState(VersionState.Withdrawn),
            ),
            Refusal(
                "an attempt planned before the withdrawal",
                ErrorKind.StaleConfiguration,
                openAttempt(configurationNumber = 1),
                inForce.withState(VersionState.Withdrawn).copy(number = 2),
            ),
            Refusal(
                "a version that the organisation does not allow",
                ErrorKind.NotAllowed,
                configuration =
                    inForce.copy(
                        tables = inForce.tables.copy(organisations = listOf(market.copy(allows = listOf("ink@1")))),
                    ),
            ),
            Refusal("an unknown organisation", ErrorKind.NotAllowed, openAttempt(organisation = "nobody")),
            Refusal(
                "a version that the upstream does not serve",
                ErrorKind.NoHealthyUpstream,
                openAttempt(version = ModelVersion("pen", "2")),
            ),
            Refusal("a planned shutdown", ErrorKind.ShuttingDown, shuttingDown = true),
        )

    @TestFactory
    fun `a refused attempt never reaches the upstream and is reported as not run`(): List<DynamicTest> =
        refusals.map { case ->
            dynamicTest(case.name) {
                withAgent(completeAnswer) { agent ->
                    agent.control.configuration = case.configuration
                    agent.control.lease.millis = case.leaseMillis
                    agent.admissionCheck.shuttingDown = case.shuttingDown
                    agent.link.deliver(case.openAttempt)
                    runCurrent()
                    if (case.kind == null) {
                        expectThat(agent.runs).containsExactly(1L)
                    } else {
                        expectThat(agent.link.awaitSent()).isA<AttemptRefused>().get { failure }.and {
                            get { kind }.isEqualTo(case.kind)
                            get { execution }.isEqualTo(Execution.NotRun)
                        }
                        expectThat(agent.runs).isEmpty()
                    }
                }
            }
        }

    private class UpstreamFailure(
        val name: String,
        val kind: ErrorKind,
        val execution: Execution,
        val upstream: RunUpstream,
    )

    private val upstreamFailures =
        listOf(
            UpstreamFailure("a refused connection", ErrorKind.UpstreamFailed, Execution.NotRun) { _, _ ->
                throw ConnectException("refused")
            },
            UpstreamFailure(
                "a connection lost before the head",
                ErrorKind.UpstreamFailed,
                Execution.MayHaveRun,
            ) { _, _ ->
                throw IOException("reset")
            },
            UpstreamFailure(
                "a connection lost during the answer",
                ErrorKind.UpstreamFailed,
                Execution.MayHaveRun,
            ) { _, sink ->
                sink.head(200, jsonHeaders)
                sink.chunk(answerBody)
                throw IOException("reset")
            },
            UpstreamFailure(
                "a stream without its closing event",
                ErrorKind.IncompleteAnswer,
                Execution.Ran,
            ) { _, sink ->
                sink.head(200, streamHeaders)
                sink.event("{}")
            },
            UpstreamFailure("an upstream that never answers", ErrorKind.UpstreamTimeout, Execution.MayHaveRun) { _, _ ->
                awaitCancellation()
            },
            UpstreamFailure(
                "an upstream that stalls mid-answer",
                ErrorKind.UpstreamTimeout,
                Execution.MayHaveRun,
            ) { _, sink ->
                sink.head(200, streamHeaders)
                sink.event("{}")
                awaitCancellation()
            },
        )

    @TestFactory
    fun `a failed attempt reports whether the upstream may have run it, and is not billed`() =
        upstreamFailures.map { case ->
            dynamicTest(case.name) {
                withAgent(case.upstream) { agent ->
                    agent.link.deliver(openAttempt())
                    expectThat(agent.link.awaitSentOf<AnswerFailed>().failure).and {
                        get { kind }.isEqualTo(case.kind)
                        get { execution }.isEqualTo(case.execution)
                    }
                    expectThat(testScheduler.currentTime).isLessThanOrEqualTo(ATTEMPT_TIMEOUT_MILLIS)
                    advanceTimeBy(2 * SETTLE_MILLIS)
                    expectThat(agent.control.committed).isEmpty()
                }
            }
        }

    @Test
    fun `an attempt cancelled after its start is reported as may have run and frees its permit`() =
        withAgent({ _, _ -> awaitCancellation() }) { agent ->
            agent.link.deliver(openAttempt())
            runCurrent()
            agent.link.deliver(CancelAttempt(1))
            expectThat(agent.link.awaitSentOf<AnswerFailed>().failure)
                .isEqualTo(Failure(ErrorKind.CallerGone, Execution.MayHaveRun))
            runCurrent()
            expectThat(agent.entryService.load().running).isEqualTo(0)
        }

    @Test
    fun `an attempt cancelled before its start is refused and never reaches the upstream`() =
        withAgent(completeAnswer) { agent ->
            // Both messages arrive before the attempt is scheduled.
            agent.link.deliver(openAttempt())
            agent.link.deliver(CancelAttempt(1))
            runCurrent()
            expectThat(agent.runs).isEmpty()
            expectThat(
                agent.link.sentOrNull(),
            ).isA<AttemptRefused>().get { failure.execution }.isEqualTo(Execution.NotRun)
            expectThat(agent.entryService.load().running).isEqualTo(0)
        }

    @Test
    fun `an attempt cancelled in the wait queue is reported as not run`() =
        withAgent({ _, _ -> awaitCancellation() }, permits = 1) { agent ->
            agent.link.deliver(openAttempt(attempt = 1))
            agent.link.deliver(openAttempt(attempt = 2))
            runCurrent()
            agent.link.deliver(CancelAttempt(2))
            expectThat(
                agent.link.awaitSent(),
            ).isA<AttemptRefused>().get { failure.execution }.isEqualTo(Execution.NotRun)
            expectThat(agent.runs).containsExactly(1L)
        }

    @Test
    fun `an attempt whose version is withdrawn in the wait queue is not run`() {
        val release = CompletableDeferred<Unit>()
        withAgent({ _, _ -> release.await() }, permits = 1) { agent ->
            agent.link.deliver(openAttempt(attempt = 1))
            agent.link.deliver(openAttempt(attempt = 2))
            runCurrent()
            agent.control.configuration = inForce.withState(VersionState.Withdrawn)
            release.complete(Unit)
            expectThat(
                agent.link
                    .awaitSentOf<AttemptRefused>()
                    .failure.kind,
            ).isEqualTo(ErrorKind.StaleConfiguration)
            expectThat(agent.runs).containsExactly(1L)
        }
    }

    @Test
    fun `a slow reader blocks only its own answer`() {
        val chunksRead = HashMap<Long, Int>()
        withAgent({ attempt, sink ->
            sink.head(200, jsonHeaders)
            repeat(10) {
                sink.chunk(ByteArray(100))
                chunksRead.merge(attempt.attempt, 1, Int::plus)
            }
        }) { agent ->
            agent.link.deliver(openAttempt(attempt = 1, creditBytes = 250))
            agent.link.deliver(openAttempt(attempt = 2, creditBytes = 1_000))
            runCurrent()
            expectThat(chunksRead).isEqualTo(hashMapOf(1L to 3, 2L to 10))
            agent.link.deliver(Credit(1, 50))
            runCurrent()
            expectThat(chunksRead[1]).isEqualTo(3)
            agent.link.deliver(Credit(1, 1))
            runCurrent()
            expectThat(chunksRead[1]).isEqualTo(4)
        }
    }

    @Test
    fun `a repeatable attempt is cancelled when its entry disconnects`() =
        withAgent({ _, _ -> awaitCancellation() }) { agent ->
            agent.link.deliver(openAttempt(repeatable = true))
            runCurrent()
            agent.link.close()
            runCurrent()
            expectThat(agent.entryService.load().running).isEqualTo(0)
            expectThat(agent.control.committed).isEmpty()
        }

    @Test
    fun `an attempt that is not repeatable finishes after its entry disconnects and the agent settles it`() {
        val release = CompletableDeferred<Unit>()
        withAgent({ attempt, sink ->
            release.await()
            completeAnswer(attempt, sink)
        }) { agent ->
            agent.link.deliver(openAttempt(repeatable = false, creditBytes = 0))
            runCurrent()
            agent.link.close()
            runCurrent()
            expectThat(agent.entryService.load().running).isEqualTo(1)
            release.complete(Unit)
            runCurrent()
            expectThat(agent.control.committed.single()).isA<LedgerCommand.Finish>().and {
                get { request }.isEqualTo(RequestId("r1"))
                get { bill?.promptTokens }.isEqualTo(3)
                get { answer?.body?.decodeToString() }.isEqualTo(answerBody.decodeToString())
            }
        }
    }

    @Test
    fun `the agent commits only outcomes that the entry has not settled in time`() =
        withAgent(completeAnswer) { agent ->
            agent.link.deliver(openAttempt(attempt = 1))
            agent.link.deliver(openAttempt(attempt = 2))
            repeat(2) { agent.link.awaitSentOf<AnswerEnd>() }
            agent.link.deliver(AttemptSettled(1))
            advanceTimeBy(SETTLE_MILLIS)
            expectThat(agent.control.committed).isEmpty()
            advanceTimeBy(1)
            runCurrent()
            expectThat(agent.control.committed.map { (it as LedgerCommand.Finish).request })
                .containsExactly(RequestId("r2"))
        }

    @Test
    fun `a planned stop lets a running attempt finish and refuses the next one`() {
        val release = CompletableDeferred<Unit>()
        withAgent({ attempt, sink ->
            release.await()
            completeAnswer(attempt, sink)
        }) { agent ->
            agent.link.deliver(openAttempt(attempt = 1))
            runCurrent()
            agent.admissionCheck.shuttingDown = true
            val idle = launch { agent.entryService.awaitIdle() }
            agent.link.deliver(openAttempt(attempt = 2))
            expectThat(agent.link.awaitSent()).isA<AttemptRefused>().get { attempt }.isEqualTo(2)
            runCurrent()
            expectThat(idle.isActive).isTrue()
            release.complete(Unit)
            expectThat(
                agent.link
                    .awaitSentOf<AnswerChunk>()
                    .bytes.size,
            ).isEqualTo(answerBody.size)
            expectThat(agent.link.awaitSentOf<AnswerEnd>().chunks).isEqualTo(1)
            idle.join()
        }
    }

    @Test
    fun `a stream is complete once its closing event has arrived, whatever its chunk boundaries`() {
        val stream = "data: {}\n\ndata: {\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4}}\n\ndata: [DONE]\n\n"
        (1..stream.length).forEach { size ->
            val meter = UsageMeter(streamed = true)
            stream
                .encodeToByteArray()
                .toList()
                .chunked(size)
                .forEach { meter.add(it.toByteArray()) }
            expectThat(meter.usage()).isEqualTo(Usage(3, 4))
            expectThat(meter.complete).isTrue()
        }
        val partial = UsageMeter(streamed = true).also { it.add(stream.removeSuffix("[DONE]\n\n").encodeToByteArray()) }
        expectThat(partial.usage()).isEqualTo(Usage(3, 4))
        expectThat(partial.complete).isFalse()
        expectThat(UsageMeter(streamed = false).also { it.add("no JSON".encodeToByteArray()) }.usage())
            .isEqualTo(Usage())
    }
}
