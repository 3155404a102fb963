/*
 * A small stand-in for an entry: it asks the decision code, sends attempts to agents over delayed links, rates answers
 * of cascades, and queues for a while when a pool is full.
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
    private val world: World,
    private val onObservation: (ModelVersion, Observation) -> Unit,
) {
    private val events = world.events
    private val queues = HashMap<ModelVersion, WaitingQueue>()

    var configuration: Configuration = world.spec.configuration

    fun submit(request: TraceRequest) {
        val pinned = request.session?.let { world.sessions[it] }
        planner.plan(configuration, planRequest(request, pinned, full = emptySet())).fold(
            { begin(request, it, pinned) },
            { refuse(request, it) },
        )
    }

    private fun planRequest(
        request: TraceRequest,
        pinned: ModelVersion?,
        full: Set<ModelVersion>,
    ): PlanRequest = PlanRequest(
        organisation = world.spec.organisations.first { it.name.value == request.organisation },
        route = world.spec.routeNamed(request.route),
        pinned = pinned,
        estimatedTokens = request.tokens,
        singleVersion = request.session != null && pinned == null,
        fullVersions = full,
    )

    private fun begin(
        request: TraceRequest,
        plan: Plan,
        pinned: ModelVersion?,
    ) {
        if (pinned == null) pin(request, plan)
        Flight(request, plan, isPinned = pinned != null).queue()
    }

    private fun pin(
        request: TraceRequest,
        plan: Plan,
    ) {
        request.session?.let { world.sessions[it] = plan.steps.last().version }
    }

    /** Ends the request, or begins its session anew when the version that it was pinned to is withdrawn. */
    private fun refuse(
        request: TraceRequest,
        failure: Failure,
    ) {
        if (failure.kind == ErrorKind.SessionVersionWithdrawn && request.session != null) {
            world.sessions.remove(request.session)
            submit(request)
        } else {
            Flight(request, Plan(emptyList()), isPinned = true).end(Ending.Refused)
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

    /** Sends what waits for [version], first come first served, until the pool is full; then looks again later. */
    private fun drain(version: ModelVersion) {
        val queue = queues[version] ?: return
        while (queue.flights.isNotEmpty() && sendFirst(queue)) Unit
        pollLater(version, queue)
    }

    /** Sends the first that waits, or ends it when it has waited too long; returns whether either was possible. */
    private fun sendFirst(queue: WaitingQueue): Boolean {
        val next = queue.flights.removeFirst()
        if (next.trySend() || next.replan()) return true
        if (next.hasExpired()) {
            next.end(Ending.Refused)
            return true
        }
        queue.flights.addFirst(next)
        return false
    }

    private fun pollLater(
        version: ModelVersion,
        queue: WaitingQueue,
    ) {
        if (queue.flights.isEmpty() || queue.polling) return
        queue.polling = true
        events.after(POLL_MILLIS) {
            queue.polling = false
            drain(version)
        }
    }

    private inner class WaitingQueue {
        val flights = ArrayDeque<Flight>()
        var polling = false
    }

    private inner class Flight(
        private val request: TraceRequest,
        private var plan: Plan,
        private val isPinned: Boolean,
    ) {
        private var replanned = false
        private val startedAtMillis = events.nowMillis
        private val ran = mutableListOf<ModelVersion>()
        private val excluded = HashSet<UpstreamId>()
        private var step = 0
        private var failures = 0
        private var cost = 0.0
        private var exposed = false
        private var queuedAtMillis = 0.0
        private var firstTokenAtMillis = 0.0

        private val version: ModelVersion get() = plan.steps[step].version

        fun queue() {
            queuedAtMillis = events.nowMillis
            queues.getOrPut(version) { WaitingQueue() }.flights.addLast(this)
            drain(version)
        }

        /** Looks for a plan without the version that has no room, once, and queues for it; returns whether it did. */
        fun replan(): Boolean {
            val isFree = !isPinned && !replanned && step == 0
            if (!isFree || events.nowMillis - queuedAtMillis < REPLAN_MILLIS) return false
            replanned = true
            val wanted = planRequest(request, pinned = null, full = setOf(version))
            val other = planner.plan(configuration, wanted).fold({ it }, { plan })
            if (other.steps.first().version == version) return false
            plan = other
            pin(request, other)
            queue()
            return true
        }

        fun hasExpired(): Boolean = events.nowMillis - queuedAtMillis >= QUEUE_LIMIT_MILLIS

        fun trySend(): Boolean {
            val wanted = ChoiceRequest(version, request.tokens, excluded = excluded)
            return chooser.choose(configuration, wanted).fold({ send(it) }, { forgetRefusals(it) })
        }

        fun end(
            ending: Ending,
            quality: Double = 0.0,
        ) {
            world.outcomes +=
                Outcome(
                    request = request,
                    ending = ending,
                    latencyMillis = events.nowMillis - startedAtMillis,
                    firstTokenMillis = firstTokenAtMillis - startedAtMillis,
                    cost = cost,
                    quality = quality,
                    versions = ran,
                    exposed = exposed,
                )
        }

        private fun forgetRefusals(failure: Failure): Boolean {
            if (failure.kind == ErrorKind.PoolExhausted) excluded.clear()
            return false
        }

        private fun send(target: Announcement): Boolean {
            val agent = world.agents.getValue(target.upstream)
            val delayMillis = world.delayMillis(zone, target.zone)
            chooser.started(target.upstream, request.tokens)
            events.after(delayMillis) {
                val admitted =
                    agent.admit(
                        request,
                        onFirstToken = { events.after(delayMillis) { firstTokenAtMillis = events.nowMillis } },
                        onEnd = { complete ->
                            answer(agent, delayMillis, complete) { ended(target.upstream, complete) }
                        },
                    )
                if (!admitted) answer(agent, delayMillis, healthy = true) { refused(target.upstream) }
            }
            return true
        }

        private fun answer(
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

        private fun refused(upstream: UpstreamId) {
            excluded += upstream
            resume()
        }

        private fun ended(
            upstream: UpstreamId,
            complete: Boolean,
        ) {
            if (complete) completed() else failed(upstream)
            drain(version)
        }

        private fun failed(upstream: UpstreamId) {
            val route = world.spec.routeNamed(request.route)
            if (route.repeatableMethods.isEmpty() || ++failures > REPEATS) return end(Ending.Failed)
            excluded += upstream
            resume()
        }

        /** Goes back to the head of the queue, since this request has waited before. */
        private fun resume() {
            queues.getValue(version).flights.addFirst(this)
            drain(version)
        }

        private fun completed() {
            ran += version
            exposed = exposed || version in world.bad
            cost += world.price(version, request.tokens)
            val latencyMillis = (events.nowMillis - queuedAtMillis).toLong()
            observe(request, version, Observation.Completed(latencyMillis, request.tokens))
            val accept = plan.steps[step].minAcceptedRating
            if (accept != null && step < plan.steps.lastIndex) rateNow(accept) else finish()
        }

        private fun rateNow(accept: Double) {
            events.after(RATING_MILLIS) {
                val rating = world.rating(request, version)
                observe(request, version, Observation.Rated(rating, escalated = step > 0))
                if (rating >= accept) {
                    firstTokenAtMillis = events.nowMillis
                    end(Ending.Answered, world.trueQuality(request, version))
                } else {
                    escalate()
                }
            }
        }

        private fun escalate() {
            step++
            excluded.clear()
            queue()
        }

        private fun finish() {
            end(Ending.Answered, world.trueQuality(request, version))
            val rated = version
            val rating = world.rating(request, rated)
            val escalated = step > 0
            val ratedAfterMillis = if (plan.steps[step].rateAnswer) RATING_MILLIS else world.lateRatingMillis(request)
            ratedAfterMillis?.let { lateMillis ->
                events.after(lateMillis) { observe(request, rated, Observation.Rated(rating, escalated)) }
            }
        }
    }

    private companion object {
        const val QUEUE_LIMIT_MILLIS = 10_000.0
        const val POLL_MILLIS = 20.0
        const val REPLAN_MILLIS = 500.0
        const val RATING_MILLIS = 150.0
        const val REPEATS = 2
    }
}
