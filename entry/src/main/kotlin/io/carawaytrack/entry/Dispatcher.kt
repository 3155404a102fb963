/*
 * Brings one request to one version: chooses an upstream, sends the attempt, and tries another one where that is safe.
 * An attempt that was refused as not run may always go elsewhere; one that may have run is repeated at most once, and
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

private const val REPEATS_AFTER_FAILURE = 1
private const val WAIT_FOR_ROOM_MILLIS = 2_000L
private const val ROOM_CHECK_MILLIS = 50L
private const val CANCEL_ANSWER_MILLIS = 2_000L
private const val LOWEST_SERVER_ERROR = 500

/** Refusals that another upstream would give as well. */
private val finalKinds = setOf(ErrorKind.Quarantined, ErrorKind.NotAllowed)

internal class Dispatcher(
    private val chooser: UpstreamChooser,
    private val links: AgentLinks,
    private val lease: Lease,
    private val configuration: () -> Configuration,
    private val nowMillis: () -> Long,
    private val windowBytes: Long,
    private val retries: RetryBudget,
    private val metrics: EntryMetrics,
) {
    /** Opens an answer of [version] to [request]; a failure says truthfully whether any upstream may have run it. */
    suspend fun open(
        request: CallerRequest,
        version: ModelVersion,
        pinned: Boolean,
    ): Result<Answer, Failure> {
        val member =
            configuration().tables.membersOf(request.route.pool).find { it.version == version }
                ?: return Err(ErrorKind.StaleConfiguration.notRun("$version left the pool ${request.route.pool}"))
        retries.recordRequest()
        return Search(request, member, pinned).run()
    }

    private inner class Search(
        private val request: CallerRequest,
        private val member: PoolMember,
        private val pinned: Boolean,
    ) {
        private val excluded = HashSet<UpstreamId>()
        private var failure: Failure? = null
        private var execution = Execution.NotRun
        private var repeats = 0
        private val roomUntilMillis = minOf(nowMillis() + WAIT_FOR_ROOM_MILLIS, request.deadlineMillis)

        suspend fun run(): Result<Answer, Failure> {
            while (nowMillis() < request.deadlineMillis) {
                if (!lease.held) return ended(ErrorKind.ControlUnavailable.notRun())
                tryOnce()?.let { return it }
            }
            return ended(failure ?: ErrorKind.UpstreamTimeout.notRun("the request's time is over"))
        }

        /** Returns null when another try is useful. */
        private suspend fun tryOnce(): Result<Answer, Failure>? {
            val announcement =
                choose().getOrElse { none ->
                    if (!mayWait(none)) return ended(failure ?: none)
                    delay(ROOM_CHECK_MILLIS)
                    excluded.clear()
                    return null
                }
            val answer =
                attempt(announcement).getOrElse { failed ->
                    return if (mayRepeat(failed, announcement)) null else ended(failed)
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

        private fun mayWait(none: Failure): Boolean =
            (none.kind.retryable || failure?.kind?.retryable == true) && nowMillis() < roomUntilMillis

        private fun mayRepeat(
            failed: Failure,
            announcement: Announcement,
        ): Boolean {
            failure = failed
            excluded += announcement.upstream
            if (failed.kind in finalKinds) return false
            if (failed.execution == Execution.NotRun) return true
            execution = Execution.MayHaveRun
            return request.repeatable && repeats++ < REPEATS_AFTER_FAILURE && retries.tryAcquire()
        }

        private fun ended(last: Failure): Result<Nothing, Failure> =
            Err(last.copy(execution = maxOf(last.execution, execution)))

        private suspend fun attempt(announcement: Announcement): Result<Answer, Failure> {
            chooser.started(announcement.upstream, request.estimatedTokens)
            metrics.attemptStarted(member.version, announcement.zone)
            val attempt =
                links.open(announcement, ::order).getOrElse { failed ->
                    finished(announcement, healthy = false, load = null)
                    ended(announcement, failed)
                    return Err(failed)
                }
            return when (val first = first(attempt)) {
                is AnswerEvent.Head -> opened(attempt, first)
                is AnswerEvent.Failed -> {
                    finished(announcement, first.failure.execution == Execution.NotRun, first.load)
                    ended(announcement, first.failure)
                    Err(first.failure)
                }
                else ->
                    Err(
                        Failure(ErrorKind.ProtocolViolation, Execution.MayHaveRun, "expected the head of an answer"),
                    )
            }
        }

        private suspend fun opened(
            attempt: Attempt,
            head: AnswerEvent.Head,
        ): Result<Answer, Failure> {
            var ended = false
            val onEnd = { healthy: Boolean, load: UpstreamLoad? ->
                if (!ended) {
                    finished(attempt.announcement, healthy, load)
                    ended(attempt.announcement, failure = null)
                }
                ended = true
            }
            if (request.route.kind == ServiceKind.Model && head.status >= LOWEST_SERVER_ERROR) {
                onEnd(false, null)
                attempt.cancel()
                val detail = "the upstream answered with status ${head.status}"
                return Err(Failure(ErrorKind.UpstreamFailed, Execution.MayHaveRun, detail))
            }
            return Ok(OpenAnswer(member, head, attempt, onEnd))
        }

        private fun finished(
            announcement: Announcement,
            healthy: Boolean,
            load: UpstreamLoad?,
        ) {
            chooser.finished(announcement.upstream, request.estimatedTokens, healthy)
            if (load != null) chooser.report(announcement.upstream, load)
        }

        private fun ended(
            announcement: Announcement,
            failure: Failure?,
        ) = metrics.attemptEnded(
            AttemptEnd(member.version, announcement.zone, failure?.kind, failure?.execution ?: Execution.Ran),
        )

        private suspend fun first(attempt: Attempt): AnswerEvent {
            val waitMillis = request.deadlineMillis - nowMillis()
            withTimeoutOrNull(waitMillis) { attempt.next() }?.let { return it }
            // Only the agent can tell whether the upstream has seen the request.
            attempt.cancel()
            val answer = withTimeoutOrNull(CANCEL_ANSWER_MILLIS) { attempt.next() }
            if (answer is AnswerEvent.Failed && answer.failure.execution == Execution.NotRun) return answer
            val detail = "expected the head of an answer within $waitMillis ms"
            return AnswerEvent.Failed(Failure(ErrorKind.UpstreamTimeout, Execution.MayHaveRun, detail))
        }

        private fun order(number: Long) = OpenAttempt(
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
            timeoutMillis = (request.deadlineMillis - nowMillis()).coerceAtLeast(1),
            creditBytes = windowBytes,
            traceparent = request.traceparent,
        )
    }
}
