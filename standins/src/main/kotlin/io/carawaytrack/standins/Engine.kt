/*
 * The emulated inference engine behind an engine stand-in, without HTTP: admission of requests, token pace, crashes
 * under overload, and the answers that are retained so that a caller can resume them.
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
    AnswerNotFound(404, "answer_not_held", "no resumable answer of this request id reaches the requested token"),
    Unavailable(503, "unavailable", "the engine is down"),
    Overloaded(503, "overloaded", "the engine exceeded its capacity and is restarting"),
    Failed(500, "internal_error", "the engine failed"),
}

/** An answer whose first [produced] tokens have been generated and can be replayed. */
internal class ResumableAnswer(
    val version: ModelVersion,
    val tokens: List<String>,
    val promptTokens: Long,
    val cachedTokens: Long,
    val isTruncated: Boolean,
) {
    @Volatile
    var produced: Int = 0
}

/** An admitted request, which is answered from token [from]. */
internal class EngineRequest(
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
    val coldStart = ColdStart(settings, timing.nowMillis)
    val faults = MutableStateFlow(settings.faults)
    private val slots = RunningSlots(settings.maxRunning)
    private val loadHistory = LoadHistory()
    private val resumable = ResumableAnswers(settings.resumableAnswers)
    private val active = ConcurrentHashMap.newKeySet<EngineRequest>()
    private val inProgress = AtomicInteger()
    private val queuedTokens = AtomicLong()
    private val errorRandom = Random(settings.seed)

    val isDown: Boolean get() = faults.value.down || coldStart.isDown

    fun loadReport(): LoadReport {
        val lagMillis = faults.value.loadLagMillis ?: settings.loadLagMillis
        val current = currentLoad()
        return if (lagMillis == 0L) current else loadHistory.asOf(timing.nowMillis() - lagMillis) ?: current
    }

    fun replaceFaults(replacement: EngineFaults) {
        faults.value = replacement.copy(restartCold = false)
        if (replacement.restartCold) restart(downMillis = 0)
    }

    suspend fun apply(order: EngineOrder): OrderReply {
        if (order.action == OrderAction.Load) timing.delayMillis(settings.loadModelMillis)
        return orders.apply(order)
    }

    /** Cancels every running or waiting request with [requestId]; returns whether there was one. */
    fun cancel(requestId: String): Boolean =
        active.filter { it.requestId == requestId }.onEach { it.stop.complete(StopReason.Cancelled) }.isNotEmpty()

    /** Admits [request], or returns the reason for its refusal. */
    fun admit(
        requestId: String,
        request: ChatRequest,
        priority: Priority,
    ): Result<EngineRequest, EngineRefusal> {
        if (isDown) return refuse(EngineRefusal.Unavailable)
        val version = orders.resolve(request.model) ?: return refuse(EngineRefusal.UnknownModel)
        if (shouldFail(version)) {
            counters.record(requestId, version.toString(), ExecutionStep.Started)
            counters.record(requestId, version.toString(), ExecutionStep.Failed)
            return Err(EngineRefusal.Failed)
        }
        val answer = createAnswer(request, version)
        return start(EngineRequest(requestId, answer, from = 0, priority), ExecutionStep.Started)
            .also { resumable.put(requestId, answer) }
    }

    /** Resumes the answer of [requestId] from token [from], or returns the reason for the refusal. */
    fun resume(
        requestId: String,
        from: Int,
        priority: Priority,
    ): Result<EngineRequest, EngineRefusal> {
        if (isDown) return refuse(EngineRefusal.Unavailable)
        val answer =
            resumable.get(requestId)?.takeIf { from in 0..it.produced } ?: return refuse(EngineRefusal.AnswerNotFound)
        return start(EngineRequest(requestId, answer, from, priority), ExecutionStep.Resumed)
    }

    /** Runs [request] in a batch slot and passes each token to [emit], until the answer is complete or stopped. */
    suspend fun run(
        request: EngineRequest,
        emit: suspend (String) -> Unit,
    ): StopReason {
        var reason = StopReason.Cancelled
        try {
            coroutineScope {
                val generation =
                    launch { slots.run(request.priority) { request.stop.complete(generate(request, emit)) } }
                val stopper =
                    launch {
                        reason = request.stop.await()
                        if (reason != StopReason.Completed) generation.cancel()
                    }
                generation.join()
                stopper.join()
            }
        } finally {
            finish(request, reason)
        }
        return reason
    }

    private fun refuse(refusal: EngineRefusal): Result<EngineRequest, EngineRefusal> {
        counters.countRefused()
        return Err(refusal)
    }

    private fun shouldFail(version: ModelVersion): Boolean {
        val fault = faults.value
        return fault.affects(version) && synchronized(errorRandom) { errorRandom.nextDouble() } < fault.errorRatio
    }

    private fun createAnswer(
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
            cachedTokens = cache.lookUpAndStore(prompt),
            isTruncated = count < settings.answerTokens,
        )
    }

    private fun meanQuality(version: ModelVersion): Double {
        val fault = faults.value
        val faultyQuality = fault.quality?.takeIf { fault.affects(version) }
        return faultyQuality ?: settings.qualities[version.toString()] ?: settings.quality
    }

    private fun start(
        request: EngineRequest,
        step: ExecutionStep,
    ): Result<EngineRequest, EngineRefusal> {
        val answer = request.answer
        val tokens = answer.promptTokens + answer.tokens.size
        val requestCount = inProgress.incrementAndGet()
        val tokenCount = queuedTokens.addAndGet(tokens)
        request.remainingTokens.set(tokens)
        counters.updatePeaks(requestCount, slots.running)
        active += request
        counters.record(request.requestId, answer.version.toString(), step)
        val exceedsMemory = settings.memoryTokens > 0 && tokenCount > settings.memoryTokens
        if (requestCount <= coldStart.capacity() && !exceedsMemory) return Ok(request)
        restart(settings.restartMillis)
        return Err(EngineRefusal.Overloaded)
    }

    private fun restart(downMillis: Long) {
        coldStart.restart(downMillis)
        cache.clear()
        resumable.clear()
        counters.countRestart()
        // their coroutines end later, but a restarted engine has no load
        active.filter { it.stop.complete(StopReason.Crashed) }.forEach { finish(it, StopReason.Crashed) }
    }

    private suspend fun generate(
        request: EngineRequest,
        emit: suspend (String) -> Unit,
    ): StopReason {
        counters.updatePeaks(inProgress.get(), slots.running)
        recordLoad()
        val answer = request.answer
        if (answer.produced == 0) prefill(answer)
        val pacer = TokenPacer(timing)
        for (index in request.from until answer.tokens.size) {
            val fault = faults.first { !it.stallsAt(answer.version, index) }
            if (fault.breaksAt(answer.version, index)) return StopReason.Broken
            if (index >= answer.produced) pacer.awaitNext(tokenMillis(answer.version))
            emit(answer.tokens[index])
            answer.produced = maxOf(answer.produced, index + 1)
            val wasQueued = request.remainingTokens.getAndUpdate { maxOf(0, it - 1) } > 0
            if (wasQueued) queuedTokens.decrementAndGet()
        }
        return StopReason.Completed
    }

    private suspend fun prefill(answer: ResumableAnswer) {
        val tokens = answer.promptTokens - answer.cachedTokens
        val millis = tokens * settings.prefillMillisPerKilotoken / TOKENS_PER_KILOTOKEN * coldStart.slowdown()
        if (millis >= 1) timing.delayMillis(millis.toLong())
    }

    private fun tokenMillis(version: ModelVersion): Double {
        val fault = faults.value
        val slowdown = if (fault.affects(version)) fault.tokenSlowdown else 1.0
        return settings.tokenMillis * slowdown * coldStart.slowdown()
    }

    private fun finish(
        request: EngineRequest,
        reason: StopReason,
    ) {
        if (!active.remove(request)) return
        inProgress.decrementAndGet()
        queuedTokens.addAndGet(-request.remainingTokens.getAndSet(0))
        val version = request.answer.version.toString()
        when (reason) {
            StopReason.Completed -> {
                counters.record(request.requestId, version, ExecutionStep.Completed)
                counters.addTokens(
                    request.answer.promptTokens,
                    request.answer.tokens.size
                        .toLong(),
                )
            }
            StopReason.Cancelled -> counters.record(request.requestId, version, ExecutionStep.Cancelled)
            StopReason.Crashed, StopReason.Broken -> counters.record(request.requestId, version, ExecutionStep.Failed)
        }
        recordLoad()
    }

    private fun recordLoad(): Unit = loadHistory.record(currentLoad())

    fun currentLoad(): LoadReport {
        val running = slots.running
        return LoadReport(
            atMillis = timing.nowMillis(),
            running = running,
            waiting = slots.waiting,
            queuedTokens = queuedTokens.get(),
            cacheUsed = cache.used,
            bootId = coldStart.bootId,
        )
    }

    private companion object {
        const val TOKENS_PER_KILOTOKEN = 1_000
    }
}

/** Retains the most recent answers for resumption; evicts the oldest above [capacity]. */
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

/**
 * Spaces tokens evenly. Catches up on delays that overran, but not on a lag of more than [MAX_CATCH_UP_MILLIS], which
 * is attributed to backpressure from a slow reader.
 */
private class TokenPacer(
    private val timing: Timing,
) {
    private var dueMillis = timing.nowMillis().toDouble()

    suspend fun awaitNext(tokenMillis: Double) {
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
