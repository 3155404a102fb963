/*
 * Completion of a request: records one outcome and one bill in the ledger, however many attempts were made.
 */
package io.carawaytrack.entry

import io.carawaytrack.ledger.LedgerCommand
import io.carawaytrack.ledger.MAX_STORED_ANSWER_BYTES
import io.carawaytrack.ledger.StoredAnswer
import io.carawaytrack.model.Bill
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.routing.Observation
import io.carawaytrack.routing.Planner
import io.carawaytrack.telemetry.EntryMetrics

private const val TOKENS_PER_KILO_TOKEN = 1_000.0
private const val MIN_ERROR_STATUS = 400

internal class RequestCompletion(
    private val request: CallerRequest,
    private val ledger: LedgerClient,
    private val planner: Planner,
    private val metrics: EntryMetrics,
    private val wallClockMillis: () -> Long,
    private val nowMillis: () -> Long,
    private val onAccepted: (answer: Answer, body: ByteArray, escalated: Boolean) -> Unit,
) {
    private val discarded = mutableListOf<Answer>()
    private val startedAtMillis = nowMillis()

    /** Strongest execution state of all attempts so far; a refusal of the request must not report a weaker one. */
    var execution: Execution = Execution.NotRun
        private set

    fun recordFailure(failure: Failure) {
        execution = maxOf(execution, failure.execution)
    }

    /** Records an answer that was not accepted; from here on only this entry is responsible for the outcome. */
    suspend fun discard(answer: Answer) {
        discarded += answer
        execution = Execution.Ran
        answer.notifySettled()
    }

    /** Records [answer] with its [body]; with an idempotency key, waits until the outcome is committed for retries. */
    suspend fun complete(
        answer: Answer,
        body: ByteArray?,
    ) {
        observe(answer)
        if (body != null) onAccepted(answer, body, discarded.isNotEmpty())
        val command = command(answer, body)
        command.bill?.let { metrics.billed(request.route.name, it) }
        if (request.idempotencyKey == null) return ledger.finishInBackground(command) { answer.notifySettled() }
        if (ledger.finish(command)) answer.notifySettled()
    }

    private fun observe(answer: Answer) {
        val tokens = answer.usage.promptTokens + answer.usage.answerTokens
        val observation = Observation.Completed(nowMillis() - startedAtMillis, tokens)
        planner.observe(request.route.name, answer.version, observation)
    }

    private fun command(
        answer: Answer,
        body: ByteArray?,
    ): LedgerCommand.Finish = LedgerCommand.Finish(
        organisation = request.organisation.name,
        request = request.id,
        answer = if (request.idempotencyKey == null) null else storedAnswer(answer, body),
        bill = if (answer.head.status >= MIN_ERROR_STATUS) null else bill(discarded + answer),
        atMillis = wallClockMillis(),
    )

    private fun storedAnswer(
        answer: Answer,
        body: ByteArray?,
    ) = StoredAnswer(
        status = answer.head.status,
        contentType = answer.head.contentType,
        body = body?.takeIf { it.size <= MAX_STORED_ANSWER_BYTES },
        version = answer.version,
    )

    private fun bill(answers: List<Answer>) = Bill(
        request = request.id,
        organisation = request.organisation.name,
        attempts = answers.map(Answer::version),
        promptTokens = answers.sumOf { it.usage.promptTokens },
        answerTokens = answers.sumOf { it.usage.answerTokens },
        cost = answers.sumOf(::cost),
    )

    private fun cost(answer: Answer): Double {
        val tokens = answer.usage.promptTokens + answer.usage.answerTokens
        return tokens / TOKENS_PER_KILO_TOKEN * answer.member.costPerKiloToken
    }
}

internal val AnswerEvent.Head.contentType: String?
    get() = headers.find { it.name.equals("content-type", ignoreCase = true) }?.value
