/*
 * What an engine stand-in does with a request, apart from HTTP: whether it takes it, at what pace it produces tokens,
 * what makes it fall over, and what it still holds for a caller that comes back.
 */
package io.carawaytrack.standins

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.Priority
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

internal enum class StopReason { Completed, Cancelled, Crashed, Broken }

internal enum class EngineRefusal(
    val status: Int,
    val code: String,
    val message: String,
) {
    UnknownModel(404, "model_not_found", "the model is not loaded"),
    AnswerNotFound(404, "answer_not_held", "no answer of this request id is held"),
    Unavailable(503, "unavailable", "the engine does not answer"),
    Overloaded(503, "overloaded", "the engine was given more than it bears and restarts"),
    Failed(500, "internal_error", "the engine failed"),
}

/** Holds an answer, of which the first [produced] tokens have been worked out. */
internal class ResumableAnswer(
    val version: ModelVersion,
    val tokens: List<String>,
    val promptTokens: Long,
    val cachedTokens: Long,
    val isShortened: Boolean,
) {
    @Volatile
    var produced: Int = 0
}

/** Describes one request that the engine has taken, to be answered from token [from]. */
internal class EngineWork(
    val requestId: String,
    val answer: ResumableAnswer,
    val from: Int,
    val priority: Priority,
) {
    val stop = CompletableDeferred<StopReason>()
    val remainingTokens = AtomicLong()
}

