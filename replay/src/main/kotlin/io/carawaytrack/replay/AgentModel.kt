/*
 * A small stand-in for the agent beside an upstream: it admits up to its permits, lets them rise with each answer
 * that came at a warm engine's speed after a start, and reports its load.
 */
package io.carawaytrack.replay

import io.carawaytrack.model.Announcement
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.model.ZoneName

/**
 * Describes an upstream and its agent.
 *
 * @property permits requests that it runs at once when warm
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

    /** Requests that were turned away at this last gate. */
    var refused: Int = 0
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

    /** Runs the request and returns true, or returns false when no permit is free; then nothing ran. */
    fun admit(
        request: TraceRequest,
        onFirstToken: () -> Unit,
        onEnd: (Boolean) -> Unit,
    ): Boolean {
        if (running >= permits) {
            refused++
            return false
        }
        running++
        queuedTokens += request.tokens
        val startedAtMillis = events.nowMillis
        val stream =
            EngineStream(request.promptTokens, request.answerTokens, onFirstToken) { complete ->
                ended(request, startedAtMillis, complete, onEnd)
            }
        engine.submit(stream)
        return true
    }

    /** Starts the upstream anew; its running requests fail. */
    fun restart() {
        incarnation++
        permits = STARTING_PERMITS
        engine.restart()
    }

    /** Tells whether the answer came at the speed that a warm engine keeps with all permits in use. */
    private fun wasWarm(
        request: TraceRequest,
        startedAtMillis: Double,
    ): Boolean {
        val work = request.answerTokens + request.promptTokens * spec.engine.prefillWeight + 1
        val warmMillis = work * permits / engine.throughput(permits) * MILLIS_PER_SECOND
        return events.nowMillis - startedAtMillis <= warmMillis * WARM_TOLERANCE
    }

    private fun ended(
        request: TraceRequest,
        startedAtMillis: Double,
        complete: Boolean,
        onEnd: (Boolean) -> Unit,
    ) {
        if (!complete) {
            release(request)
            permits = STARTING_PERMITS
            onEnd(false)
            return
        }
        if (permits < spec.permits && wasWarm(request, startedAtMillis)) permits++
        val heldMillis = request.readMillis - request.answerTokens / spec.engine.tokensPerSecond * MILLIS_PER_SECOND
        events.after(heldMillis) {
            release(request)
            onEnd(true)
        }
    }

    private fun release(request: TraceRequest) {
        running--
        queuedTokens -= request.tokens
    }

    private companion object {
        const val STARTING_PERMITS = 1
        const val WARM_TOLERANCE = 1.3
    }
}
