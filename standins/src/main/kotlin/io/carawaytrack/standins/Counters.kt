/*
 * Counters of what a stand-in has executed, by request id and by version. Tests and the demo use them to verify that a
 * request ran exactly once or not at all.
 */
package io.carawaytrack.standins

import kotlinx.serialization.Serializable

/** Counts executions; a cancelled or failed execution is also counted in [started] or [resumed]. */
@Serializable
public data class ExecutionCounts(
    val started: Long = 0,
    val completed: Long = 0,
    val cancelled: Long = 0,
    val failed: Long = 0,
    val resumed: Long = 0,
) {
    internal fun plus(step: ExecutionStep): ExecutionCounts = when (step) {
        ExecutionStep.Started -> copy(started = started + 1)
        ExecutionStep.Completed -> copy(completed = completed + 1)
        ExecutionStep.Cancelled -> copy(cancelled = cancelled + 1)
        ExecutionStep.Failed -> copy(failed = failed + 1)
        ExecutionStep.Resumed -> copy(resumed = resumed + 1)
    }
}

/**
 * Counts the executions of one request id.
 *
 * @property versions versions that started the request, in order
 */
@Serializable
public data class RequestCounts(
    val counts: ExecutionCounts = ExecutionCounts(),
    val versions: List<String> = emptyList(),
)

/**
 * Reply to `GET /counters`.
 *
 * @property peakReceived highest number of requests in progress at once, running or waiting
 * @property restarts cold starts since the start of the process, not counting the first
 */
@Serializable
public data class CounterReport(
    val total: ExecutionCounts = ExecutionCounts(),
    val peakReceived: Int = 0,
    val peakRunning: Int = 0,
    val promptTokens: Long = 0,
    val answerTokens: Long = 0,
    val refused: Long = 0,
    val restarts: Long = 0,
    val requests: Map<String, RequestCounts> = emptyMap(),
    val versions: Map<String, ExecutionCounts> = emptyMap(),
)

internal enum class ExecutionStep { Started, Completed, Cancelled, Failed, Resumed }

/** Thread-safe counters; evicts the oldest request ids above [MAX_REQUESTS]. */
internal class Counters {
    private val lock = Any()
    private var report = CounterReport()
    private val requests = LinkedHashMap<String, RequestCounts>()
    private val versions = HashMap<String, ExecutionCounts>()

    fun record(
        request: String,
        version: String,
        step: ExecutionStep,
    ): Unit = synchronized(lock) {
        report = report.copy(total = report.total.plus(step))
        val before = requests[request] ?: RequestCounts()
        val startedVersions = if (step == ExecutionStep.Started) before.versions + version else before.versions
        requests[request] = RequestCounts(before.counts.plus(step), startedVersions)
        if (requests.size > MAX_REQUESTS) requests.remove(requests.keys.first())
        versions[version] = (versions[version] ?: ExecutionCounts()).plus(step)
    }

    fun updatePeaks(
        inProgress: Int,
        running: Int,
    ): Unit = update {
        it.copy(peakReceived = maxOf(it.peakReceived, inProgress), peakRunning = maxOf(it.peakRunning, running))
    }

    fun addTokens(
        prompt: Long,
        answer: Long,
    ): Unit = update { it.copy(promptTokens = it.promptTokens + prompt, answerTokens = it.answerTokens + answer) }

    fun countRefused(): Unit = update { it.copy(refused = it.refused + 1) }

    fun countRestart(): Unit = update { it.copy(restarts = it.restarts + 1) }

    fun report(): CounterReport = synchronized(lock) {
        report.copy(requests = requests.toMap(), versions = versions.toMap())
    }

    private fun update(change: (CounterReport) -> CounterReport): Unit = synchronized(lock) { report = change(report) }

    private companion object {
        const val MAX_REQUESTS = 50_000
    }
}
