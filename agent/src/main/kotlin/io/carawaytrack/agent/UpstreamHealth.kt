/*
 * How the upstream beside this agent is: whether it can be reached, how much it bears, and which requests it has died
 * from. An upstream that refuses connections after a request broke off counts as dead; what was in flight then becomes
 * suspect, and the upstream starts slowly once it can be reached again.
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

private const val LOWEST_SERVER_ERROR = 500
private const val PROBE_INTERVAL_MILLIS = 200L
private const val DOWN_RETRY_AFTER_MILLIS = 1_000L

internal class UpstreamCondition(
    private val upstream: UpstreamId,
    private val scope: CoroutineScope,
    private val slowStart: SlowStart,
    private val quarantine: Quarantine,
    private val metrics: AgentMetrics,
    private val probe: suspend () -> Boolean,
    private val onPermits: () -> Unit,
) {
    private val reachable = AtomicBoolean(true)

    /** Requests that the upstream may run at once. */
    val permits: Int get() = if (reachable.get()) slowStart.permits else 0

    /** Returns why a request with [fingerprint] may not go to the upstream, or null when it may. */
    fun refusal(fingerprint: Long): Failure? {
        val quarantined = quarantine.refusalOf(fingerprint)
        if (quarantined != null) return quarantined
        if (reachable.get()) return null
        return ErrorKind.NoHealthyUpstream.notRun("$upstream cannot be reached", DOWN_RETRY_AFTER_MILLIS)
    }

    fun started(fingerprint: Long): Unit = quarantine.started(fingerprint)

    /** Takes in how an attempt ended; null stands for one that was cancelled. */
    suspend fun ended(
        fingerprint: Long,
        outcome: AttemptOutcome?,
    ) {
        val failure = outcome?.failure
        if (failure?.kind == ErrorKind.UpstreamFailed) checkAlive()
        quarantine.finished(fingerprint, completed = outcome != null && outcome.served)
        if (outcome == null) return
        when {
            outcome.served -> slowStart.completed(outcome.elapsedMillis, outcome.tokens)
            failure?.execution != Execution.NotRun -> slowStart.failed()
        }
        onPermits()
    }

    private suspend fun checkAlive() {
        if (probe() || !reachable.compareAndSet(true, false)) return
        logger.warn { "expected $upstream to accept connections, it has died" }
        quarantine.upstreamDied()
        metrics.slowStarted()
        slowStart.restarted()
        scope.launch { awaitReturn() }
    }

    private suspend fun awaitReturn() {
        while (!probe()) delay(PROBE_INTERVAL_MILLIS)
        reachable.set(true)
        onPermits()
    }
}

private val AttemptOutcome.tokens: Long get() = (usage.promptTokens + usage.answerTokens).coerceAtLeast(1)

/** Whether the upstream did its work; one that falls over under load answers fast with a server error. */
private val AttemptOutcome.served: Boolean
    get() = failure == null && (answer?.status ?: 0) < LOWEST_SERVER_ERROR
