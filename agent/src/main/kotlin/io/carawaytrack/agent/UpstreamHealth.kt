/*
 * Health of the agent's upstream: whether it accepts connections, its concurrency limit, and which requests may have
 * crashed it. An upstream that refuses connections after an attempt failed is assumed to have crashed: the requests in
 * flight become crash suspects, and the upstream goes through a slow start once it accepts connections again.
 */
package io.carawaytrack.agent

import io.carawaytrack.limits.Quarantine
import io.carawaytrack.limits.SlowStart
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.notRun
import io.carawaytrack.telemetry.AgentMetrics
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicBoolean

private val logger = KotlinLogging.logger {}

private const val MIN_SERVER_ERROR_STATUS = 500
private const val PROBE_INTERVAL_MILLIS = 200L
private const val DOWN_RETRY_AFTER_MILLIS = 1_000L

internal class UpstreamHealth(
    private val upstream: UpstreamId,
    private val scope: CoroutineScope,
    private val slowStart: SlowStart,
    private val quarantine: Quarantine,
    private val metrics: AgentMetrics,
    private val probe: suspend () -> Boolean,
    private val onPermits: () -> Unit,
) {
    private val reachable = AtomicBoolean(true)

    /** Maximum concurrent requests of the upstream. */
    val permits: Int get() = if (reachable.get()) slowStart.permits else 0

    /** Returns why a request with [fingerprint] must not be sent to the upstream, or null if it may be sent. */
    fun refusal(fingerprint: Long): Failure? {
        val quarantined = quarantine.refusalOf(fingerprint)
        if (quarantined != null) return quarantined
        if (reachable.get()) return null
        return ErrorKind.NoHealthyUpstream.notRun("$upstream does not accept connections", DOWN_RETRY_AFTER_MILLIS)
    }

    fun recordStart(fingerprint: Long): Unit = quarantine.started(fingerprint)

    /** Records the [outcome] of an attempt, null if the attempt was cancelled. */
    suspend fun recordOutcome(
        fingerprint: Long,
        outcome: AttemptOutcome?,
    ) {
        val failure = outcome?.failure
        if (failure?.kind == ErrorKind.UpstreamFailed) probeAfterFailure()
        quarantine.finished(fingerprint, completed = outcome != null && outcome.succeeded)
        if (outcome == null) return
        when {
            outcome.succeeded -> slowStart.completed(outcome.elapsedMillis, outcome.tokens)
            failure?.execution != Execution.NotRun -> slowStart.failed()
        }
        onPermits()
    }

    private suspend fun probeAfterFailure() {
        if (probe() || !reachable.compareAndSet(true, false)) return
        logger.warn { "$upstream refuses connections after a failed attempt; assuming that it has crashed" }
        quarantine.upstreamCrashed()
        metrics.slowStarted()
        slowStart.restarted()
        scope.launch { awaitReachable() }
    }

    private suspend fun awaitReachable() {
        while (!probe()) delay(PROBE_INTERVAL_MILLIS)
        reachable.set(true)
        onPermits()
    }
}

private val AttemptOutcome.tokens: Long get() = (usage.promptTokens + usage.answerTokens).coerceAtLeast(1)

/** Whether the upstream processed the request; an overloaded upstream may answer quickly with a server error. */
private val AttemptOutcome.succeeded: Boolean
    get() = failure == null && (answer?.status ?: 0) < MIN_SERVER_ERROR_STATUS
