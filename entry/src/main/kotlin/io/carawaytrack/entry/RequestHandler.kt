/*
 * Takes a request from its intent to its answer: records the intent where a resend could be told apart, plans, runs the
 * steps of the plan, and records the outcome with one bill.
 */
package io.carawaytrack.entry

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.carawaytrack.ledger.LedgerCommand
import io.carawaytrack.ledger.LedgerReply
import io.carawaytrack.ledger.StoredAnswer
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.RequestId
import io.carawaytrack.model.notRun
import io.carawaytrack.routing.Observation
import io.carawaytrack.routing.Plan
import io.carawaytrack.routing.PlanRequest
import io.carawaytrack.routing.PlanStep
import io.carawaytrack.routing.Planner
import io.carawaytrack.telemetry.EntryMetrics

private const val PLANS_PER_REQUEST = 3

/** What the caller gets. */
internal sealed interface Reply {
    /** Identity under which the request is recorded. */
    val request: RequestId

    class Refused(
        override val request: RequestId,
        val failure: Failure,
    ) : Reply

    class Repeated(
        override val request: RequestId,
        val answer: StoredAnswer,
    ) : Reply

    class Answered(
        override val request: RequestId,
        val route: String,
        val answer: Answer,
        val finish: Finish,
    ) : Reply
}

/** Rates an answer from 0 to 1; null when no rating comes in time. */
internal typealias RateAnswer = suspend (request: RequestId, version: ModelVersion, answer: ByteArray) -> Double?

internal class RequestHandler(
    private val planner: Planner,
    private val dispatcher: Dispatcher,
    private val ledger: LedgerClient,
    private val pins: SessionPins,
    private val configuration: () -> Configuration,
    private val wallClockMillis: () -> Long,
    private val nowMillis: () -> Long,
    private val metrics: EntryMetrics,
    private val rate: RateAnswer,
) {
    suspend fun handle(request: CallerRequest): Reply {
        repeat(PLANS_PER_REQUEST) {
            tryOnce(request)?.let { return it }
        }
        return Reply.Refused(request.id, ErrorKind.NoHealthyUpstream.notRun("the planned versions were withdrawn"))
    }

    /** Returns null when the planned version was withdrawn between the plan and the intent. */
    private suspend fun tryOnce(request: CallerRequest): Reply? {
        val pin = pins.of(request)
        val plan = plan(request, pin).getOrElse { return Reply.Refused(request.id, it) }
        if (!needsIntent(request, pin)) return run(request, plan, pin != null, begun = false)
        val reply = begin(request, plan).getOrElse { return Reply.Refused(request.id, it) }
        return when (reply) {
            is LedgerReply.Started -> start(request, plan, reply)
            is LedgerReply.Repeated -> Reply.Repeated(reply.request, reply.answer)
            is LedgerReply.VersionGone -> pin?.let { Reply.Refused(request.id, sessionGone(it)) }
            else -> Reply.Refused(request.id, refusal(reply))
        }
    }

    // Without a key a resend cannot be told from a new request, so an intent would guard nothing.
    private fun needsIntent(
        request: CallerRequest,
        pin: ModelVersion?,
    ) = request.idempotencyKey != null || (request.session != null && pin == null)

    private fun plan(
        request: CallerRequest,
        pin: ModelVersion?,
    ): Result<Plan, Failure> = planner.plan(
        configuration(),
        PlanRequest(
            organisation = request.organisation,
            route = request.route,
            pinned = pin,
            estimatedTokens = request.estimatedTokens,
            startsSession = request.session != null && pin == null,
        ),
    )

    private suspend fun begin(
        request: CallerRequest,
        plan: Plan,
    ): Result<LedgerReply, Failure> = ledger.begin(
        LedgerCommand.Begin(
            organisation = request.organisation.name,
            request = request.id,
            key = request.idempotencyKey,
            digest = request.fingerprint,
            session = request.session,
            version = plan.steps.last().version,
            repeatable = request.repeatable,
            timeoutMillis = request.route.timeoutMillis,
            atMillis = wallClockMillis(),
        ),
    )

    private suspend fun start(
        request: CallerRequest,
        plan: Plan,
        started: LedgerReply.Started,
    ): Reply {
        if (request.session != null) pins.keep(request, started.version)
        val single = started.pinned || started.version != plan.steps.last().version
        val steps = if (single) Plan(listOf(PlanStep(started.version))) else plan
        return run(request.withId(started.request), steps, started.pinned, begun = true)
    }

    private fun refusal(reply: LedgerReply): Failure = when (reply) {
        is LedgerReply.InProgress -> Failure(ErrorKind.InProgress, Execution.MayHaveRun)
        is LedgerReply.Unknown -> Failure(ErrorKind.OutcomeUnknown, Execution.MayHaveRun)
        is LedgerReply.Conflicting -> ErrorKind.ConflictingReuse.notRun()
        else -> ErrorKind.Internal.notRun("expected a reply to an intent")
    }

    private fun sessionGone(pin: ModelVersion) = ErrorKind.SessionVersionWithdrawn.notRun("$pin may not run any more")

    private suspend fun run(
        request: CallerRequest,
        plan: Plan,
        pinned: Boolean,
        begun: Boolean,
    ): Reply {
        val finish = Finish(request, ledger, planner, metrics, wallClockMillis, nowMillis)
        plan.steps.dropLast(1).forEach { step ->
            trial(request, step, pinned, finish)?.let { return it }
        }
        val last = plan.steps.last().version
        val answer =
            dispatcher.open(request, last, pinned).getOrElse { failure ->
                planner.observe(request.route.name, last, Observation.Failed)
                return refused(request, failure, begun)
            }
        return Reply.Answered(request.id, request.route.name, answer, finish)
    }

    /** Runs a step of a cascade whose answer must be rated; returns null when the next step is to run. */
    private suspend fun trial(
        request: CallerRequest,
        step: PlanStep,
        pinned: Boolean,
        finish: Finish,
    ): Reply? {
        val answer =
            dispatcher.open(request, step.version, pinned).getOrElse {
                planner.observe(request.route.name, step.version, Observation.Failed)
                return null
            }
        val whole = collected(answer).getOrElse { return null }
        if (taken(
                request,
                whole,
                step.acceptRating ?: 0.0,
            )
        ) {
            return Reply.Answered(request.id, request.route.name, whole, finish)
        }
        finish.discard(whole)
        metrics.escalated(request.route.name, step.version)
        return null
    }

    private suspend fun taken(
        request: CallerRequest,
        answer: CollectedAnswer,
        threshold: Double,
    ): Boolean {
        val rating = rate(request.id, answer.version, answer.body) ?: return false
        planner.observe(request.route.name, answer.version, Observation.Rated(rating))
        metrics.rated(request.route.name, answer.version, rating)
        return rating >= threshold
    }

    private suspend fun refused(
        request: CallerRequest,
        failure: Failure,
        begun: Boolean,
    ): Reply {
        if (begun && failure.execution == Execution.NotRun) {
            ledger.finish(LedgerCommand.Abandon(request.organisation.name, request.id))
        }
        return Reply.Refused(request.id, failure)
    }
}
