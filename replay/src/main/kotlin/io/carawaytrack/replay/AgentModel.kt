/*
 * Simplified model of an upstream's agent: admits requests up to its number of permits and reports its load. After a
 * restart or an engine failure it has one permit, and gains one for each answer that completes at a warm engine's
 * speed.
 */
package io.carawaytrack.replay

import io.carawaytrack.model.Announcement
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.model.ZoneName

/**
 * Parameters of an upstream and its agent.
 *
 * @property permits concurrent requests when warm
 */
internal data class UpstreamSpec(
    val upstream: UpstreamId,
    val zone: ZoneName,
    val versions: List<ModelVersion>,
    val permits: Int,
    val engine: EngineSpec,
)

internal class AgentModel(
    val spec: UpstreamSpec,
    private val events: EventQueue,
) {
    val engine = EngineModel(spec.engine, events)
    private var incarnation = 1L
    private var permits = spec.permits
    private var running = 0
    private var queuedTokens = 0L

    /** Requests rejected because no permit was free. */
    var rejected: Int = 0
        private set

    fun load(): UpstreamLoad = UpstreamLoad(permits, running, queuedTokens)

    fun announcement(): Announcement = Announcement(
        upstream = spec.upstream,
        zone = spec.zone,
        agentHost = "127.0.0.1",
        agentPort = 1,
        incarnation = incarnation,
        versions = spec.versions,
        load = load(),
    )

    /** Runs the request and returns true, or returns false without running it when no permit is free. */
    fun admit(
        request: TraceRequest,
        onFirstToken: () -> Unit,
        onEnd: (Boolean) -> Unit,
    ): Boolean {
        if (running >= permits) {
            rejected++
            return false
        }
        running++
        queuedTokens += request.tokens
        val startedAtMillis = events.nowMillis
        val stream =
            EngineStream(request.promptTokens, request.answerTokens, onFirstToken) { complete ->
                handleEnd(request, startedAtMillis, complete, onEnd)
            }
        engine.submit(stream)
        return true
    }

    /** Restarts the upstream; its running requests fail. */
    fun restart() {
        incarnation++
        permits = INITIAL_PERMITS
        engine.restart()
    }

    /** Returns whether the answer completed at least at the speed of a warm engine with all permits in use. */
    private fun answeredAtWarmSpeed(
        request: TraceRequest,
        startedAtMillis: Double,
    ): Boolean {
        val work = request.answerTokens + request.promptTokens * spec.engine.prefillWeight + 1
        val warmMillis = work * permits / engine.throughput(permits) * MILLIS_PER_SECOND
        return events.nowMillis - startedAtMillis <= warmMillis * WARM_TOLERANCE_RATIO
    }

    private fun handleEnd(
        request: TraceRequest,
        startedAtMillis: Double,
        complete: Boolean,
        onEnd: (Boolean) -> Unit,
    ) {
        if (!complete) {
            release(request)
            permits = INITIAL_PERMITS
            onEnd(false)
            return
        }
        if (permits < spec.permits && answeredAtWarmSpeed(request, startedAtMillis)) permits++
        val residualReadMillis =
            request.readMillis - request.answerTokens / spec.engine.tokensPerSecond * MILLIS_PER_SECOND
        events.after(residualReadMillis) {
            release(request)
            onEnd(true)
        }
    }

    private fun release(request: TraceRequest) {
        running--
        queuedTokens -= request.tokens
    }

    private companion object {
        const val INITIAL_PERMITS = 1
        const val WARM_TOLERANCE_RATIO = 1.3
    }
}
