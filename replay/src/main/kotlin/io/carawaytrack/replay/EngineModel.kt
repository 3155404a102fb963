/*
 * Simplified model of a model engine with continuous batching: all running streams advance at the same speed, which
 * decreases with the number of streams while the total throughput still increases. After a start the engine is cold for
 * a limited time: it is slower, and it fails and restarts when it runs more streams than its cold limit.
 */
package io.carawaytrack.replay

import java.util.PriorityQueue

/**
 * Parameters of an engine.
 *
 * @property tokensPerSecond speed of a single stream
 * @property slowdownPerStream increase of the time per token for each additional stream, as a fraction of a single
 *   stream's
 * @property prefillWeight cost of a prompt token, as a fraction of an answer token's
 * @property coldMillis time after a start during which the engine is cold
 * @property coldSpeedRatio speed while cold, as a fraction of the warm speed
 * @property maxColdStreams streams that a cold engine runs without failing
 */
internal data class EngineSpec(
    val tokensPerSecond: Double,
    val slowdownPerStream: Double = 0.05,
    val prefillWeight: Double = 0.05,
    val coldMillis: Double = 30_000.0,
    val coldSpeedRatio: Double = 0.3,
    val maxColdStreams: Int = 4,
)

/** One stream; [onEnd] receives false when the engine restarted before the stream completed. */
internal class EngineStream(
    val promptTokens: Long,
    val answerTokens: Long,
    val onFirstToken: () -> Unit,
    val onEnd: (Boolean) -> Unit,
)

internal class EngineModel(
    private val spec: EngineSpec,
    private val events: EventQueue,
) {
    private val milestones = PriorityQueue<Milestone>(compareBy<Milestone> { it.progress }.thenBy { it.sequence })
    private val streams = LinkedHashSet<EngineStream>()

    /** Tokens that a stream running since the creation of the engine would have advanced. */
    private var progress = 0.0
    private var progressAtMillis = 0.0
    private var generation = 0L
    private var sequence = 0L
    private var coldUntilMillis = 0.0

    /** Tokens processed since the start of the simulation, prompt tokens weighted by [EngineSpec.prefillWeight]. */
    var processedTokens: Double = 0.0
        private set

    /** Times that the cold engine exceeded [EngineSpec.maxColdStreams]. */
    var coldOverloads: Int = 0
        private set

    val running: Int get() = streams.size

    val isCold: Boolean get() = events.nowMillis < coldUntilMillis

    /** Returns the tokens per second of a warm engine with [streams] running streams. */
    fun throughput(streams: Int): Double = streams * streamSpeed(streams)

    fun submit(stream: EngineStream) {
        advance()
        streams += stream
        val firstTokenAt = progress + stream.promptTokens * spec.prefillWeight + 1
        milestones += Milestone(firstTokenAt, sequence++, stream, isEnd = false)
        milestones += Milestone(firstTokenAt + stream.answerTokens, sequence++, stream, isEnd = true)
        if (isCold && streams.size > spec.maxColdStreams) restartFromOverload() else schedule()
    }

    /** Restarts the engine, which is then cold; every running stream fails. */
    fun restart() {
        advance()
        val failedStreams = streams.toList()
        streams.clear()
        milestones.clear()
        generation++
        coldUntilMillis = events.nowMillis + spec.coldMillis
        events.after(spec.coldMillis) {
            advance()
            schedule()
        }
        failedStreams.forEach { it.onEnd(false) }
    }

    private fun restartFromOverload() {
        coldOverloads++
        restart()
    }

    private fun advance() {
        val elapsedMillis = events.nowMillis - progressAtMillis
        val advancedTokens = elapsedMillis / MILLIS_PER_SECOND * currentSpeed(atMillis = progressAtMillis)
        progress += advancedTokens
        processedTokens += advancedTokens * streams.size
        progressAtMillis = events.nowMillis
    }

    private fun currentSpeed(atMillis: Double): Double {
        val speedFactor = if (atMillis < coldUntilMillis) spec.coldSpeedRatio else 1.0
        return if (streams.isEmpty()) 0.0 else streamSpeed(streams.size) * speedFactor
    }

    private fun streamSpeed(count: Int): Double = spec.tokensPerSecond / (1 + spec.slowdownPerStream * (count - 1))

    private fun schedule() {
        val current = ++generation
        val next = milestones.peek() ?: return
        val waitMillis = (next.progress - progress) / currentSpeed(events.nowMillis) * MILLIS_PER_SECOND
        events.after(waitMillis) { if (current == generation) reachMilestone(next) }
    }

    private fun reachMilestone(milestone: Milestone) {
        advance()
        progress = maxOf(progress, milestone.progress)
        milestones.remove(milestone)
        if (milestone.isEnd) streams -= milestone.stream
        schedule()
        if (milestone.isEnd) milestone.stream.onEnd(true) else milestone.stream.onFirstToken()
    }

    private class Milestone(
        val progress: Double,
        val sequence: Long,
        val stream: EngineStream,
        val isEnd: Boolean,
    )
}

internal const val MILLIS_PER_SECOND = 1_000.0
