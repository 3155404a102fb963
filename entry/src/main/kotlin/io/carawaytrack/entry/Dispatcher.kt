/*
 * Dispatches a request to one version: chooses an upstream, sends the attempt, and retries on another upstream where
 * that is safe. An attempt refused as not run may always be retried; one that may have run is retried at most once, and
 * only when the request is repeatable.
 */
package io.carawaytrack.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.carawaytrack.limits.RetryBudget
import io.carawaytrack.membership.Lease
import io.carawaytrack.model.Announcement
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.PoolMember
import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.model.membersOf
import io.carawaytrack.model.notRun
import io.carawaytrack.routing.ChoiceRequest
import io.carawaytrack.routing.UpstreamChooser
import io.carawaytrack.telemetry.AttemptEnd
import io.carawaytrack.telemetry.EntryMetrics
import io.carawaytrack.wire.OpenAttempt
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

private const val MAX_RETRIES_AFTER_EXECUTION = 1
private const val MAX_CAPACITY_WAIT_MILLIS = 2_000L
private const val CAPACITY_POLL_INTERVAL_MILLIS = 50L
private const val CANCEL_REPLY_TIMEOUT_MILLIS = 2_000L
private const val MIN_SERVER_ERROR_STATUS = 500

/** Refusals for which a retry is pointless, because every upstream gives the same one. */
private val nonRetryableKinds = setOf(ErrorKind.Quarantined, ErrorKind.NotAllowed)

