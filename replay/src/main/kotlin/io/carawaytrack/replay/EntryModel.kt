/*
 * Simplified model of an entry: plans and routes requests with the decision code, sends attempts to agents over links
 * with delay, rates the answers of cascades, and queues requests for a limited time while a pool has no free capacity.
 */
package io.carawaytrack.replay

import com.github.michaelbull.result.fold
import io.carawaytrack.model.Announcement
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.model.ZoneName
import io.carawaytrack.routing.ChoiceRequest
import io.carawaytrack.routing.Observation
import io.carawaytrack.routing.Plan
import io.carawaytrack.routing.PlanRequest
import io.carawaytrack.routing.Planner
import io.carawaytrack.routing.UpstreamChooser

internal class EntryModel(
    private val zone: ZoneName,
    private val planner: Planner,
    val chooser: UpstreamChooser,
    private val state: SimulationState,
    private val onObservation: (ModelVersion, Observation) -> Unit,
) {
    private val events = state.events
    private val queues = HashMap<ModelVersion, WaitQueue>()

    var configuration: Configuration = state.spec.configuration

    fun submit(request: TraceRequest) {
        val pinned = request.session?.let { state.pinnedVersions[it] }
        planner.plan(configuration, planRequest(request, pinned, fullVersions = emptySet())).fold(
            { begin(request, it, pinned) },
            { handlePlanFailure(request, it) },
        )
    }

    private fun planRequest(
        request: TraceRequest,
        pinned: ModelVersion?,
        fullVersions: Set<ModelVersion>,
    ): PlanRequest = PlanRequest(
        organisation = state.spec.organisations.first { it.name.value == request.organisation },
        route = state.spec.routeNamed(request.route),
        pinned = pinned,
        estimatedTokens = request.tokens,
        singleVersion = request.session != null && pinned == null,
        fullVersions = fullVersions,
    )

    private fun begin(
        request: TraceRequest,
        plan: Plan,
        pinned: ModelVersion?,
    ) {
        if (pinned == null) pin(request, plan)
        InFlightRequest(request, plan, isPinned = pinned != null).enqueue()
    }

    private fun pin(
        request: TraceRequest,
        plan: Plan,
    ) {
        request.session?.let { state.pinnedVersions[it] = plan.steps.last().version }
    }

    /** Refuses the request, or restarts its session when the version that it was pinned to is withdrawn. */
    private fun handlePlanFailure(
        request: TraceRequest,
        failure: Failure,
    ) {
        if (failure.kind == ErrorKind.SessionVersionWithdrawn && request.session != null) {
            state.pinnedVersions.remove(request.session)
            submit(request)
        } else {
            InFlightRequest(request, Plan(emptyList()), isPinned = true).end(OutcomeStatus.Refused)
        }
    }

    private fun observe(
        request: TraceRequest,
        version: ModelVersion,
        observation: Observation,
    ) {
        planner.observe(request.route, version, observation)
        onObservation(version, observation)
    }

    /** Sends the queued requests of [version] in order until the pool has no free capacity, then schedules a poll. */
    private fun drain(version: ModelVersion) {
        val queue = queues[version] ?: return
        while (queue.requests.isNotEmpty() && sendNext(queue)) Unit
        schedulePoll(version, queue)
    }

    /** Sends or replans the first queued request, or refuses it if expired; returns false if it stays queued. */
    private fun sendNext(queue: WaitQueue): Boolean {
        val next = queue.requests.removeFirst()
        if (next.trySend() || next.replan()) return true
        if (next.hasExpired()) {
            next.end(OutcomeStatus.Refused)
            return true
        }
        queue.requests.addFirst(next)
        return false
    }

    private fun schedulePoll(
        version: ModelVersion,
        queue: WaitQueue,
    ) {
        if (queue.requests.isEmpty() || queue.pollScheduled) return
        queue.pollScheduled = true
        events.after(POLL_INTERVAL_MILLIS) {
            queue.pollScheduled = false
            drain(version)
        }
    }

    private inner class WaitQueue {
        val requests = ArrayDeque<InFlightRequest>()
        var pollScheduled = false
    }

    private inner class InFlightRequest(
        private val request: TraceRequest,
        private var plan: Plan,
        private val isPinned: Boolean,
    ) {
        private var replanned = false
        private val startedAtMillis = events.nowMillis
        private val versionsRun = mutableListOf<ModelVersion>()
        private val excluded = HashSet<UpstreamId>()
        private var step = 0
        private var failures = 0
        private var cost = 0.0
        private var exposed = false
        private var queuedAtMillis = 0.0
        private var firstTokenAtMillis = 0.0

        private val version: ModelVersion get() = plan.steps[step].version

        fun enqueue() {
            queuedAtMillis = events.nowMillis
            queues.getOrPut(version) { WaitQueue() }.requests.addLast(this)
            drain(version)
        }

        /** Replans once without the version that has no free capacity and enqueues; returns whether it did. */
        fun replan(): Boolean {
            val canReplan = !isPinned && !replanned && step == 0
            if (!canReplan || events.nowMillis - queuedAtMillis < REPLAN_AFTER_MILLIS) return false
            replanned = true
            val revisedRequest = planRequest(request, pinned = null, fullVersions = setOf(version))
            val alternative = planner.plan(configuration, revisedRequest).fold({ it }, { plan })
            if (alternative.steps.first().version == version) return false
            plan = alternative
            pin(request, alternative)
            enqueue()
            return true
        }

        fun hasExpired(): Boolean = events.nowMillis - queuedAtMillis >= QUEUE_TIMEOUT_MILLIS

        fun trySend(): Boolean {
            val choiceRequest = ChoiceRequest(version, request.tokens, excluded = excluded)
            return chooser.choose(configuration, choiceRequest).fold({ send(it) }, { clearExclusions(it) })
        }

        fun end(
            status: OutcomeStatus,
            quality: Double = 0.0,
        ) {
            state.outcomes +=
                Outcome(
                    request = request,
                    status = status,
                    latencyMillis = events.nowMillis - startedAtMillis,
                    firstTokenMillis = firstTokenAtMillis - startedAtMillis,
                    cost = cost,
                    quality = quality,
                    versions = versionsRun,
                    exposed = exposed,
                )
        }

        private fun clearExclusions(failure: Failure): Boolean {
            if (failure.kind == ErrorKind.PoolExhausted) excluded.clear()
            return false
        }

        private fun send(target: Announcement): Boolean {
            val agent = state.agents.getValue(target.upstream)
            val delayMillis = state.delayMillis(zone, target.zone)
            chooser.started(target.upstream, request.tokens)
            events.after(delayMillis) {
                val admitted =
                    agent.admit(
                        request,
                        onFirstToken = { events.after(delayMillis) { firstTokenAtMillis = events.nowMillis } },
                        onEnd = { complete ->
                            deliverResponse(agent, delayMillis, complete) { handleEnd(target.upstream, complete) }
                        },
                    )
                if (!admitted) deliverResponse(agent, delayMillis, healthy = true) { handleRejection(target.upstream) }
            }
            return true
        }

        private fun deliverResponse(
            agent: AgentModel,
            delayMillis: Double,
            healthy: Boolean,
            action: () -> Unit,
        ) {
            val load: UpstreamLoad = agent.load()
            events.after(delayMillis) {
                chooser.finished(agent.spec.upstream, request.tokens, healthy)
                chooser.report(agent.spec.upstream, load)
                action()
            }
        }

        private fun handleRejection(upstream: UpstreamId) {
            excluded += upstream
            requeueFirst()
        }

        private fun handleEnd(
            upstream: UpstreamId,
            complete: Boolean,
        ) {
            if (complete) handleCompletion() else handleFailure(upstream)
            drain(version)
        }

        private fun handleFailure(upstream: UpstreamId) {
            val route = state.spec.routeNamed(request.route)
            if (route.repeatableMethods.isEmpty() || ++failures > MAX_RETRIES) return end(OutcomeStatus.Failed)
            excluded += upstream
            requeueFirst()
        }

        /** Puts the request back at the head of the queue, because it has already waited its turn. */
        private fun requeueFirst() {
            queues.getValue(version).requests.addFirst(this)
            drain(version)
        }

        private fun handleCompletion() {
            versionsRun += version
            exposed = exposed || version in state.degradedVersions
            cost += state.costOf(version, request.tokens)
            val latencyMillis = (events.nowMillis - queuedAtMillis).toLong()
            observe(request, version, Observation.Completed(latencyMillis, request.tokens))
            val minRating = plan.steps[step].minAcceptedRating
            if (minRating != null && step < plan.steps.lastIndex) rateOrEscalate(minRating) else finish()
        }

        private fun rateOrEscalate(minRating: Double) {
            events.after(RATING_DELAY_MILLIS) {
                val rating = state.rating(request, version)
                observe(request, version, Observation.Rated(rating, escalated = step > 0))
                if (rating >= minRating) {
                    firstTokenAtMillis = events.nowMillis
                    end(OutcomeStatus.Answered, state.trueQuality(request, version))
                } else {
                    escalate()
                }
            }
        }

        private fun escalate() {
            step++
            excluded.clear()
            enqueue()
        }

        private fun finish() {
            end(OutcomeStatus.Answered, state.trueQuality(request, version))
            val ratedVersion = version
            val rating = state.rating(request, ratedVersion)
            val escalated = step > 0
            val delayMillis =
                if (plan.steps[step].rateAnswer) RATING_DELAY_MILLIS else state.deferredRatingMillis(request)
            delayMillis?.let { ratingDelayMillis ->
                events.after(ratingDelayMillis) { observe(request, ratedVersion, Observation.Rated(rating, escalated)) }
            }
        }
    }

    private companion object {
        const val QUEUE_TIMEOUT_MILLIS = 10_000.0
        const val POLL_INTERVAL_MILLIS = 20.0
        const val REPLAN_AFTER_MILLIS = 500.0
        const val RATING_DELAY_MILLIS = 150.0
        const val MAX_RETRIES = 2
    }
}
