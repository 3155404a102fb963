/*
 * Takes a request from its intent to its answer: records the intent where a resend could be told apart, plans, runs the
 * steps of the plan, and records the outcome with one bill.
 */
package io.carawaytrack.entry

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
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
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

private const val PLANS_PER_REQUEST = 3

/** What the caller gets. */
internal sealed interface Reply {
    /** Identity under which the request is recorded. */
    val request: RequestId

    /** [full] names a version without room, when another one may still serve the request. */
    class Refused(
        override val request: RequestId,
        val failure: Failure,
        val full: ModelVersion? = null,
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
    private val scope: CoroutineScope,
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
        val full = HashSet<ModelVersion>()
        var refused =
            Reply.Refused(
                request.id,
                ErrorKind.NoHealthyUpstream.notRun("the planned versions were withdrawn"),
            )
        repeat(PLANS_PER_REQUEST) {
            val reply = tryOnce(request, full)
            if (reply != null && (reply !is Reply.Refused || reply.full == null)) return reply
            if (reply is Reply.Refused) {
                refused = reply
                reply.full?.let(full::add)
            }
        }
        return refused
    }

    /** Returns null when the planned version was withdrawn between the plan and the intent. */
    private suspend fun tryOnce(
        request: CallerRequest,
        full: Set<ModelVersion>,
    ): Reply? {
        val pin = pins.of(request)
        val plan = plan(request, pin, full).getOrElse { return Reply.Refused(request.id, it) }
        if (!needsIntent(request, pin)) return run(request, plan, pin != null, begun = false)
        val reply = begin(request, plan).getOrElse { return Reply.Refused(request.id, it) }
        return when (reply) {
            is LedgerReply.Started -> start(request, plan, reply)
            is LedgerReply.Replayed -> Reply.Repeated(reply.request, reply.answer)
            is LedgerReply.VersionUnavailable -> pin?.let { Reply.Refused(request.id, sessionGone(it)) }
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
        full: Set<ModelVersion>,
    ): Result<Plan, Failure> = planner.plan(
        configuration(),
        PlanRequest(
            organisation = request.organisation,
            route = request.route,
            pinned = pin,
            estimatedTokens = request.estimatedTokens,
            oneVersion = (request.session != null && pin == null) || request.streamed,
            full = full,
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
        is LedgerReply.OutcomeUnknown -> Failure(ErrorKind.OutcomeUnknown, Execution.MayHaveRun)
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
        val last = plan.steps.last()
        val finish = Finish(request, ledger, planner, metrics, wallClockMillis, nowMillis, rateLater(request, last))
        plan.steps.dropLast(1).forEach { step ->
            trial(request, step, pinned, finish)?.let { return it }
        }
        val answer =
            dispatcher.open(request, last.version, pinned).getOrElse { failure ->
                failed(request, last.version, failure, finish)
                return refused(request, last.version, failure.copy(execution = finish.execution), begun || pinned)
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
        val whole =
            dispatcher.open(request, step.version, pinned).andThen { collected(it) }.getOrElse { failure ->
                failed(request, step.version, failure, finish)
                return null
            }
        if (taken(request, whole, step)) return Reply.Answered(request.id, request.route.name, whole, finish)
        finish.discard(whole)
        metrics.escalated(request.route.name, step.version)
        return null
    }

    private fun failed(
        request: CallerRequest,
        version: ModelVersion,
        failure: Failure,
        finish: Finish,
    ) {
        finish.failed(failure)
        // A refusal for want of room tells nothing about the version.
        if (failure.execution == Execution.NotRun) return
        planner.observe(request.route.name, version, Observation.Failed)
    }

    private suspend fun taken(
        request: CallerRequest,
        answer: CollectedAnswer,
        step: PlanStep,
    ): Boolean {
        val rating = rated(request, answer.version, answer.body, escalated = false) ?: return false
        return rating >= (step.acceptRating ?: 0.0)
    }

    private suspend fun rated(
        request: CallerRequest,
        version: ModelVersion,
        answer: ByteArray,
        escalated: Boolean,
    ): Double? {
        val rating = rate(request.id, version, answer) ?: return null
        planner.observe(request.route.name, version, Observation.Rated(rating, escalated))
        metrics.rated(request.route.name, version, rating)
        return rating
    }

    /** Asks for the rating of a taken answer where the plan wants one; nobody waits for it. */
    private fun rateLater(
        request: CallerRequest,
        step: PlanStep,
    ): (Answer, ByteArray, Boolean) -> Unit = { answer, body, escalated ->
        if (step.rateAnswer) scope.launch { rated(request, answer.version, body, escalated) }
    }

    private suspend fun refused(
        request: CallerRequest,
        version: ModelVersion,
        failure: Failure,
        bound: Boolean,
    ): Reply {
        if (failure.execution != Execution.NotRun) return Reply.Refused(request.id, failure)
        if (bound) ledger.finish(LedgerCommand.Abandon(request.organisation.name, request.id))
        val full = version.takeIf { !bound && failure.kind == ErrorKind.PoolExhausted }
        return Reply.Refused(request.id, failure, full)
    }
}
