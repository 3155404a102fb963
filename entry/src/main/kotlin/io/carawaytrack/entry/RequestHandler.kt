/*
 * Handles a request from planning to its reply: records an intent in the ledger where a retry by the caller can be
 * recognised, runs the steps of the plan, and leaves one outcome and one bill.
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

private const val MAX_PLANS_PER_REQUEST = 3

/** Reply to a caller. */
internal sealed interface Reply {
    /** Id under which the request is recorded. */
    val request: RequestId

    /** [exhaustedVersion] is the version whose pool is exhausted, set when another version may serve the request. */
    class Refused(
        override val request: RequestId,
        val failure: Failure,
        val exhaustedVersion: ModelVersion? = null,
    ) : Reply

    /** The stored answer of an earlier request with the same idempotency key. */
    class Replayed(
        override val request: RequestId,
        val answer: StoredAnswer,
    ) : Reply

    class Answered(
        override val request: RequestId,
        val route: String,
        val answer: Answer,
        val completion: RequestCompletion,
    ) : Reply
}

/** Rates an answer from 0 to 1; null when no rating arrives in time. */
internal typealias RateAnswer = suspend (request: RequestId, version: ModelVersion, answer: ByteArray) -> Double?

internal class RequestHandler(
    private val scope: CoroutineScope,
    private val planner: Planner,
    private val dispatcher: Dispatcher,
    private val ledger: LedgerClient,
    private val sessionVersions: SessionVersionCache,
    private val configuration: () -> Configuration,
    private val wallClockMillis: () -> Long,
    private val nowMillis: () -> Long,
    private val metrics: EntryMetrics,
    private val rate: RateAnswer,
) {
    suspend fun handle(request: CallerRequest): Reply {
        val exhaustedVersions = HashSet<ModelVersion>()
        var lastRefusal =
            Reply.Refused(
                request.id,
                ErrorKind.NoHealthyUpstream.notRun("the version of each of $MAX_PLANS_PER_REQUEST plans was withdrawn"),
            )
        repeat(MAX_PLANS_PER_REQUEST) {
            val reply = planAndRun(request, exhaustedVersions)
            if (reply != null && (reply !is Reply.Refused || reply.exhaustedVersion == null)) return reply
            if (reply is Reply.Refused) {
                lastRefusal = reply
                reply.exhaustedVersion?.let(exhaustedVersions::add)
            }
        }
        return lastRefusal
    }

    /** Returns null when the planned version was withdrawn before the intent was recorded. */
    private suspend fun planAndRun(
        request: CallerRequest,
        exhaustedVersions: Set<ModelVersion>,
    ): Reply? {
        val pinned = sessionVersions.find(request)
        val plan = plan(request, pinned, exhaustedVersions).getOrElse { return Reply.Refused(request.id, it) }
        if (!needsIntent(request, pinned)) return run(request, plan, pinned != null, intentRecorded = false)
        val reply = begin(request, plan).getOrElse { return Reply.Refused(request.id, it) }
        return when (reply) {
            is LedgerReply.Started -> runStarted(request, plan, reply)
            is LedgerReply.Replayed -> Reply.Replayed(reply.request, reply.answer)
            is LedgerReply.VersionUnavailable -> pinned?.let { Reply.Refused(request.id, sessionVersionWithdrawn(it)) }
            else -> Reply.Refused(request.id, intentFailure(reply))
        }
    }

    // Without an idempotency key a retry by the caller looks like a new request, so an intent would protect nothing.
    private fun needsIntent(
        request: CallerRequest,
        pinned: ModelVersion?,
    ) = request.idempotencyKey != null || (request.session != null && pinned == null)

    private fun plan(
        request: CallerRequest,
        pinned: ModelVersion?,
        exhaustedVersions: Set<ModelVersion>,
    ): Result<Plan, Failure> = planner.plan(
        configuration(),
        PlanRequest(
            organisation = request.organisation,
            route = request.route,
            pinned = pinned,
            estimatedTokens = request.estimatedTokens,
            singleVersion = (request.session != null && pinned == null) || request.streamed,
            fullVersions = exhaustedVersions,
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

    private suspend fun runStarted(
        request: CallerRequest,
        plan: Plan,
        started: LedgerReply.Started,
    ): Reply {
        if (request.session != null) sessionVersions.put(request, started.version)
        val singleStep = started.pinned || started.version != plan.steps.last().version
        val steps = if (singleStep) Plan(listOf(PlanStep(started.version))) else plan
        return run(request.withId(started.request), steps, started.pinned, intentRecorded = true)
    }

    private fun intentFailure(reply: LedgerReply): Failure = when (reply) {
        is LedgerReply.InProgress -> Failure(ErrorKind.InProgress, Execution.MayHaveRun)
        is LedgerReply.OutcomeUnknown -> Failure(ErrorKind.OutcomeUnknown, Execution.MayHaveRun)
        is LedgerReply.Conflicting -> ErrorKind.ConflictingReuse.notRun()
        else -> ErrorKind.Internal.notRun("unexpected ledger reply to Begin: ${reply::class.simpleName}")
    }

    private fun sessionVersionWithdrawn(version: ModelVersion) =
        ErrorKind.SessionVersionWithdrawn.notRun("$version, the version of this session, has been withdrawn")

    private suspend fun run(
        request: CallerRequest,
        plan: Plan,
        pinned: Boolean,
        intentRecorded: Boolean,
    ): Reply {
        val last = plan.steps.last()
        val completion =
            RequestCompletion(
                request,
                ledger,
                planner,
                metrics,
                wallClockMillis,
                nowMillis,
                rateInBackground(request, last),
            )
        plan.steps.dropLast(1).forEach { step ->
            runRatedStep(request, step, pinned, completion)?.let { return it }
        }
        val answer =
            dispatcher.open(request, last.version, pinned).getOrElse { failure ->
                recordFailure(request, last.version, failure, completion)
                return refuse(
                    request,
                    last.version,
                    failure.copy(execution = completion.execution),
                    intentRecorded || pinned,
                )
            }
        return Reply.Answered(request.id, request.route.name, answer, completion)
    }

    /** Runs a step whose answer must be rated before it is accepted; returns null when the cascade must escalate. */
    private suspend fun runRatedStep(
        request: CallerRequest,
        step: PlanStep,
        pinned: Boolean,
        completion: RequestCompletion,
    ): Reply? {
        val answer =
            dispatcher.open(request, step.version, pinned).andThen { collect(it) }.getOrElse { failure ->
                recordFailure(request, step.version, failure, completion)
                return null
            }
        if (accepted(request, answer, step)) return Reply.Answered(request.id, request.route.name, answer, completion)
        completion.discard(answer)
        metrics.escalated(request.route.name, step.version)
        return null
    }

    private fun recordFailure(
        request: CallerRequest,
        version: ModelVersion,
        failure: Failure,
        completion: RequestCompletion,
    ) {
        completion.recordFailure(failure)
        // An attempt that was refused without running says nothing about the version's quality or latency.
        if (failure.execution == Execution.NotRun) return
        planner.observe(request.route.name, version, Observation.Failed)
    }

    private suspend fun accepted(
        request: CallerRequest,
        answer: CollectedAnswer,
        step: PlanStep,
    ): Boolean {
        val rating = rateAndRecord(request, answer.version, answer.body, escalated = false) ?: return false
        return rating >= (step.minAcceptedRating ?: 0.0)
    }

    private suspend fun rateAndRecord(
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

    /** Returns a callback that rates an accepted answer in the background where [step] asks for it. */
    private fun rateInBackground(
        request: CallerRequest,
        step: PlanStep,
    ): (Answer, ByteArray, Boolean) -> Unit = { answer, body, escalated ->
        if (step.rateAnswer) scope.launch { rateAndRecord(request, answer.version, body, escalated) }
    }

    private suspend fun refuse(
        request: CallerRequest,
        version: ModelVersion,
        failure: Failure,
        versionFixed: Boolean,
    ): Reply {
        if (failure.execution != Execution.NotRun) return Reply.Refused(request.id, failure)
        if (versionFixed) ledger.finish(LedgerCommand.Abandon(request.organisation.name, request.id))
        val exhaustedVersion = version.takeIf { !versionFixed && failure.kind == ErrorKind.PoolExhausted }
        return Reply.Refused(request.id, failure, exhaustedVersion)
    }
}
