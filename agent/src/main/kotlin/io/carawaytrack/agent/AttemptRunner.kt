/*
 * Runs one attempt from the entry's order to the last part of the answer. Whether a failure says "not run" depends only
 * on whether the upstream call had begun.
 */
package io.carawaytrack.agent

import io.carawaytrack.ledger.MAX_STORED_ANSWER_BYTES
import io.carawaytrack.ledger.StoredAnswer
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.model.notRun
import io.carawaytrack.wire.AnswerChunk
import io.carawaytrack.wire.AnswerEnd
import io.carawaytrack.wire.AnswerFailed
import io.carawaytrack.wire.AnswerHead
import io.carawaytrack.wire.AttemptRefused
import io.carawaytrack.wire.Header
import io.carawaytrack.wire.Message
import io.carawaytrack.wire.OpenAttempt
import io.carawaytrack.wire.Usage
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import java.io.ByteArrayOutputStream
import java.io.IOException

private const val SERVER_ERRORS_FROM = 500
private const val EVENT_STREAM = "text/event-stream"

/** Tells how an attempt that reached the upstream ended; [failure] is null for a complete answer. */
internal data class AttemptOutcome(
    val attempt: OpenAttempt,
    val usage: Usage,
    val answer: StoredAnswer?,
    val failure: Failure?,
    val elapsedMillis: Long,
)

/** One attempt on its way through the agent. */
internal class AttemptRunner(
    private val attempt: OpenAttempt,
    private val send: suspend (Message) -> Boolean,
    private val load: () -> UpstreamLoad,
    private val nowMillis: () -> Long,
) {
    /** Completed with true once the entry has committed the outcome, with false when the entry is gone. */
    val settled: CompletableDeferred<Boolean> = CompletableDeferred()

    private val credit = CreditGate(attempt.creditBytes)

    @Volatile
    private var begun = false

    fun addCredit(bytes: Long): Unit = credit.add(bytes)

    suspend fun refuse(failure: Failure) {
        send(AttemptRefused(attempt.attempt, failure, load()))
    }

    /** Runs the attempt to its end. */
    suspend fun run(runUpstream: RunUpstream): AttemptOutcome {
        val answer = RelayedAnswer()
        val startedAtMillis = nowMillis()
        val failure =
            try {
                withTimeout(attempt.timeoutMillis) {
                    begun = true
                    runUpstream(attempt, answer)
                }
                answer.incompleteness()
            } catch (_: TimeoutCancellationException) {
                timeout()
            } catch (broken: IOException) {
                upstreamFailed(broken)
            }
        return finish(answer, failure, nowMillis() - startedAtMillis)
    }

    private suspend fun finish(
        answer: RelayedAnswer,
        failure: Failure?,
        elapsedMillis: Long,
    ): AttemptOutcome {
        val usage = answer.usage()
        if (failure == null) {
            send(AnswerEnd(attempt.attempt, answer.chunks, usage, load()))
        } else {
            send(AnswerFailed(attempt.attempt, failure, load()))
        }
        return AttemptOutcome(attempt, usage, answer.stored(), failure, elapsedMillis)
    }

    /** Tells the entry whether the cancelled attempt may have run. */
    suspend fun cancelled() {
        if (!begun) return refuse(ErrorKind.CallerGone.notRun())
        send(AnswerFailed(attempt.attempt, Failure(ErrorKind.CallerGone, Execution.MayHaveRun), load()))
    }

    private fun timeout(): Failure {
        val detail = "expected the whole answer within ${attempt.timeoutMillis} ms"
        return Failure(ErrorKind.UpstreamTimeout, Execution.MayHaveRun, detail)
    }

    private fun upstreamFailed(cause: IOException): Failure {
        val refused = cause is java.net.ConnectException
        val execution = if (refused) Execution.NotRun else Execution.MayHaveRun
        return Failure(ErrorKind.UpstreamFailed, execution, "the upstream's connection failed: ${cause.message}")
    }

    private inner class RelayedAnswer : AnswerSink {
        private val kept = ByteArrayOutputStream()
        private var status = 0
        private var contentType: String? = null
        private var meter = UsageMeter(streamed = false)
        var chunks = 0L
            private set

        override suspend fun head(
            status: Int,
            headers: List<Header>,
        ) {
            this.status = status
            contentType = headers.find { it.name.equals("content-type", ignoreCase = true) }?.value
            meter = UsageMeter(streamed = contentType.orEmpty().startsWith(EVENT_STREAM))
            send(AnswerHead(attempt.attempt, status, headers))
        }

        override suspend fun chunk(bytes: ByteArray) {
            credit.take(bytes.size.toLong())
            meter.add(bytes)
            if (kept.size() <= MAX_STORED_ANSWER_BYTES) kept.write(bytes)
            send(AnswerChunk(attempt.attempt, chunks++, bytes))
        }

        fun usage(): Usage = meter.usage()

        /** Returns a failure when the stream has ended without its closing event. */
        fun incompleteness(): Failure? {
            meter.usage()
            if (meter.complete || status >= SERVER_ERRORS_FROM) return null
            return Failure(ErrorKind.IncompleteAnswer, Execution.Ran, "expected the closing event of the stream")
        }

        fun stored(): StoredAnswer? {
            if (status == 0) return null
            val body = kept.toByteArray().takeIf { it.size <= MAX_STORED_ANSWER_BYTES }
            return StoredAnswer(status, contentType, body, attempt.version)
        }
    }
}
