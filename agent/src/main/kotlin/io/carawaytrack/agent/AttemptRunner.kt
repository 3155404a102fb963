/*
 * Runs one attempt from the entry's message to the last chunk of the answer. A failure is reported as not run only if
 * the upstream cannot have received the request.
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

private const val MIN_SERVER_ERROR_STATUS = 500
private const val EVENT_STREAM = "text/event-stream"

/** Outcome of an attempt that was sent to the upstream; [failure] is null for a complete answer. */
internal data class AttemptOutcome(
    val attempt: OpenAttempt,
    val usage: Usage,
    val answer: StoredAnswer?,
    val failure: Failure?,
    val elapsedMillis: Long,
)

/** Runs one attempt and sends its answer or failure to the entry. */
internal class AttemptRunner(
    private val attempt: OpenAttempt,
    private val send: suspend (Message) -> Boolean,
    private val load: () -> UpstreamLoad,
    private val nowMillis: () -> Long,
) {
    /** Completes with true once the entry has settled the outcome, with false if it will not. */
    val settled: CompletableDeferred<Boolean> = CompletableDeferred()

    private val credit = CreditWindow(attempt.creditBytes)

    @Volatile
    private var upstreamCallStarted = false

    fun addCredit(bytes: Long): Unit = credit.add(bytes)

    suspend fun refuse(failure: Failure) {
        send(AttemptRefused(attempt.attempt, failure, load()))
    }

    suspend fun run(runUpstream: RunUpstream): AttemptOutcome {
        val answer = RelayedAnswer()
        val startedAtMillis = nowMillis()
        val failure =
            try {
                withTimeout(attempt.timeoutMillis) {
                    upstreamCallStarted = true
                    runUpstream(attempt, answer)
                }
                answer.incompleteFailure()
            } catch (_: TimeoutCancellationException) {
                timeoutFailure()
            } catch (disconnected: IOException) {
                connectionFailure(disconnected)
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
        return AttemptOutcome(attempt, usage, answer.storedAnswer(), failure, elapsedMillis)
    }

    /** Reports to the entry whether the cancelled attempt may have run. */
    suspend fun reportCancelled() {
        if (!upstreamCallStarted) return refuse(ErrorKind.CallerGone.notRun())
        send(AnswerFailed(attempt.attempt, Failure(ErrorKind.CallerGone, Execution.MayHaveRun), load()))
    }

    private fun timeoutFailure(): Failure {
        val detail = "expected a complete answer within ${attempt.timeoutMillis} ms"
        return Failure(ErrorKind.UpstreamTimeout, Execution.MayHaveRun, detail)
    }

    private fun connectionFailure(cause: IOException): Failure {
        val refused = cause is java.net.ConnectException
        val execution = if (refused) Execution.NotRun else Execution.MayHaveRun
        return Failure(ErrorKind.UpstreamFailed, execution, "connection to the upstream failed: ${cause.message}")
    }

    private inner class RelayedAnswer : AnswerSink {
        private val storedBody = ByteArrayOutputStream()
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
            credit.consume(bytes.size.toLong())
            meter.add(bytes)
            if (storedBody.size() <= MAX_STORED_ANSWER_BYTES) storedBody.write(bytes)
            send(AnswerChunk(attempt.attempt, chunks++, bytes))
        }

        fun usage(): Usage = meter.usage()

        /** Returns a failure if the stream ended without its closing event. */
        fun incompleteFailure(): Failure? {
            meter.usage()
            if (meter.complete || status >= MIN_SERVER_ERROR_STATUS) return null
            return Failure(ErrorKind.IncompleteAnswer, Execution.Ran, "stream ended without its closing event")
        }

        fun storedAnswer(): StoredAnswer? {
            if (status == 0) return null
            val body = storedBody.toByteArray().takeIf { it.size <= MAX_STORED_ANSWER_BYTES }
            return StoredAnswer(status, contentType, body, attempt.version)
        }
    }
}
