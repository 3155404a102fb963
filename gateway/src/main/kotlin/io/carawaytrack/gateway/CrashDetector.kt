/*
 * Distinguishes the crash of an upstream from a single broken connection: an upstream that has crashed does not accept
 * connections. Attempts that break at the same time share one check.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.model.HostPort

/**
 * Records crashes in [quarantine] and then calls [crashRecorded]; [checkListening] reports whether an address accepts a
 * connection.
 */
internal class CrashDetector(
    private val checkListening: (HostPort, (Boolean) -> Unit) -> Unit,
    private val quarantine: PromptQuarantine,
    private val crashRecorded: () -> Unit,
) {
    private class BrokenAttempt(
        val request: CallerRequest,
        val answering: Boolean,
    )

    private class Check {
        val attempts = ArrayList<BrokenAttempt>()
        val callbacks = ArrayList<(Boolean) -> Unit>()
    }

    private val checks = HashMap<HostPort, Check>()

    /** Records that an upstream is answering [request] without a crash so far. */
    fun recordProgress(request: CallerRequest) = quarantine.recordProgress(request.traits)

    /** Records that an upstream has answered [request] completely. */
    fun recordAnswered(request: CallerRequest) = quarantine.recordAnswered(request.traits)

    /**
     * Checks [upstream] after an attempt of [request] that broke; then calls [done] with whether the upstream has
     * crashed. [answering] states whether the answer had gone on for some time.
     */
    fun check(
        upstream: FleetUpstream,
        request: CallerRequest,
        answering: Boolean,
        done: (Boolean) -> Unit,
    ) {
        val running = checks[upstream.address]
        val check = running ?: Check().also { checks[upstream.address] = it }
        // Computed now, since the body may be released before the check ends.
        request.traits.content
        check.attempts += BrokenAttempt(request, answering)
        check.callbacks += done
        if (running == null) checkListening(upstream.address) { listening -> finish(upstream, listening) }
    }

    private fun finish(
        upstream: FleetUpstream,
        listening: Boolean,
    ) {
        val check = checks.remove(upstream.address) ?: return
        if (!listening) {
            val suspects = check.attempts.map { Suspect(it.request.traits, it.answering) }
            val requests = check.attempts.map { fieldsOf(it) }
            logEvent("upstream_crashed", mapOf("upstream" to upstream.id.value, "requests" to requests))
            quarantine.recordCrash(upstream.id, upstream.startedAtMillis, suspects)
            crashRecorded()
        }
        check.callbacks.forEach { it(!listening) }
    }

    private fun fieldsOf(attempt: BrokenAttempt): Map<String, Any?> = with(attempt.request) {
        mapOf(
            "requestId" to id,
            "route" to route.name,
            "organisation" to organisation?.name?.value,
            "prompt" to traits.prompt,
            "content" to traits.content,
            "answering" to attempt.answering,
        )
    }
}
