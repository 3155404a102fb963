/*
 * A small stand-in for a model engine with continuous batching: all running streams advance at the same speed, which
 * falls as streams join, while the sum of tokens still rises. After a start it is cold for a while: slow, and tipped
 * over by more streams than it can bear.
 */
package io.carawaytrack.replay

import java.util.PriorityQueue

/**
 * Describes an engine.
 *
 * @property tokensPerSecond speed of a stream that runs alone
 * @property slowdown loss of speed with each further stream, as a share of the speed alone
 * @property prefillWeight work of a prompt token, as a share of an answer token's
 * @property coldMillis time after a start during which the engine is cold
 * @property coldSpeed speed while cold, as a share of the usual one
 * @property coldStreams streams that a cold engine can bear
 */
internal data class EngineSpec(
    val tokensPerSecond: Double,
    val slowdown: Double = 0.05,
    val prefillWeight: Double = 0.05,
    val coldMillis: Double = 30_000.0,
    val coldSpeed: Double = 0.3,
    val coldStreams: Int = 4,
)

/** Describes one stream; [onEnd] gets false when the engine failed while running it. */
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
    private val milestones = PriorityQueue<Milestone>(compareBy<Milestone> { it.work }.thenBy { it.sequence })
    private val streams = LinkedHashSet<EngineStream>()
    private var work = 0.0
    private var workAtMillis = 0.0
    private var generation = 0L
    private var sequence = 0L
    private var coldUntilMillis = 0.0

    /** Tokens of work done since the replay began. */
    var doneTokens: Double = 0.0
        private set

    /** Times that more streams ran on the cold engine than it can bear. */
    var tippedOver: Int = 0
        private set

    val running: Int get() = streams.size

    val isCold: Boolean get() = events.nowMillis < coldUntilMillis

    /** Tokens a second with [streams] of them running warm. */
    fun throughput(streams: Int): Double = streams * streamSpeed(streams)

    fun submit(stream: EngineStream) {
        advance()
        streams += stream
        val firstAt = work + stream.promptTokens * spec.prefillWeight + 1
        milestones += Milestone(firstAt, sequence++, stream, isEnd = false)
        milestones += Milestone(firstAt + stream.answerTokens, sequence++, stream, isEnd = true)
        if (isCold && streams.size > spec.coldStreams) tipOver() else schedule()
    }

    /** Starts the engine anew, cold; every running stream fails. */
    fun restart() {
        advance()
        val lost = streams.toList()
        streams.clear()
        milestones.clear()
        generation++
        coldUntilMillis = events.nowMillis + spec.coldMillis
        events.after(spec.coldMillis) {
            advance()
            schedule()
        }
        lost.forEach { it.onEnd(false) }
    }

    private fun tipOver() {
        tippedOver++
        restart()
    }

    private fun advance() {
        val passed = events.nowMillis - workAtMillis
        val step = passed / MILLIS_PER_SECOND * currentSpeed(atMillis = workAtMillis)
        work += step
        doneTokens += step * streams.size
        workAtMillis = events.nowMillis
    }

    private fun currentSpeed(atMillis: Double): Double {
        val warmth = if (atMillis < coldUntilMillis) spec.coldSpeed else 1.0
        return if (streams.isEmpty()) 0.0 else streamSpeed(streams.size) * warmth
    }

    private fun streamSpeed(count: Int): Double = spec.tokensPerSecond / (1 + spec.slowdown * (count - 1))

    private fun schedule() {
        val current = ++generation
        val next = milestones.peek() ?: return
        val waitMillis = (next.work - work) / currentSpeed(events.nowMillis) * MILLIS_PER_SECOND
        events.after(waitMillis) { if (current == generation) reach(next) }
    }

    private fun reach(milestone: Milestone) {
        advance()
        work = maxOf(work, milestone.work)
        milestones.remove(milestone)
        if (milestone.isEnd) streams -= milestone.stream
        schedule()
        if (milestone.isEnd) milestone.stream.onEnd(true) else milestone.stream.onFirstToken()
    }

    private class Milestone(
        val work: Double,
        val sequence: Long,
        val stream: EngineStream,
        val isEnd: Boolean,
    )
}

internal const val MILLIS_PER_SECOND = 1_000.0