internal class Engine(
    val settings: EngineSettings,
    private val timing: Timing,
) {
    val counters = Counters()
    val orders = OrderProcessor(settings)
    val cache = PrefixCache(settings, timing.nowMillis)
    val cold = ColdStart(settings, timing.nowMillis)
    val faults = MutableStateFlow(settings.faults)
    private val slots = RunningSlots(settings.maxRunning)
    private val load = LoadHistory()
    private val held = ResumableAnswers(settings.resumableAnswers)
    private val active = ConcurrentHashMap.newKeySet<EngineWork>()
    private val received = AtomicInteger()
    private val queuedTokens = AtomicLong()
    private val errors = Random(settings.seed)

    val isDown: Boolean get() = faults.value.down || cold.isDown

    fun loadReport(): LoadReport {
        val lagMillis = faults.value.loadLagMillis ?: settings.loadLagMillis
        val current = currentLoad()
        return if (lagMillis == 0L) current else load.asOf(timing.nowMillis() - lagMillis) ?: current
    }

    fun replaceFaults(wanted: EngineFaults) {
        faults.value = wanted.copy(restartCold = false)
        if (wanted.restartCold) restart(downMillis = 0)
    }

    suspend fun order(order: EngineOrder): OrderReply {
        if (order.action == OrderAction.Load) timing.delayMillis(settings.loadModelMillis)
        return orders.apply(order)
    }

    /** Stops every running request with [requestId]; returns whether there was one. */
    fun cancel(requestId: String): Boolean =
        active.filter { it.requestId == requestId }.onEach { it.stop.complete(StopReason.Cancelled) }.isNotEmpty()

    /** Takes in [request], or tells why not. */
    fun admit(
        requestId: String,
        request: ChatRequest,
        priority: Priority,
    ): Result<EngineWork, EngineRefusal> {
        if (isDown) return refuse(EngineRefusal.Unavailable)
        val version = orders.resolve(request.model) ?: return refuse(EngineRefusal.UnknownModel)
        if (fails(version)) {
            counters.step(requestId, version.toString(), ExecutionStep.Started)
            counters.step(requestId, version.toString(), ExecutionStep.Failed)
            return Err(EngineRefusal.Failed)
        }
        val answer = answerTo(request, version)
        return receive(EngineWork(requestId, answer, from = 0, priority), ExecutionStep.Started)
            .also { held.put(requestId, answer) }
    }

    /** Takes up the answer of [requestId] again from token [from], or tells why not. */
    fun resume(
        requestId: String,
        from: Int,
        priority: Priority,
    ): Result<EngineWork, EngineRefusal> {
        if (isDown) return refuse(EngineRefusal.Unavailable)
        val answer =
            held.get(requestId)?.takeIf { from in 0..it.produced } ?: return refuse(EngineRefusal.AnswerNotFound)
        return receive(EngineWork(requestId, answer, from, priority), ExecutionStep.Resumed)
    }

    /** Works out [work] and hands each token to [emit], until it is complete or stopped. */
    suspend fun run(
        work: EngineWork,
        emit: suspend (String) -> Unit,
    ): StopReason {
        var reason = StopReason.Cancelled
        try {
            coroutineScope {
                val generation =
                    launch { slots.run(work.priority) { work.stop.complete(generate(work, emit)) } }
                val stopper =
                    launch {
                        reason = work.stop.await()
                        if (reason != StopReason.Completed) generation.cancel()
                    }
                generation.join()
                stopper.join()
            }
        } finally {
            finish(work, reason)
        }
        return reason
    }

    private fun refuse(refusal: EngineRefusal): Result<EngineWork, EngineRefusal> {
        counters.refused()
        return Err(refusal)
    }

    private fun fails(version: ModelVersion): Boolean {
        val fault = faults.value
        return fault.affects(version) && synchronized(errors) { errors.nextDouble() } < fault.errorRatio
    }

    private fun answerTo(
        request: ChatRequest,
        version: ModelVersion,
    ): ResumableAnswer {
        val prompt = request.prompt
        val count = minOf(settings.answerTokens, request.tokenLimit ?: settings.answerTokens).coerceAtLeast(1)
        val quality = qualityOf(settings.seed, prompt, meanQuality(version), settings.qualitySpread)
        return ResumableAnswer(
            version = version,
            tokens = answerTokens(settings.seed, version, prompt, quality, count),
            promptTokens = tokensOf(prompt),
            cachedTokens = cache.take(prompt),
            isShortened = count < settings.answerTokens,
        )
    }

    private fun meanQuality(version: ModelVersion): Double {
        val fault = faults.value
        val harmed = fault.quality?.takeIf { fault.affects(version) }
        return harmed ?: settings.qualities[version.toString()] ?: settings.quality
    }

    private fun receive(
        work: EngineWork,
        step: ExecutionStep,
    ): Result<EngineWork, EngineRefusal> {
        val answer = work.answer
        val tokens = answer.promptTokens + answer.tokens.size
        val holds = received.incrementAndGet()
        val holdsTokens = queuedTokens.addAndGet(tokens)
        work.remainingTokens.set(tokens)
        counters.held(holds, slots.running)
        active += work
        counters.step(work.requestId, answer.version.toString(), step)
        val outgrown = settings.memoryTokens > 0 && holdsTokens > settings.memoryTokens
        if (holds <= cold.bearing() && !outgrown) return Ok(work)
        restart(settings.restartMillis)
        finish(work, StopReason.Crashed)
        return Err(EngineRefusal.Overloaded)
    }

    private fun restart(downMillis: Long) {
        cold.restart(downMillis)
        cache.clear()
        held.clear()
        counters.restarted()
        active.forEach { it.stop.complete(StopReason.Crashed) }
    }

    private suspend fun generate(
        work: EngineWork,
        emit: suspend (String) -> Unit,
    ): StopReason {
        counters.held(received.get(), slots.running)
        recordLoad()
        val answer = work.answer
        if (answer.produced == 0) prefill(answer)
        val pace = TokenPacer(timing)
        for (index in work.from until answer.tokens.size) {
            val fault = faults.first { !it.stallsAt(answer.version, index) }
            if (fault.breaksAt(answer.version, index)) return StopReason.Broken
            if (index >= answer.produced) pace.next(tokenMillis(answer.version))
            emit(answer.tokens[index])
            answer.produced = maxOf(answer.produced, index + 1)
            work.remainingTokens.decrementAndGet()
            queuedTokens.decrementAndGet()
        }
        return StopReason.Completed
    }

    private suspend fun prefill(answer: ResumableAnswer) {
        val tokens = answer.promptTokens - answer.cachedTokens
        val millis = tokens * settings.prefillMillisPerKilotoken / TOKENS_PER_KILOTOKEN * cold.slowdown()
        if (millis >= 1) timing.delayMillis(millis.toLong())
    }

    private fun tokenMillis(version: ModelVersion): Double {
        val fault = faults.value
        val slowdown = if (fault.affects(version)) fault.tokenSlowdown else 1.0
        return settings.tokenMillis * slowdown * cold.slowdown()
    }

    private fun finish(
        work: EngineWork,
        reason: StopReason,
    ) {
        if (!active.remove(work)) return
        received.decrementAndGet()
        queuedTokens.addAndGet(-work.remainingTokens.getAndSet(0))
        val version = work.answer.version.toString()
        when (reason) {
            StopReason.Completed -> {
                counters.step(work.requestId, version, ExecutionStep.Completed)
                counters.tokens(
                    work.answer.promptTokens,
                    work.answer.tokens.size
                        .toLong(),
                )
            }
            StopReason.Cancelled -> counters.step(work.requestId, version, ExecutionStep.Cancelled)
            StopReason.Crashed, StopReason.Broken -> counters.step(work.requestId, version, ExecutionStep.Failed)
        }
        recordLoad()
    }

    private fun recordLoad(): Unit = load.record(currentLoad())

    fun currentLoad(): LoadReport {
        val running = slots.running
        return LoadReport(
            atMillis = timing.nowMillis(),
            running = running,
            waiting = slots.waiting,
            queuedTokens = queuedTokens.get(),
            cacheUsed = cache.used,
            bootId = cold.bootId,
        )
    }

    private companion object {
        const val TOKENS_PER_KILOTOKEN = 1_000
    }
}

/** Keeps the answers that can be resumed; the oldest gives way. */
private class ResumableAnswers(
    private val capacity: Int,
) {
    private val lock = Any()
    private val answers = LinkedHashMap<String, ResumableAnswer>()

    fun put(
        requestId: String,
        answer: ResumableAnswer,
    ): Unit = synchronized(lock) {
        answers.remove(requestId)
        answers[requestId] = answer
        if (answers.size > capacity) answers.remove(answers.keys.first())
    }

    fun get(requestId: String): ResumableAnswer? = synchronized(lock) { answers[requestId] }

    fun clear(): Unit = synchronized(lock) { answers.clear() }
}

/** Spaces tokens evenly; makes up for waits that took too long, but not for a reader that held them up. */
private class TokenPacer(
    private val timing: Timing,
) {
    private var dueMillis = timing.nowMillis().toDouble()

    suspend fun next(tokenMillis: Double) {
        val nowMillis = timing.nowMillis()
        if (nowMillis - dueMillis > MAX_CATCH_UP_MILLIS) dueMillis = nowMillis.toDouble()
        dueMillis += tokenMillis
        val waitMillis = (dueMillis - nowMillis).toLong()
        if (waitMillis > 0) timing.delayMillis(waitMillis)
    }

    private companion object {
        const val MAX_CATCH_UP_MILLIS = 50
    }
}