internal class Dispatcher(
    private val chooser: UpstreamChooser,
    private val links: AgentLinks,
    private val lease: Lease,
    private val configuration: () -> Configuration,
    private val nowMillis: () -> Long,
    private val windowBytes: Long,
    private val retryBudget: RetryBudget,
    private val metrics: EntryMetrics,
) {
    /** Opens an answer of [version] to [request]; the failure states whether any upstream may have run the request. */
    suspend fun open(
        request: CallerRequest,
        version: ModelVersion,
        pinned: Boolean,
    ): Result<Answer, Failure> {
        val member =
            configuration().tables.membersOf(request.route.pool).find { it.version == version }
                ?: return Err(ErrorKind.StaleConfiguration.notRun("$version is not in pool ${request.route.pool}"))
        retryBudget.recordRequest()
        return RetryLoop(request, member, pinned).run()
    }

    private inner class RetryLoop(
        private val request: CallerRequest,
        private val member: PoolMember,
        private val pinned: Boolean,
    ) {
        private val excluded = HashSet<UpstreamId>()
        private var lastFailure: Failure? = null
        private var execution = Execution.NotRun
        private var retriesAfterExecution = 0
        private val capacityDeadlineAtMillis = minOf(nowMillis() + MAX_CAPACITY_WAIT_MILLIS, request.deadlineAtMillis)

        suspend fun run(): Result<Answer, Failure> {
            while (nowMillis() < request.deadlineAtMillis) {
                if (!lease.held) return failed(ErrorKind.ControlUnavailable.notRun())
                attemptOnce()?.let { return it }
            }
            return failed(lastFailure ?: ErrorKind.UpstreamTimeout.notRun("the request timeout has expired"))
        }

        /** Returns null when the attempt should be retried. */
        private suspend fun attemptOnce(): Result<Answer, Failure>? {
            val announcement =
                choose().getOrElse { noChoice ->
                    if (!mayWaitForCapacity(noChoice)) return failed(lastFailure ?: noChoice)
                    delay(CAPACITY_POLL_INTERVAL_MILLIS)
                    excluded.clear()
                    return null
                }
            val answer =
                attempt(announcement).getOrElse { failure ->
                    return if (mayRetry(failure, announcement)) null else failed(failure)
                }
            return Ok(answer)
        }

        private fun choose(): Result<Announcement, Failure> {
            val choice =
                ChoiceRequest(
                    version = member.version,
                    estimatedTokens = request.estimatedTokens,
                    allowed = member.upstreams,
                    excluded = excluded,
                )
            return chooser.choose(configuration(), choice)
        }

        private fun mayWaitForCapacity(noChoice: Failure): Boolean =
            (noChoice.kind.retryable || lastFailure?.kind?.retryable == true) && nowMillis() < capacityDeadlineAtMillis

        private fun mayRetry(
            failure: Failure,
            announcement: Announcement,
        ): Boolean {
            lastFailure = failure
            excluded += announcement.upstream
            if (failure.kind in nonRetryableKinds) return false
            if (failure.execution == Execution.NotRun) return true
            execution = Execution.MayHaveRun
            return request.repeatable &&
                retriesAfterExecution++ < MAX_RETRIES_AFTER_EXECUTION &&
                retryBudget.tryAcquire()
        }

        private fun failed(last: Failure): Result<Nothing, Failure> =
            Err(last.copy(execution = maxOf(last.execution, execution)))

        private suspend fun attempt(announcement: Announcement): Result<Answer, Failure> {
            chooser.started(announcement.upstream, request.estimatedTokens)
            metrics.attemptStarted(member.version, announcement.zone)
            val attempt =
                links.open(announcement, ::openAttempt).getOrElse { failure ->
                    reportToChooser(announcement, healthy = false, load = null)
                    recordAttemptEnd(announcement, failure)
                    return Err(failure)
                }
            return when (val first = firstEvent(attempt)) {
                is AnswerEvent.Head -> answerOf(attempt, first)
                is AnswerEvent.Failed -> {
                    reportToChooser(announcement, first.failure.execution == Execution.NotRun, first.load)
                    recordAttemptEnd(announcement, first.failure)
                    Err(first.failure)
                }
                else ->
                    Err(
                        Failure(
                            ErrorKind.ProtocolViolation,
                            Execution.MayHaveRun,
                            "expected an answer head from the agent, got ${first::class.simpleName}",
                        ),
                    )
            }
        }

        private suspend fun answerOf(
            attempt: Attempt,
            head: AnswerEvent.Head,
        ): Result<Answer, Failure> {
            var ended = false
            val onEnd = { healthy: Boolean, load: UpstreamLoad? ->
                if (!ended) {
                    reportToChooser(attempt.announcement, healthy, load)
                    recordAttemptEnd(attempt.announcement, failure = null)
                }
                ended = true
            }
            if (request.route.kind == ServiceKind.Model && head.status >= MIN_SERVER_ERROR_STATUS) {
                onEnd(false, null)
                attempt.cancel()
                val detail = "upstream ${attempt.announcement.upstream} returned status ${head.status}"
                return Err(Failure(ErrorKind.UpstreamFailed, Execution.MayHaveRun, detail))
            }
            return Ok(RelayedAnswer(member, head, attempt, onEnd))
        }

        private fun reportToChooser(
            announcement: Announcement,
            healthy: Boolean,
            load: UpstreamLoad?,
        ) {
            chooser.finished(announcement.upstream, request.estimatedTokens, healthy)
            if (load != null) chooser.report(announcement.upstream, load)
        }

        private fun recordAttemptEnd(
            announcement: Announcement,
            failure: Failure?,
        ) = metrics.attemptEnded(
            AttemptEnd(member.version, announcement.zone, failure?.kind, failure?.execution ?: Execution.Ran),
        )

        private suspend fun firstEvent(attempt: Attempt): AnswerEvent {
            val waitMillis = request.deadlineAtMillis - nowMillis()
            withTimeoutOrNull(waitMillis) { attempt.next() }?.let { return it }
            // Only the agent knows whether the upstream has received the request.
            attempt.cancel()
            val reply = withTimeoutOrNull(CANCEL_REPLY_TIMEOUT_MILLIS) { attempt.next() }
            if (reply is AnswerEvent.Failed && reply.failure.execution == Execution.NotRun) return reply
            val detail = "expected an answer head from ${attempt.announcement.upstream} within $waitMillis ms, got none"
            return AnswerEvent.Failed(Failure(ErrorKind.UpstreamTimeout, Execution.MayHaveRun, detail))
        }

        private fun openAttempt(number: Long) = OpenAttempt(
            attempt = number,
            request = request.id,
            organisation = request.organisation.name,
            version = member.version,
            configurationNumber = configuration().number,
            session = request.session,
            pinned = pinned,
            repeatable = request.repeatable,
            priority = request.route.priority,
            method = request.method,
            path = request.path,
            headers = request.headers,
            body = request.bodyFor(member.version),
            fingerprint = request.fingerprint,
            estimatedTokens = request.estimatedTokens,
            costPerKiloToken = member.costPerKiloToken,
            timeoutMillis = (request.deadlineAtMillis - nowMillis()).coerceAtLeast(1),
            creditBytes = windowBytes,
            traceparent = request.traceparent,
        )
    }
}
